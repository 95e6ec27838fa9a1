package scheduler

import (
	"context"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// fakeReplica applies each command after a delay.
type fakeReplica struct {
	mu      sync.Mutex
	machine *workstate.Machine
	delay   time.Duration
	index   uint64
	term    uint64
	delays  replica.Delays
	// entries holds the applied commands if keepsEntries is set, and termStarts the
	// number of them at the start of each term.
	keepsEntries bool
	entries      [][]byte
	termStarts   map[uint64]int
}

// apply applies a command. The caller holds f.mu.
func (f *fakeReplica) apply(command []byte) []byte {
	f.index++
	if f.keepsEntries {
		f.entries = append(f.entries, command)
	}
	return f.machine.Apply(f.index, command)
}

// startTerm starts the next term and returns it.
func (f *fakeReplica) startTerm() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term++
	if f.termStarts == nil {
		f.termStarts = map[uint64]int{}
	}
	f.termStarts[f.term] = len(f.entries)
	return f.term
}

// addSync adds the time of a sync to the delays.
func (f *fakeReplica) addSync(took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delays.Sync.Add(took)
}

func (f *fakeReplica) TakeDelays() replica.Delays {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.delays
	f.delays = replica.Delays{}
	return taken
}

func (f *fakeReplica) currentDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}

func (f *fakeReplica) setDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

func (f *fakeReplica) Propose(_ context.Context, command []byte) ([]byte, error) {
	time.Sleep(f.currentDelay())
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.apply(command), nil
}
func (f *fakeReplica) ReadBarrier(context.Context) error { return nil }
func (f *fakeReplica) Status() replica.Status {
	return replica.Status{ID: "c1", Leader: "c1", Term: f.term}
}
func (f *fakeReplica) AddMember(context.Context, replica.Member) error { return nil }
func (f *fakeReplica) RemoveMember(context.Context, string) error      { return nil }
func (f *fakeReplica) LeaderChanges() <-chan bool                      { return nil }
func (f *fakeReplica) Stop() error                                     { return nil }

// unreadableReplica commits commands that its members can't read.
type unreadableReplica struct{ *fakeReplica }

func (f *unreadableReplica) Propose(ctx context.Context, _ []byte) ([]byte, error) {
	return f.fakeReplica.Propose(ctx, []byte{0xff})
}
