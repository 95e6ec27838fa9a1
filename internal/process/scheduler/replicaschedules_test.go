package scheduler

import (
	"context"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

const (
	// replicaSeeds is how many times fewer schedules have a state for each leader.
	replicaSeeds = 8
	// longestLag is how long the state of a leader may lag behind.
	longestLag = 400 * time.Millisecond
	// snapshotInterval is the interval of the events with which a snapshot is taken.
	snapshotInterval = 8
)

// TestRandomSchedulesOfReplicas is TestRandomSchedulesOfRuns with a state of its own for
// each leader. It starts from a snapshot of an earlier time, lags behind what is
// committed, and learns of nothing that later leaders commit.
func TestRandomSchedulesOfReplicas(t *testing.T) {
	margins := &leaseMargins{}
	margins.log(t)
	eachSeed(t, replicaSeeds, func(t *testing.T, seed uint64) {
		s := newReplicaSchedule(t, seed)
		s.margins = margins
		s.run()
	})
}

// stateSnapshot is a snapshot of the state after a number of entries.
type stateSnapshot struct {
	entries int
	data    []byte
}

func newReplicaSchedule(t *testing.T, seed uint64) *schedule {
	s := newSchedule(t, seed)
	s.replica.keepsEntries = true
	newest := s.snapshot()
	s.furtherEvent = func() {
		if s.random.IntN(snapshotInterval) == 0 {
			newest = s.snapshot()
		}
	}
	s.replicaOf = func(ctx context.Context, term uint64) (replica.Replica, *workstate.Machine) {
		own := &replicaOfLeader{termReplica: &termReplica{fakeReplica: s.replica, term: term, dice: s.calls.dice, onCommit: s.checkEndedRuns}, own: workstate.NewMachine(), applied: newest.entries}
		if err := own.own.Restore(uint64(newest.entries), newest.data); err != nil {
			t.Fatal(err)
		}
		s.group.Go(func() { own.follow(ctx) })
		return own, own.own
	}
	s.outlastLeases()
	return s
}

func (s *schedule) snapshot() stateSnapshot {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	data, err := s.machine.Snapshot()
	if err != nil {
		s.t.Fatal(err)
	}
	return stateSnapshot{len(s.replica.entries), data}
}

// replicaOfLeader is the replica of the leader of one term with a state of its own.
type replicaOfLeader struct {
	*termReplica
	own     *workstate.Machine
	mu      sync.Mutex
	applied int
}

// Propose implements replica.Replica. The result is known once the own state has it.
func (r *replicaOfLeader) Propose(ctx context.Context, command []byte) ([]byte, error) {
	answer, err := r.termReplica.Propose(ctx, command)
	if err == nil {
		r.learn()
	}
	return answer, err
}

// ReadBarrier implements replica.Replica.
func (r *replicaOfLeader) ReadBarrier(ctx context.Context) error {
	if err := r.termReplica.ReadBarrier(ctx); err != nil {
		return err
	}
	r.learn()
	return nil
}

// learn applies what was committed up to the end of the term to the own state.
func (r *replicaOfLeader) learn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.committed(r.applied) {
		r.applied++
		r.own.Apply(uint64(r.applied), entry)
	}
}

// committed returns the entries after the first ones, up to the end of the term.
func (r *replicaOfLeader) committed(after int) [][]byte {
	r.fakeReplica.mu.Lock()
	defer r.fakeReplica.mu.Unlock()
	end, ended := r.termStarts[r.term+1]
	if !ended {
		end = len(r.entries)
	}
	return r.entries[after:max(after, end)]
}

// follow applies what others have committed, late, until the context ends.
func (r *replicaOfLeader) follow(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(r.dice.drawNext("lag", r.term) % uint64(longestLag)))
		r.learn()
	}
}
