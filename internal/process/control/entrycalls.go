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

// maxWatchWait limits how long a watch waits for a change.
const maxWatchWait = 5 * time.Second

func (s *Server) registerLink() {
	link.Handle(s.node, message.WatchKind, s.serveWatch)
	link.Handle(s.node, message.ReportKind, s.serveReport)
	s.registerClaims()
	s.registerBatch()
}

// serveWatch answers with the changes after the entry's revision, either at
// once or when the next change is applied on this process.
func (s *Server) serveWatch(ctx context.Context, _ link.Peer, watch message.Watch) (message.WatchAnswer, error) {
	s.observations.recordRevision(watch.Entry.ID, watch.Entry.Zone, watch.Revision, watch.Version)
	if err := s.ensureRegistered(ctx, watch); err != nil {
		return message.WatchAnswer{}, toFault(err)
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

// confirmedAnswer answers a watch at once. The answer is marked as confirmed
// only if this process was confirmed as the leader after the call arrived.
func (s *Server) confirmedAnswer(ctx context.Context, watch message.Watch) message.WatchAnswer {
	confirmed := s.replica.ReadBarrier(ctx) == nil
	delta := s.machine.Fleet().DeltaFor(watch.Entry.Zone, watch.Revision)
	return message.WatchAnswer{Delta: delta, Confirmed: confirmed}
}

// ensureRegistered registers an entry that is new or has changed. Only the
// leader can do this; a follower returns an error that names the leader. An
// entry that was removed while it runs is not registered again; it learns of
// the removal from its view.
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

// codeEndedIncarnation is the fault code for a report or a pull of an earlier
// incarnation of an entry.
const codeEndedIncarnation = "ended_run"

// serveReport stores a report. Only the leader accepts reports, since only
// its planners act on them.
func (s *Server) serveReport(ctx context.Context, peer link.Peer, report message.Report) (message.ReportAnswer, error) {
	if peer.ID != report.EntryID {
		return message.ReportAnswer{}, errForeignEntry(peer, report.EntryID)
	}
	if err := s.requireLeader(); err != nil {
		return message.ReportAnswer{}, err
	}
	if !s.incarnations.observe(report.EntryID, report.Incarnation, time.Now()) {
		return message.ReportAnswer{}, errEndedIncarnation(report.EntryID)
	}
	if s.machine.Incarnation(report.EntryID) != report.Incarnation {
		record := state.Incarnation{Entry: report.EntryID, Incarnation: report.Incarnation}
		if _, err := propose[state.Incarnation](ctx, s, state.RecordIncarnation, record); err != nil {
			return message.ReportAnswer{}, toFault(err)
		}
	}
	return message.ReportAnswer{NeedFull: !s.observations.record(report)}, nil
}

// requireLeader returns a fault that names the leader, unless this process
// leads.
func (s *Server) requireLeader() error {
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

// errForeignEntry returns the fault for a message on behalf of another entry.
func errForeignEntry(peer link.Peer, entry string) error {
	return &link.Fault{Code: "foreign_entry", Message: "process " + peer.ID + " sent a message on behalf of entry " + entry}
}

// errEndedIncarnation returns the fault for a message of an earlier incarnation
// of an entry.
func errEndedIncarnation(entry string) error {
	return &link.Fault{Code: codeEndedIncarnation, Message: "a later incarnation of entry " + entry + " has reported"}
}

// toFault converts the errors of a proposal to link faults.
func toFault(err error) error {
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
