package integration

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The soak injects faults at random into the real programs and checks what
// callers and workers see. By hand: go test ./integration -run HostedSoak
// -soak.seeds=50 -soak.first=1 -soak.length=30s. In CI it runs shortly, with
// the seeds that have failed once and a fresh one.
var (
	soakSeeds  = flag.Int("soak.seeds", 1, "number of seeds to soak")
	soakFirst  = flag.Uint64("soak.first", 0, "first seed; 0 draws one")
	soakLength = flag.Duration("soak.length", 12*time.Second, "time of faults for each seed")
)

// failedSeeds are seeds that found a fault once, each with its cause.
var failedSeeds = []uint64{
	102, // A worker that crashed as it began kept its address: the soak's own fault.
}

// Times of the soak.
const (
	// soakCalm is how long after the last fault every job must have ended:
	// an inherited lease, an election, and the work itself.
	soakCalm = 40 * time.Second
	// configurationAge is the bound within which an acknowledged
	// configuration is read back, from whichever process answers.
	configurationAge = 2 * time.Second
)

// soak is one run with one seed.
type soak struct {
	*hosted
	random *rand.Rand

	mu sync.Mutex
	// accepted holds the jobs that were accepted; cancelled those whose
	// cancel was acknowledged or may have been.
	accepted, cancelled map[string]bool
	// acked is the highest acknowledged configuration, ackedAt since when.
	acked   int
	ackedAt time.Time

	workers []*hostedWorker
	relays  []*relay
	lives   int
	// restarts lets one process be restarted at a time.
	restarts sync.Mutex
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
		hosted: newHosted(t, 3, 2), random: rand.New(rand.NewPCG(seed, 7)), accepted: map[string]bool{}, cancelled: map[string]bool{},
	}
	s.configure()
	s.acked, s.ackedAt = s.version, time.Now()
	for i := range 4 {
		w, r := s.addWorker(fmt.Sprint("w", i), 8000)
		s.workers, s.relays = append(s.workers, w), append(s.relays, r)
	}
	return s
}

