package control

import (
	"context"
	"errors"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/version/view"
)

// maxWatchWait bounds how long a watch is held.
const maxWatchWait = 5 * time.Second

func (s *Server) registerLink() {
	link.Handle(s.node, message.WatchKind, s.serveWatch)
	link.Handle(s.node, message.ReportKind, s.serveReport)
}

// serveWatch answers with the changes after the entry's revision, at once
// or when the next change is applied here.
func (s *Server) serveWatch(ctx context.Context, _ link.Peer, watch message.Watch) (message.WatchAnswer, error) {
	s.observers.noteRevision(watch.Entry.ID, watch.Entry.Zone, watch.Revision, watch.Version)
	if err := s.ensureRegistered(ctx, watch.Entry); err != nil {
		return message.WatchAnswer{}, asFault(err)
	}
	wait := min(time.Duration(watch.WaitMS)*time.Millisecond, maxWatchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := s.machine.Changed()
		if delta := s.machine.Fleet().DeltaFor(watch.Entry.Zone, watch.Revision); delta != nil {
			return message.WatchAnswer{Delta: delta}, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return message.WatchAnswer{}, nil
		case <-ctx.Done():
			return message.WatchAnswer{}, ctx.Err()
		}
	}
}

// ensureRegistered registers an entry that is new or has moved. Only the
// leader can; a follower's refusal sends the entry to the leader.
func (s *Server) ensureRegistered(ctx context.Context, entry view.Entry) error {
	if known, ok := s.machine.Fleet().Entries[entry.ID]; ok && known.Entry == entry {
		return nil
	}
	_, err := propose[view.Entry](ctx, s, state.RegisterEntry, entry)
	return err
}

func (s *Server) serveReport(_ context.Context, _ link.Peer, report message.Report) (message.ReportAnswer, error) {
	s.observers.note(report)
	return message.ReportAnswer{}, nil
}

// asFault turns the errors of a proposal into answers for the link.
func asFault(err error) error {
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return &link.Fault{Code: link.CodeNotLeader, Message: err.Error(), Leader: notLeader.Link}
	}
	var result *state.Result
	if errors.As(err, &result) {
		return &link.Fault{Code: string(result.Code), Message: result.Message}
	}
	return err
}
