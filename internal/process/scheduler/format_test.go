package scheduler

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// TestFormatIsNotRaisedBeforeAllMembersReadIt guards against a member of the version before that misses starts and ends of runs.
func TestFormatIsNotRaisedBeforeAllMembersReadIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		format := func() int {
			current := 0
			f.machine.Read(func(v *workstate.View) { current = v.Format() })
			return current
		}
		common, err := workstate.FormatPlain, error(nil)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newLoop(ctx, Options{Replica: f.replica, Machine: f.machine, Log: slog.New(slog.DiscardHandler), Now: time.Now, MembersFormat: func(context.Context) (int, error) { return common, err }}, 1)
		go l.raiseFormat()
		time.Sleep(3 * formatInterval)
		if format() != workstate.FormatPlain {
			t.Error("raised although a member can't read it")
		}
		common, err = workstate.FormatPacked, errors.New("a member does not answer")
		time.Sleep(3 * formatInterval)
		if format() != workstate.FormatPlain {
			t.Error("raised although a member did not answer")
		}
		err = nil
		time.Sleep(3 * formatInterval)
		if format() != workstate.FormatPacked {
			t.Error("not raised")
		}
	})
}

// TestProcessThatCannotReadTheCommandsIsNotAdmitted guards against a member of the version before that joins later and misses starts and ends of runs.
func TestProcessThatCannotReadTheCommandsIsNotAdmitted(t *testing.T) {
	f := newFixture(t, 0)
	f.commit(&workstate.Command{RaiseFormat: &workstate.RaiseFormat{Format: workstate.FormatPacked}})
	status := replica.Status{ID: "leader", Leader: "leader", Members: []replica.Member{{ID: "old", Link: "old:1"}}}
	s := Server{replica: &memberReplica{f.replica, status}, machine: f.machine, log: slog.New(slog.DiscardHandler)}
	join := func(format int) error {
		_, err := s.join(t.Context(), link.Peer{ID: "old"}, workcall.JoinRequest{ID: "old", Link: "old:1", Format: format})
		return err
	}
	if err := join(workstate.FormatPlain); err == nil {
		t.Error("admitted")
	}
	if err := join(workstate.FormatPacked); err != nil {
		t.Error(err)
	}
}
