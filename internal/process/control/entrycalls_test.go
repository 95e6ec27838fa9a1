package control

import (
	"context"
	"errors"
	"testing"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/state"
)

// followerReplica is a replica that follows control-2.
type followerReplica struct{ replica.Replica }

func (followerReplica) Status() replica.Status {
	return replica.Status{Role: "follower", Leader: "control-2", Members: []replica.Member{{ID: "control-2", Link: "10.0.0.2:7000"}}}
}

func TestFollowerSendsReportsToTheLeader(t *testing.T) {
	server := &Server{replica: followerReplica{}, machine: state.NewMachine(), observers: newObservers()}
	_, err := server.serveReport(context.Background(), link.Peer{ID: "entry-a1"}, message.Report{EntryID: "entry-a1"})
	var fault *link.Fault
	if !errors.As(err, &fault) || fault.Code != link.CodeNotLeader || fault.Leader != "10.0.0.2:7000" {
		t.Errorf("a follower answered a report with %v", err)
	}
	if _, kept := server.observers.get("entry-a1"); kept {
		t.Error("a follower kept the report")
	}
}

func TestReportOfAnotherEntryIsRefused(t *testing.T) {
	server := &Server{replica: followerReplica{}, machine: state.NewMachine(), observers: newObservers()}
	_, err := server.serveReport(context.Background(), link.Peer{ID: "entry-b1"}, message.Report{EntryID: "entry-a1"})
	var fault *link.Fault
	if !errors.As(err, &fault) || fault.Code != "foreign_entry" {
		t.Errorf("a report in another's name was answered with %v", err)
	}
}

// TestReportsOfChangesAddUpToAllTargets sends changes, and one that builds
// on what the leader does not know.
func TestReportsOfChangesAddUpToAllTargets(t *testing.T) {
	o := newObservers()
	health := func(vm string, live bool) message.TargetHealth { return message.TargetHealth{VM: vm, Live: live} }
	full := message.Report{EntryID: "e", Full: true, Targets: []message.TargetHealth{health("a", true), health("b", true), health("c", true)}}
	full.TargetsDigest = message.DigestTargets(full.Targets)
	if !o.note(full) {
		t.Fatal("the digest of a full report does not fit")
	}
	change := message.Report{EntryID: "e", Targets: []message.TargetHealth{health("b", false)}, RemovedTargets: []string{"a"}}
	change.TargetsDigest = message.DigestTargets([]message.TargetHealth{health("b", false), health("c", true)})
	if !o.note(change) {
		t.Error("the digest of the changes does not fit")
	}
	if seen, _ := o.get("e"); len(seen.report.Targets) != 2 {
		t.Errorf("kept %+v", seen.report.Targets)
	}
	if fits := newObservers().note(change); fits {
		t.Error("changes of what is not known were taken for all targets")
	}
}
