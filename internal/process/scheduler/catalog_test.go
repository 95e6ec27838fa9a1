package scheduler

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// TestRepeatedConfigurationEntersTheLogOnce sends a configuration repeatedly
// while its first proposal is in flight, like an operator that gets no answer.
func TestRepeatedConfigurationEntersTheLogOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeReplica{machine: workstate.NewMachine(), delay: 3 * time.Second}
		s := &Server{replica: r, machine: r.machine, log: slog.New(slog.DiscardHandler), wake: func() {}, now: time.Now}
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				answer, err := s.ReplaceCatalog(ctx, workcall.CatalogRequest{Catalog: *testCatalog()})
				if err != nil || answer.Version != 1 {
					t.Errorf("answer %+v, error %v", answer, err)
				}
			})
			time.Sleep(500 * time.Millisecond)
		}
		group.Wait()
		if r.index != 1 {
			t.Errorf("%d copies in the log", r.index)
		}
	})
}
