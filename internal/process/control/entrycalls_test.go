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
	server := &Server{replica: followerReplica{}, machine: state.NewMachine(), observations: newObservations()}
	_, err := server.serveReport(context.Background(), link.Peer{ID: "entry-a1"}, message.Report{EntryID: "entry-a1"})
	var fault *link.Fault
	if !errors.As(err, &fault) || fault.Code != link.CodeNotLeader || fault.Leader != "10.0.0.2:7000" {
		t.Errorf("a follower answered a report with %v", err)
	}
	if _, kept := server.observations.get("entry-a1"); kept {
		t.Error("a follower kept the report")
	}
}

func TestReportOfAnotherEntryIsRefused(t *testing.T) {
	server := &Server{replica: followerReplica{}, machine: state.NewMachine(), observations: newObservations()}
	_, err := server.serveReport(context.Background(), link.Peer{ID: "entry-b1"}, message.Report{EntryID: "entry-a1"})
	var fault *link.Fault
	if !errors.As(err, &fault) || fault.Code != "foreign_entry" {
		t.Errorf("a report on behalf of another entry was answered with %v", err)
	}
}

// TestPartialReportsAddUpToAllTargets sends reports that list only changes,
// one of them to a leader without the targets that the changes apply to.
func TestPartialReportsAddUpToAllTargets(t *testing.T) {
	o := newObservations()
	health := func(vm string, live bool) message.TargetHealth { return message.TargetHealth{VM: vm, Live: live} }
	full := message.Report{EntryID: "e", Full: true, Targets: []message.TargetHealth{health("a", true), health("b", true), health("c", true)}}
	full.TargetsDigest = message.DigestTargets(full.Targets)
	if !o.record(full) {
		t.Fatal("the digest of a full report does not match")
	}
	change := message.Report{EntryID: "e", Targets: []message.TargetHealth{health("b", false)}, RemovedTargets: []string{"a"}}
	change.TargetsDigest = message.DigestTargets([]message.TargetHealth{health("b", false), health("c", true)})
	if !o.record(change) {
		t.Error("the digest after the changes does not match")
	}
	if last, _ := o.get("e"); len(last.report.Targets) != 2 {
		t.Errorf("kept %+v", last.report.Targets)
	}
	if matches := newObservations().record(change); matches {
		t.Error("changes of unknown targets were accepted as the full set of targets")
	}
}