// run serves callers while faults come in series, then heals everything and
// checks the promises.
func (s *soak) run() {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, call := range []func(int){s.submitOne, s.readOne, s.changeConfiguration} {
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
	for end := time.Now().Add(*soakLength); time.Now().Before(end); {
		s.injectFault()
		time.Sleep(time.Duration(s.random.IntN(900)) * time.Millisecond)
	}
	s.heal()
	close(stop)
	callers.Wait()
	s.checkJobs()
	s.checkConfiguration()
}

// submitOne hands one job in, and cancels some.
func (s *soak) submitOne(i int) {
	id := jobID(i)
	body := fmt.Sprintf(`{"spec":"%dms","steps":[{"count":3,"cpu":1000,"mem_mb":1,"estimate_ms":300},{"count":2,"cpu":1000,"mem_mb":1,"estimate_ms":300,"depends_on":[0]}]}`, 100+i%5*150)
	status, _ := s.request(i%2, http.MethodPost, "/q/"+id, body)
	if status == http.StatusOK {
		s.mu.Lock()
		s.accepted[id] = true
		s.mu.Unlock()
	}
	if status == http.StatusOK && i%7 == 0 {
		s.mu.Lock()
		s.cancelled[id] = true
		s.mu.Unlock()
		s.request((i+1)%2, http.MethodDelete, "/q/"+id, "")
	}
	time.Sleep(100 * time.Millisecond)
}

// readOne reads one accepted job: it must be known, and must not have
// failed.
func (s *soak) readOne(i int) {
	time.Sleep(30 * time.Millisecond)
	s.mu.Lock()
	var id string
	for candidate := range s.accepted {
		id = candidate
		break
	}
	cancelled := s.cancelled[id]
	s.mu.Unlock()
	if id == "" {
		return
	}
	state := s.state(i%2, id)
	if state == "gone" || state == "failed" || (state == "cancelled" && !cancelled) {
		s.t.Errorf("accepted job %s is shown as %s", id, state)
	}
}

// changeConfiguration sends the next version, and reads one back.
func (s *soak) changeConfiguration(int) {
	time.Sleep(700 * time.Millisecond)
	s.version++
	if s.sendConfiguration(s.version) == nil {
		s.mu.Lock()
		s.acked, s.ackedAt = s.version, time.Now()
		s.mu.Unlock()
	}
	s.mu.Lock()
	wanted, since := s.acked, s.ackedAt
	s.mu.Unlock()
	if time.Since(since) < configurationAge {
		return
	}
	if status, body := s.readConfiguration(); status == http.StatusOK && versionOf(body) < wanted {
		s.t.Errorf("configuration %d is read %s after %d was acknowledged", versionOf(body), time.Since(since), wanted)
	}
}

func versionOf(body string) int {
	var c struct{ Version int }
	if json.Unmarshal([]byte(body), &c) != nil {
		return 0
	}
	return c.Version
}

// injectFault draws one fault. Most end by themselves some seconds later,
// so that faults overlap.
func (s *soak) injectFault() {
	length := time.Duration(200+s.random.IntN(4000)) * time.Millisecond
	control := s.controls[s.random.IntN(len(s.controls))]
	entry := s.entries[s.random.IntN(len(s.entries))]
	worker := s.random.IntN(len(s.workers))
	switch fault := s.random.IntN(10); fault {
	case 0:
		s.t.Logf("kill %s for %s", control.id, length)
		control.kill()
		s.later(length, func() { s.restart(control) })
	case 1:
		s.t.Logf("freeze %s for %s", control.id, length)
		control.signal(syscall.SIGSTOP)
		s.later(length, func() { control.signal(syscall.SIGCONT) })
	case 2:
		s.t.Logf("stop %s gracefully for %s", control.id, length)
		control.signal(syscall.SIGTERM)
		s.later(length, func() { s.restart(control) })
	case 3:
		s.t.Logf("kill %s for %s", entry.id, length)
		entry.kill()
		s.later(length, func() { s.restart(entry) })
	case 4:
		s.t.Logf("freeze %s for %s", entry.id, length)
		entry.signal(syscall.SIGSTOP)
		s.later(length, func() { entry.signal(syscall.SIGCONT) })
	case 5:
		s.t.Logf("silence the way to w%d for %s", worker, length)
		s.relays[worker].toServer.silent.Store(true)
		s.later(length, func() { s.relays[worker].toServer.silent.Store(false) })
	case 6:
		s.t.Logf("silence the way from w%d for %s", worker, length)
		s.relays[worker].toClient.silent.Store(true)
		s.later(length, func() { s.relays[worker].toClient.silent.Store(false) })
	case 7:
		s.t.Logf("delay the way from w%d for %s", worker, length)
		s.relays[worker].toClient.delayNS.Store(int64(300 * time.Millisecond))
		s.later(length, func() { s.relays[worker].toClient.delayNS.Store(0) })
	case 8:
		s.crashWorker(worker)
	case 9:
		s.killAllControls(length / 4)
	}
}

// crashWorker ends a worker; another life begins at its address.
func (s *soak) crashWorker(i int) {
	s.lives++
	old := s.workers[i]
	s.t.Logf("crash %s", old.id)
	old.kill()
	id := fmt.Sprintf("w%d-%d", i, s.lives)
	w := startHostedWorker(s.t, s.ledger, id, "svc", old.address, old.advertised, 8000, s.controlAddresses())
	w.vm = old.vm
	s.workers[i] = w
}

func (s *soak) killAllControls(pause time.Duration) {
	s.t.Logf("kill all control processes for %s", pause)
	for _, c := range s.controls {
		c.kill()
	}
	time.Sleep(pause)
	for _, c := range s.controls {
		s.restart(c)
	}
}

// restart ends what runs of a process and starts it: faults that overlap
// may both want to.
func (s *soak) restart(p *process) {
	s.restarts.Lock()
	defer s.restarts.Unlock()
	p.kill()
	p.start()
}

// later runs the end of a fault.
func (s *soak) later(after time.Duration, end func()) {
	timer := time.AfterFunc(after, end)
	s.t.Cleanup(func() { timer.Stop() })
}

// heal ends all faults; what a timer still does later is harmless.
func (s *soak) heal() {
	s.t.Log("heal")
	time.Sleep(4300 * time.Millisecond)
	for _, r := range s.relays {
		r.toServer.silent.Store(false)
		r.toClient.silent.Store(false)
		r.toClient.delayNS.Store(0)
	}
	for _, p := range append(append([]*process(nil), s.controls...), s.entries...) {
		s.restart(p)
	}
}

// checkJobs waits until every accepted job has ended as it must.
func (s *soak) checkJobs() {
	end := time.Now().Add(soakCalm)
	for id := range s.accepted {
		if s.cancelled[id] {
			continue
		}
		s.awaitState(id, "succeeded", max(time.Until(end), time.Second))
	}
	for id := range s.cancelled {
		if state := s.state(0, id); state != "cancelled" && state != "succeeded" && state != "running" && state != "queued" {
			s.t.Errorf("job %s whose cancel was sent is %q", id, state)
		}
	}
	s.t.Logf("%d jobs accepted, %d cancelled, %d starts", len(s.accepted), len(s.cancelled), s.ledger.starts)
}

// checkConfiguration reads back at least what was acknowledged last.
func (s *soak) checkConfiguration() {
	eventually(s.t, 10*time.Second, "the configuration is read", func() error {
		status, body := s.readConfiguration()
		if status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		if got := versionOf(body); got < s.acked {
			s.t.Errorf("configuration %d is read back, %d was acknowledged", got, s.acked)
		}
		return nil
	})
}
