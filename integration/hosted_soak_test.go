package integration

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// The soak test injects random faults into the compiled programs and checks
// what callers and workers observe. To run it by hand:
//
//	go test ./integration -run HostedSoak -soak.seeds=50 -soak.first=1 -soak.length=30s
//
// CI runs it for a short time, with the seeds that have failed before and one
// random seed.
var (
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds to run")
	soakFirst = flag.Uint64("soak.first", 0, "first seed; 0 draws a random one")
	// A large run has as many processes and workers as the machine bears.
	soakControls = flag.Int("soak.controls", 3, "number of control processes")
	soakEntries  = flag.Int("soak.entries", 2, "number of entries")
	soakWorkers  = flag.Int("soak.workers", 4, "number of workers")
	soakLength   = flag.Duration("soak.length", 12*time.Second, "how long faults are injected for each seed")
	soakLogs     = flag.String("soak.logs", "", "directory that keeps the logs and a trace of all runs; empty keeps none")
)

// failedSeeds are the seeds that have failed before, each with the cause.
var failedSeeds = []uint64{
	102, // A fault of the test itself: a worker that crashed while it started kept its address in use.
}

// Limits of the checks.
const (
	// recoveryLimit is the time after the last fault within which every job
	// must have ended. It covers a lease granted by the former leader, an
	// election, and the work itself.
	recoveryLimit = 40 * time.Second
	// staleReadLimit is the time after which every process must return an
	// acknowledged configuration or a newer one.
	staleReadLimit = 2 * time.Second
)

// deadlyJobs is the number of jobs of which one has a task that crashes its
// workers.
const deadlyJobs = 11

// soak is a soak test with one seed.
type soak struct {
	*hosted
	seed      uint64
	random    *rand.Rand
	startedAt time.Time

	mu sync.Mutex
	// accepted holds the accepted jobs, cancelled those for which a
	// cancellation was sent, whether or not it was acknowledged, deadly those
	// with a task that crashes its workers.
	accepted, cancelled, deadly map[string]bool
	// acked is the highest acknowledged configuration version, ackedAt the
	// time of its acknowledgement.
	acked   int
	ackedAt time.Time
	// attempted is the highest configuration version that was sent. A version from
	// acked to it is in force.
	attempted int

	// workersMu guards the workers, the count of their incarnations, and over,
	// which is set at the end of the test.
	workersMu    sync.Mutex
	workers      []*hostedWorker
	incarnations int
	over         bool
	relays       []*relay
	// restartMu serializes the restarts of processes.
	restartMu sync.Mutex
}

func TestHostedSoak(t *testing.T) {
	t.Parallel()
	seeds := append([]uint64(nil), failedSeeds...)
	first := *soakFirst
	if first == 0 {
		first = rand.Uint64() % 1_000_000
	}
	for i := range *soakSeeds {
		seeds = append(seeds, first+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		// Both the leader's own calls and those of delegates meet the faults.
		hosted: newHosted(t, *soakControls, *soakEntries, directWorkers(*soakWorkers/4), keepLogs(seed)), seed: seed, random: rand.New(rand.NewPCG(seed, 7)),
		accepted: map[string]bool{}, cancelled: map[string]bool{}, deadly: map[string]bool{},
	}
	s.ledger.random = rand.New(rand.NewPCG(seed, 10))
	s.useAccounts()
	s.configure()
	s.acked, s.ackedAt, s.attempted = s.version, time.Now(), s.version
	s.addWorkers()
	t.Cleanup(s.endWorkers)
	return s
}

// run sends requests while it injects one fault after the other. It then ends
// all faults and checks that no accepted job and no acknowledged configuration
// was lost.
func (s *soak) run() {
	s.startedAt = time.Now()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, call := range []func(int){s.submitOne, s.readOne, s.changeConfiguration, s.callWithKeys} {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					call(i)
				}
			}
		}()
	}
	callers.Go(func() { s.changeWorkers(rand.New(rand.NewPCG(s.seed, 8)), stop) })
	for end := time.Now().Add(*soakLength); time.Now().Before(end); {
		s.injectFault()
		time.Sleep(time.Duration(s.random.IntN(900)) * time.Millisecond)
	}
	s.heal()
	close(stop)
	callers.Wait()
	s.checkJobs()
	s.checkConfiguration()
	s.checkKeys()
}

