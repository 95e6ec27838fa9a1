package driver

import (
	"context"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/replica"
)

// slowCounter takes some time for each command.
type slowCounter struct {
	counter
	each time.Duration
}

func (c *slowCounter) Apply(index uint64, command []byte) []byte {
	time.Sleep(c.each)
	return c.counter.Apply(index, command)
}

// TestNewLeaderWithMuchToApplyKeepsItsLeadership guards against members that are elected one after the other after a restart of all, since each applies its log in one go and sends no heartbeats meanwhile.
func TestNewLeaderWithMuchToApplyKeepsItsLeadership(t *testing.T) {
	// Applying all of it takes longer than an election timeout.
	const commands, each = 2500, 300 * time.Microsecond
	g := newGroup(t, 3)
	drivers := g.open(nil, func() replica.StateMachine { return &counter{} })
	leader := waitForLeader(t, drivers)
	var wait sync.WaitGroup
	for range commands / 50 {
		wait.Go(func() {
			for range 50 {
				if _, err := leader.Propose(t.Context(), []byte("command")); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	wait.Wait()
	g.stop(drivers)
	term := uint64(0)
	for _, d := range drivers {
		term = max(term, d.Status().Term)
	}

	machines := []*slowCounter{}
	drivers = g.open(nil, func() replica.StateMachine {
		m := &slowCounter{each: each}
		machines = append(machines, m)
		return m
	})
	defer g.stop(drivers)
	leader = waitForLeader(t, drivers)
	// One vote may be split.
	if elections := leader.Status().Term - term; elections > 2 {
		t.Errorf("%d elections until a leader had applied its log", elections)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := leader.ReadBarrier(ctx); err != nil {
		t.Fatal(err)
	}
	for i, d := range drivers {
		if d == leader && machines[i].applied < commands {
			t.Errorf("a read was answered after %d of %d commands", machines[i].applied, commands)
		}
	}
}
