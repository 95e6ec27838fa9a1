package scheduler

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/process/replica"
)

const (
	// maxClockStartMS is the highest value with which the clock of a worker starts.
	maxClockStartMS = 9_000_000
	// nearClockMS is how far from that of the former incarnation a clock starts at most,
	// if it starts near that.
	nearClockMS = 2 * longestLease
)

// dice draws random numbers that depend on the seed and on their purpose, but
// not on the order in which goroutines draw them.
type dice struct {
	seed   uint64
	mu     sync.Mutex
	counts map[string]int
}

func newDice(seed uint64) *dice { return &dice{seed: seed, counts: map[string]int{}} }

// draw returns a random number for a purpose.
func (d *dice) draw(purpose ...any) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, d.seed, purpose)
	return rand.NewPCG(hash.Sum64(), 7).Uint64()
}

// drawNext returns the next random number for a purpose.
func (d *dice) drawNext(purpose ...any) uint64 {
	key := fmt.Sprint(purpose...)
	d.mu.Lock()
	d.counts[key]++
	count := d.counts[key]
	d.mu.Unlock()
	return d.draw(key, count)
}

// drawClockStart returns what the clock of a worker shows as its incarnation starts: little,
// anything, or about what that of the former incarnation shows.
func (d *dice) drawClockStart(id string, former *fakeWorker) int64 {
	draw := d.drawNext("clock", id)
	switch kind := draw % 3; {
	case kind == 0:
		return 1 + int64(draw>>8%1000)
	case kind == 1 && former != nil:
		return max(1, former.clock()-nearClockMS+int64(draw>>8%(2*nearClockMS)))
	}
	return 1 + int64(draw>>8%maxClockStartMS)
}

// termReplica is the replica as seen by the leader of one term.
type termReplica struct {
	*fakeReplica
	term uint64
	dice *dice
	// onCommit, if set, is called with each command once it is applied.
	onCommit func(command []byte)
}

var errDeposed = errors.New("another term leads")

// Propose implements replica.Replica. Some commands are applied but their
// result is lost.
func (r *termReplica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	draw := r.dice.drawNext("propose", r.term)
	time.Sleep(time.Duration(5+draw%40) * time.Millisecond)
	answer, err := r.apply(command)
	if err != nil {
		return nil, err
	}
	if r.onCommit != nil {
		r.onCommit(command)
	}
	if draw>>32%24 == 0 {
		return nil, replica.ErrUnknownResult
	}
	return answer, nil
}

// apply applies a command unless another term leads.
func (r *termReplica) apply(command []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fakeReplica.term != r.term {
		return nil, errDeposed
	}
	return r.fakeReplica.apply(command), nil
}

// Status implements replica.Replica. A former leader does not know of the next
// one until its loop ends.
func (r *termReplica) Status() replica.Status {
	return replica.Status{ID: "c1", Leader: "c1", Term: r.term}
}

// barrierTime is the time after which a former leader's barrier fails.
const barrierTime = 20 * time.Millisecond

// ReadBarrier implements replica.Replica.
func (r *termReplica) ReadBarrier(context.Context) error {
	if r.leads() {
		return nil
	}
	time.Sleep(barrierTime)
	return errDeposed
}

// leads reports whether the term is the newest one.
func (r *termReplica) leads() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fakeReplica.term == r.term
}