// submitOne submits a job, and cancels it if i is a multiple of seven. One job in
// deadlyJobs has a task that crashes its workers, except towards the end. One in
// four is for the workers that do not enforce their capacity.
func (s *soak) submitOne(i int) {
	id, count, spec := jobID(i), 3, fmt.Sprintf("%dms", 100+i%5*150)
	if i%4 == 1 {
		s.jobPaths.Store(id, "/o/"+id)
		count = 8
	}
	steps := fmt.Sprintf(`{"count":%d,"cpu":1000,"mem_mb":1,"estimate_ms":300},{"count":2,"cpu":1000,"mem_mb":1,"estimate_ms":300,"depends_on":[0]}`, count)
	deadly := i%deadlyJobs == 5 && time.Since(s.startedAt) < *soakLength*2/3
	if deadly {
		spec = fmt.Sprintf("%s%dms", deadlySpec, 5+(s.seed+uint64(i))%120)
		steps = `{"count":1,"cpu":1000,"mem_mb":1,"estimate_ms":300},{"count":2,"cpu":1000,"mem_mb":1,"estimate_ms":300}`
	}
	status, _ := s.request(i%len(s.entries), http.MethodPost, s.pathOf(id), fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, spec, steps))
	cancel := i%7 == 0 && !deadly && status == http.StatusOK
	s.mu.Lock()
	if status == http.StatusOK {
		s.accepted[id], s.deadly[id] = true, deadly
	}
	if cancel {
		s.cancelled[id] = true
	}
	s.mu.Unlock()
	if cancel {
		s.request((i+1)%len(s.entries), http.MethodDelete, s.pathOf(id), "")
	}
	time.Sleep(100 * time.Millisecond)
}

// readOne reads an accepted job, which must be known and must not have failed.
func (s *soak) readOne(i int) {
	time.Sleep(30 * time.Millisecond)
	s.mu.Lock()
	var id string
	for candidate := range s.accepted {
		id = candidate
		break
	}
	cancelled, deadly := s.cancelled[id], s.deadly[id]
	s.mu.Unlock()
	if id == "" {
		return
	}
	state := s.state(i%len(s.entries), id)
	if state == "gone" || (state == "failed" && !deadly) || (state == "succeeded" && deadly) || (state == "cancelled" && !cancelled) {
		s.t.Errorf("accepted job %s is shown as %s; workers lost under its tasks: %v", id, state, s.ledger.lossesOf(id))
	}
}

// changeConfiguration sends the next configuration version. It also reads the
// configuration and checks that it is not older than the acknowledged one.
func (s *soak) changeConfiguration(int) {
	time.Sleep(700 * time.Millisecond)
	s.version++
	s.mu.Lock()
	s.attempted = s.version
	s.mu.Unlock()
	if s.sendConfiguration(s.version) == nil {
		s.mu.Lock()
		s.acked, s.ackedAt = s.version, time.Now()
		s.mu.Unlock()
	}
	s.mu.Lock()
	wanted, since := s.acked, s.ackedAt
	s.mu.Unlock()
	if time.Since(since) < staleReadLimit {
		return
	}
	if status, body := s.readConfiguration(); status == http.StatusOK && versionOf(body) < wanted {
		s.t.Errorf("configuration %d was read %s after %d was acknowledged", versionOf(body), time.Since(since), wanted)
	}
}

// versionOf returns the version of a configuration, or 0 if it is unreadable.
func versionOf(body string) int {
	var c struct{ Version int }
	if json.Unmarshal([]byte(body), &c) != nil {
		return 0
	}
	return c.Version
}

// checkJobs waits until every accepted job that was not cancelled has succeeded,
// or failed if one of its tasks crashes its workers. It checks that no cancelled job has failed or is unknown.
func (s *soak) checkJobs() {
	end := time.Now().Add(recoveryLimit)
	awaited := ""
	defer func() {
		if s.t.Failed() {
			s.logLinesOf(awaited)
		}
	}()
	for id := range s.accepted {
		if s.cancelled[id] {
			continue
		}
		awaited = id
		wanted := "succeeded"
		if s.deadly[id] {
			wanted = "failed"
		}
		s.awaitState(id, wanted, max(time.Until(end), time.Second))
	}
	for id := range s.cancelled {
		if state := s.state(0, id); state != "cancelled" && state != "succeeded" && state != "running" && state != "queued" {
			s.t.Errorf("job %s, for which a cancellation was sent, is %q", id, state)
		}
	}
	s.t.Logf("%d jobs accepted, %d cancelled, %d starts; workers crashed by tasks: %v", len(s.accepted), len(s.cancelled), s.ledger.starts, s.ledger.crashes)
}

// logLinesOf logs what the control processes told about a job.
func (s *soak) logLinesOf(job string) {
	for _, p := range s.controls {
		s.t.Logf("%s, lines of job %s:\n%s", filepath.Base(p.logPath), job, strings.Join(linesWith(s.t, p, job), "\n"))
	}
}

// checkConfiguration checks that the configuration read is not older than the
// last acknowledged one.
func (s *soak) checkConfiguration() {
	eventually(s.t, 10*time.Second, "the configuration can be read", func() error {
		status, body := s.readConfiguration()
		if status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		if got := versionOf(body); got < s.acked {
			s.t.Errorf("configuration %d was read, %d was acknowledged", got, s.acked)
		}
		return nil
	})
}
