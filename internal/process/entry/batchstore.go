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

// batchStore reaches the replicated batch table. It implements batch.Store.
type batchStore struct {
	controls    *controls
	entry       string
	incarnation string
}

// Accept stores a request.
func (b *batchStore) Accept(ctx context.Context, r batch.Request) (string, error) {
	stored, err := callLeader[batch.Request, message.BatchID](ctx, b.controls, message.AcceptBatchKind, r)
	return stored.ID, asStoreError(err)
}

// Get reads a request.
func (b *batchStore) Get(ctx context.Context, id string) (batch.Job, error) {
	job, err := callLeader[message.BatchID, batch.Job](ctx, b.controls, message.GetBatchKind, message.BatchID{ID: id})
	return job, asStoreError(err)
}

// Cancel cancels requests.
func (b *batchStore) Cancel(ctx context.Context, ids []string) (batch.States, error) {
	states, err := callLeader[batch.Cancel, batch.States](ctx, b.controls, message.CancelBatchKind, batch.Cancel{IDs: ids})
	return states, asStoreError(err)
}

// Pull renews leases and asks for more.
func (b *batchStore) Pull(ctx context.Context, held []batch.LeaseRef, limit int, services []string) (batch.Leases, error) {
	pull := batch.Pull{Entry: b.entry, Incarnation: b.incarnation, Held: held, Max: limit, Services: services}
	leases, err := callLeader[batch.Pull, batch.Leases](ctx, b.controls, message.PullBatchKind, pull)
	return leases, asStoreError(err)
}

// Finish ends an attempt.
func (b *batchStore) Finish(ctx context.Context, end batch.End) error {
	_, err := callLeader[batch.End, message.Done](ctx, b.controls, message.FinishBatchKind, end)
	return asStoreError(err)
}

// asStoreError names the errors that a batch store promises.
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
