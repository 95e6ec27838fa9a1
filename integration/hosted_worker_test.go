package integration

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// hostedLongestLease is the longest lease that a worker accepts, in milliseconds: the
// default of hold_max_ms.
const hostedLongestLease = 10_000

// hostedWorker is one incarnation of a stand-in for a worker of the platform. A
// task runs for the duration that its spec gives.
type hostedWorker struct {
	id, service, vm string
	// address is where the worker listens. advertised is the address that it
	// reports to the scheduler: that of a relay in tests of the network.
	address, advertised string
	// heartbeatInterval is the time between two heartbeats. Some heartbeats of an
	// unsteady worker arrive late.
	heartbeatInterval time.Duration
	unsteady          bool
	// overcommits is set if the worker starts whatever it is told to start.
	overcommits bool
	// stopTime is how long a run takes to stop.
	stopTime time.Duration
	// onCrash is called after a task has crashed the worker.
	onCrash   func(*hostedWorker)
	startedAt time.Time
	// clockStartMS is what the clock showed then.
	clockStartMS int64
	ledger       *hostedLedger
	listener     net.Listener
	server       *http.Server
	done         chan struct{}

	mu sync.Mutex
	// capacity is the stated capacity, formerCapacities are those before.
	capacity         int64
	formerCapacities []formerCapacity
	// drainsUntil is set while the worker drains. A worker that has sent its
	// deregistration sends no more heartbeats.
	drainsUntil  time.Time
	deregistered bool
	fencingToken uint64
	leaseMS      int64
	// strayUntilMS is a lease that the worker accepts as it starts; 0 without one.
	strayUntilMS int64
	running      map[string]*hostedRun
	// highestRun is the highest run of each task that has ended or was stopped.
	highestRun map[string]int
	ended      []hostedEnd
	lastNumber int64
	dead       bool
}

// startHostedWorker starts a worker that sends heartbeats to the control
// addresses.
func startHostedWorker(t *testing.T, ledger *hostedLedger, id, service, address, advertised string, capacity int64, control []string) *hostedWorker {
	t.Helper()
	return startHostedWorkerEvery(t, 500*time.Millisecond, ledger, id, service, address, advertised, capacity, control)
}

// startHostedWorkerEvery starts a worker with the given heartbeat interval.
func startHostedWorkerEvery(t *testing.T, interval time.Duration, ledger *hostedLedger, id, service, address, advertised string, capacity int64, control []string) *hostedWorker {
	t.Helper()
	if advertised == "" {
		advertised = address
	}
	w := newHostedWorker(interval, ledger, id, service, address, advertised, capacity)
	w.start(t, control)
	return w
}

func newHostedWorker(interval time.Duration, ledger *hostedLedger, id, service, address, advertised string, capacity int64) *hostedWorker {
	return &hostedWorker{
		id: id, service: service, vm: "vm-" + id, heartbeatInterval: interval, address: address, advertised: advertised, capacity: capacity, ledger: ledger,
		done: make(chan struct{}), running: map[string]*hostedRun{}, highestRun: map[string]int{},
	}
}

func (w *hostedWorker) start(t *testing.T, control []string) {
	t.Helper()
	w.startedAt, w.clockStartMS = time.Now(), w.ledger.nextClockStart(w.id)
	w.extend(w.strayUntilMS)
	w.listener = listenWithRetry(t, w.address)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.serveHold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(w.listener) }()
	go w.sendHeartbeats(control)
	go w.tick()
	t.Cleanup(w.kill)
}

// kill ends the worker and all its runs at once, like a crash.
func (w *hostedWorker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.dead = true
	close(w.done)
	// Closing the server is not enough: a server that has just started may not
	// have registered its listener yet.
	_ = w.listener.Close()
	_ = w.server.Close()
	for task := range w.running {
		w.ledger.recordLoss(w, task)
	}
	w.running = map[string]*hostedRun{}
}

func (w *hostedWorker) clock() int64 {
	return w.clockStartMS + time.Since(w.startedAt).Milliseconds()
}

// extend extends the lease, up to the longest one. The caller holds w.mu.
func (w *hostedWorker) extend(untilMS int64) {
	w.leaseMS = max(w.leaseMS, min(untilMS, w.clock()+hostedLongestLease))
}

// tick ends the runs that are due, every 5 ms until the worker is killed.
func (w *hostedWorker) tick() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

// advance ends the runs whose time is over or whose lease has expired. The caller
// holds w.mu.
func (w *hostedWorker) advance() {
	for _, r := range w.running {
		switch {
		case w.clock() > w.leaseMS:
			w.endRun(r, "lapsed")
		case r.stopped && !time.Now().Before(r.endsAt):
			w.endRun(r, "stopped")
		case time.Now().After(r.endsAt):
			w.endRun(r, "done")
		}
	}
}

// endRun moves a run to the list of ended runs. The caller holds w.mu.
func (w *hostedWorker) endRun(r *hostedRun, reason string) {
	delete(w.running, r.task)
	w.highestRun[r.task] = max(w.highestRun[r.task], r.run)
	w.lastNumber++
	w.ended = append(w.ended, hostedEnd{number: w.lastNumber, task: r.task, run: r.run, reason: reason, listedAt: time.Now()})
	w.ledger.recordEnd(w, r.task)
}
