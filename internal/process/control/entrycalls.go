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
	s.registerClaims()
	s.registerBatch()
}

// serveWatch answers with the changes after the entry's revision, at once
// or when the next change is applied here.
func (s *Server) serveWatch(ctx context.Context, _ link.Peer, watch message.Watch) (message.WatchAnswer, error) {
	s.observers.noteRevision(watch.Entry.ID, watch.Entry.Zone, watch.Revision, watch.Version)
	if err := s.ensureRegistered(ctx, watch); err != nil {
		return message.WatchAnswer{}, asFault(err)
	}
	if watch.Confirm {
		return s.confirmedAnswer(ctx, watch), nil
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

// confirmedAnswer answers at once. Only a leader that was confirmed after
// the call came says so.
func (s *Server) confirmedAnswer(ctx context.Context, watch message.Watch) message.WatchAnswer {
	confirmed := s.replica.ReadBarrier(ctx) == nil
	delta := s.machine.Fleet().DeltaFor(watch.Entry.Zone, watch.Revision)
	return message.WatchAnswer{Delta: delta, Confirmed: confirmed}
}

// ensureRegistered registers an entry that is new or has moved. Only the
// leader can; a follower's refusal sends the entry to the leader. An entry
// that was removed while it runs learns that from its view.
func (s *Server) ensureRegistered(ctx context.Context, watch message.Watch) error {
	known, registered := s.machine.Fleet().Entries[watch.Entry.ID]
	if registered && known.Entry == watch.Entry {
		return nil
	}
	if !registered && watch.Registered {
		return nil
	}
	_, err := propose[view.Entry](ctx, s, state.RegisterEntry, watch.Entry)
	return err
}

// codeEndedRun says that a report came from a run that has ended.
const codeEndedRun = "ended_run"

// serveReport keeps a report. Only the leader takes reports, so that its
// planners alone act on them.
func (s *Server) serveReport(ctx context.Context, peer link.Peer, report message.Report) (message.ReportAnswer, error) {
	if peer.ID != report.EntryID {
		return message.ReportAnswer{}, errForeignEntry(peer, report.EntryID)
	}
	if err := s.requireLead(); err != nil {
		return message.ReportAnswer{}, err
	}
	if !s.entryRuns.note(report.EntryID, report.Incarnation, time.Now()) {
		return message.ReportAnswer{}, &link.Fault{Code: codeEndedRun, Message: "a later run of entry " + report.EntryID + " was heard"}
	}
	if s.machine.Incarnation(report.EntryID) != report.Incarnation {
		alive := state.Incarnation{Entry: report.EntryID, Incarnation: report.Incarnation}
		if _, err := propose[state.Incarnation](ctx, s, state.RecordIncarnation, alive); err != nil {
			return message.ReportAnswer{}, asFault(err)
		}
	}
	return message.ReportAnswer{NeedFull: !s.observers.note(report)}, nil
}

// requireLead returns the fault that sends an entry to the leader.
func (s *Server) requireLead() error {
	status := s.replica.Status()
	if status.Role == "leader" {
		return nil
	}
	fault := &link.Fault{Code: link.CodeNotLeader, Message: "not the leader"}
	for _, member := range status.Members {
		if member.ID == status.Leader {
			fault.Leader = member.Link
		}
	}
	return fault
}

// errForeignEntry refuses a process that speaks for another one.
func errForeignEntry(peer link.Peer, entry string) error {
	return &link.Fault{Code: "foreign_entry", Message: "process " + peer.ID + " spoke for entry " + entry}
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
