package driver

import (
	"context"
	"errors"
	"fmt"
	"time"

	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica"
)

// outcome is the result of a call.
type outcome struct {
	result []byte
	err    error
}

// proposal is a call of Propose.
type proposal struct {
	command []byte
	// submitted is when Propose was called.
	submitted time.Time
	term      uint64
	done      chan outcome
}

// read is a call of ReadBarrier.
type read struct{ done chan outcome }

// change is a call of AddMember or RemoveMember.
type change struct {
	add    *replica.Member
	remove string
	term   uint64
	done   chan outcome
}

// submit passes a call to the loop and waits for its outcome. If the context
// ends after the loop has accepted the call, the outcome is unknown.
func submit[T any](ctx context.Context, d *Driver, queue chan<- T, call T, done <-chan outcome) ([]byte, error) {
	if !d.bootstrapped.Load() {
		return nil, &replica.NotLeaderError{}
	}
	select {
	case queue <- call:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.stopping.Done():
		return nil, replica.ErrStopped
	case <-d.stopped:
		return nil, replica.ErrStopped
	}
	select {
	case out := <-done:
		return out.result, out.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", replica.ErrUnknownResult, ctx.Err())
	case <-d.stopped:
		return nil, replica.ErrUnknownResult
	}
}

// Propose replicates a command and returns its result.
func (d *Driver) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrTooLarge
	}
	p := &proposal{command: command, submitted: time.Now(), done: make(chan outcome, 1)}
	return submit(ctx, d, d.proposals, p, p.done)
}

// ReadBarrier returns once this process is confirmed as the leader.
func (d *Driver) ReadBarrier(ctx context.Context) error {
	r := &read{done: make(chan outcome, 1)}
	_, err := submit(ctx, d, d.reads, r, r.done)
	if errors.Is(err, replica.ErrUnknownResult) {
		return replica.ErrNotConfirmed
	}
	return err
}

// AddMember adds a process as a learner. The process must be running, so that
// its disk can be recorded.
func (d *Driver) AddMember(ctx context.Context, member replica.Member) error {
	if err := d.ReadBarrier(ctx); err != nil {
		return err
	}
	disk, err := d.identify(ctx, member)
	if err != nil {
		return logging.Wrap(err, "add member", member.ID)
	}
	member.Disk = disk
	return d.change(ctx, &change{add: &member, done: make(chan outcome, 1)}, member.ID)
}

// RemoveMember removes a process from the membership.
func (d *Driver) RemoveMember(ctx context.Context, id string) error {
	return d.change(ctx, &change{remove: id, done: make(chan outcome, 1)}, id)
}

func (d *Driver) change(ctx context.Context, c *change, id string) error {
	_, err := submit(ctx, d, d.changes, c, c.done)
	return logging.Wrap(err, "change members", id)
}
