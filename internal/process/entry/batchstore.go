package entry

import (
	"context"
	"errors"
	"fmt"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/request/batch"
)

// batchStore implements batch.Store with calls to the leader, which keeps the
// replicated batch table.
type batchStore struct {
	controls    *controls
	entry       string
	incarnation string
}

// Accept stores a batch request and returns its id.
func (b *batchStore) Accept(ctx context.Context, r batch.Request) (string, error) {
	stored, err := callLeader[batch.Request, message.BatchID](ctx, b.controls, message.AcceptBatchKind, r)
	return stored.ID, asStoreError(err)
}

// Get returns a batch request.
func (b *batchStore) Get(ctx context.Context, id string) (batch.Job, error) {
	job, err := callLeader[message.BatchID, batch.Job](ctx, b.controls, message.GetBatchKind, message.BatchID{ID: id})
	return job, asStoreError(err)
}

// Cancel cancels batch requests and returns their states.
func (b *batchStore) Cancel(ctx context.Context, ids []string) (batch.States, error) {
	states, err := callLeader[batch.Cancel, batch.States](ctx, b.controls, message.CancelBatchKind, batch.Cancel{IDs: ids})
	return states, asStoreError(err)
}

// Pull renews the held leases and requests up to limit more.
func (b *batchStore) Pull(ctx context.Context, held []batch.LeaseRef, limit int, services []string) (batch.Leases, error) {
	pull := batch.Pull{Entry: b.entry, Incarnation: b.incarnation, Held: held, Max: limit, Services: services}
	leases, err := callLeader[batch.Pull, batch.Leases](ctx, b.controls, message.PullBatchKind, pull)
	return leases, asStoreError(err)
}

// Finish records the end of an attempt.
func (b *batchStore) Finish(ctx context.Context, end batch.End) error {
	_, err := callLeader[batch.End, message.Done](ctx, b.controls, message.FinishBatchKind, end)
	return asStoreError(err)
}

// asStoreError converts the leader's errors to those of batch.Store.
func asStoreError(err error) error {
	var fault *link.Fault
	if !errors.As(err, &fault) {
		return err
	}
	switch fault.Code {
	case string(state.NotFound):
		return fmt.Errorf("%w: %w", batch.ErrNotFound, err)
	case string(state.Conflict):
		return fmt.Errorf("%w: %s", batch.ErrConflict, fault.Message)
	case string(state.Refused), string(state.Malformed):
		return fmt.Errorf("%w: %s", batch.ErrRefused, fault.Message)
	}
	return err
}
