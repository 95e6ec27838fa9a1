package control

import (
	"context"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/request/batch"
)

// Timing and size of a pull of batch requests.
const (
	// pullWait limits how long a pull waits while there is nothing to lease.
	pullWait = time.Second
	// pullPollInterval is the interval at which a waiting pull checks for
	// something to lease.
	pullPollInterval = 50 * time.Millisecond
	// maxPull limits the requests leased in one answer, and so the size of
	// the answer.
	maxPull = 16
)

func (s *Server) registerBatch() {
	link.Handle(s.node, message.AcceptBatchKind, s.serveAcceptBatch)
	link.Handle(s.node, message.PullBatchKind, s.servePullBatch)
	link.Handle(s.node, message.FinishBatchKind, s.serveFinishBatch)
	link.Handle(s.node, message.GetBatchKind, s.serveGetBatch)
	link.Handle(s.node, message.CancelBatchKind, s.serveCancelBatch)
}

func (s *Server) serveAcceptBatch(ctx context.Context, _ link.Peer, request batch.Request) (message.BatchID, error) {
	id, err := propose[string](ctx, s, state.AcceptBatch, request)
	if err != nil {
		return message.BatchID{}, toFault(err)
	}
	s.recorder.Record(timeline.Event{Kind: timeline.BatchAccepted, Request: id, Service: request.Service})
	return message.BatchID{ID: id}, nil
}

// servePullBatch leases batch requests to an entry and renews the leases that
// it holds. If there is nothing to lease or renew, it writes nothing to the
// log.
func (s *Server) servePullBatch(ctx context.Context, peer link.Peer, pull batch.Pull) (batch.Leases, error) {
	if peer.ID != pull.Entry {
		return batch.Leases{}, errForeignEntry(peer, pull.Entry)
	}
	pull.Max = min(pull.Max, maxPull)
	known := s.machine.Incarnation(pull.Entry)
	if err := s.awaitBatchWork(ctx, pull); err != nil {
		return batch.Leases{}, err
	}
	if current := s.machine.Incarnation(pull.Entry); current != known && current != pull.Incarnation {
		return batch.Leases{}, errEndedIncarnation(pull.Entry)
	}
	if len(pull.Held) == 0 && !s.machine.HasBatchWork(pull, time.Now().UnixMilli()) {
		return batch.Leases{}, nil
	}
	leases, err := propose[batch.Leases](ctx, s, state.LeaseBatch, pull)
	if err != nil {
		return batch.Leases{}, toFault(err)
	}
	return leases, nil
}

// awaitBatchWork waits until the pull would change something, for at most
// pullWait.
func (s *Server) awaitBatchWork(ctx context.Context, pull batch.Pull) error {
	deadline := time.Now().Add(pullWait)
	for time.Now().Before(deadline) {
		if err := s.requireLeader(); err != nil {
			return err
		}
		if s.machine.HasBatchWork(pull, time.Now().UnixMilli()) {
			return nil
		}
		select {
		case <-time.After(pullPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (s *Server) serveFinishBatch(ctx context.Context, _ link.Peer, end batch.End) (message.Done, error) {
	if _, err := propose[string](ctx, s, state.FinishBatch, end); err != nil {
		return message.Done{}, toFault(err)
	}
	if job, known := s.machine.BatchJob(end.ID); known && job.EndedMS != 0 {
		s.recorder.Record(timeline.Event{Kind: timeline.BatchEnded, Request: end.ID, Service: job.Service, Cause: string(job.State)})
	}
	return message.Done{}, nil
}

// serveGetBatch reads as the confirmed leader, so that a request that was
// accepted is never reported as unknown.
func (s *Server) serveGetBatch(ctx context.Context, _ link.Peer, id message.BatchID) (batch.Job, error) {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return batch.Job{}, toFault(err)
	}
	job, known := s.machine.BatchJob(id.ID)
	if !known {
		return batch.Job{}, &link.Fault{Code: string(state.NotFound), Message: "no batch request has this ID, or it is past its retention"}
	}
	return job, nil
}

func (s *Server) serveCancelBatch(ctx context.Context, _ link.Peer, cancel batch.Cancel) (batch.States, error) {
	states, err := propose[batch.States](ctx, s, state.CancelBatch, cancel)
	if err != nil {
		return batch.States{}, toFault(err)
	}
	return states, nil
}
