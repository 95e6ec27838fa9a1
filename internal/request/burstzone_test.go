package request

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// burstZone is the first zone of a deployment, with its entries in this process.
type burstZone struct {
	t        *testing.T
	view     *view.View
	entries  []http.Handler
	handlers []*Handler
	hedged   bool
	group    sync.WaitGroup
	mu       sync.Mutex
	samples  []burstSample
}

// burstSample is one request as its caller saw it. bursting is the service in
// burst at that time, or "".
type burstSample struct {
	service  string
	bursting string
	status   int
	took     time.Duration
}

func newBurstZone(t *testing.T, document *fleet.Document, policy string) *burstZone {
	z := &burstZone{t: t, view: view.Empty(), hedged: policy == "hedged"}
	z.view.Version = 1
	targets := map[string]announce.Target{}
	for _, pool := range document.Pools {
		if pool.Spare {
			z.view.SparePool = pool.Name
		}
	}
	for _, vm := range document.VMs {
		if vm.Zone == document.Zones[0].Name {
			z.view.VMs[vm.Name] = view.VM{Name: vm.Name, Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, Epoch: 1, Phase: view.Serving, Slots: vm.Slots, Connections: vm.Connections}
			targets[vm.Name] = announce.Target{Announcement: announce.Announcement{VM: vm.Name, Address: burstTarget(t, vm.Slots), Incarnation: "1"}, Expires: time.Now().Add(time.Hour)}
		}
	}
	for _, service := range document.Services {
		service.Spill = service.Spill && policy != "no-spill" && policy != "no-queue"
		switch policy {
		case "no-queue":
			service.QueueLimit = -1
		case "limit-512":
			service.QueueLimit = 512
		}
		z.view.Services[service.Name] = service
	}
	for rank := range entriesOfZone {
		z.addEntry(policy, targets, rank)
	}
	return z
}

func (z *burstZone) addEntry(policy string, targets map[string]announce.Target, rank int) {
	if policy == "random" {
		z.entries = append(z.entries, newPlainProxy(z.view, targets))
		return
	}
	h := NewHandler(targetconn.NewClient(), nil, timeline.NewRecorder("test", "z"), slog.New(slog.DiscardHandler))
	h.SetTable(NewTable(z.view, &announce.Snapshot{Targets: targets}, entriesOfZone).WithRank(rank))
	z.entries, z.handlers = append(z.entries, h), append(z.handlers, h)
}

// burstTarget runs a target that executes as many requests at once as it has
// slots. Further requests wait.
func burstTarget(t *testing.T, slots int) string {
	running := make(chan struct{}, slots)
	return serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		defer func() { <-running }()
		us, _ := strconv.Atoi(r.Header.Get(timeHeader))
		select {
		case <-time.After(time.Duration(us) * time.Microsecond):
		case <-r.Context().Done():
		}
		w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
		_, _ = w.Write([]byte("answer"))
	})
}

// run makes each service burst in turn while the others stay at their mean rate.
func (z *burstZone) run() {
	names := z.services()
	for _, bursting := range names {
		z.phase(names, bursting, burstFactor, burstTime)
		z.phase(names, bursting, lullFactor, lullTime)
	}
	z.group.Wait()
}

func (z *burstZone) services() []string {
	var names []string
	for name := range z.view.Services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// phase generates Poisson arrivals for all services. The seeds are the same for
// all policies.
func (z *burstZone) phase(names []string, bursting string, factor float64, length time.Duration) {
	var generators sync.WaitGroup
	for i, name := range names {
		rate := z.meanRate(name)
		if name == bursting {
			rate *= factor
		}
		random := rand.New(rand.NewPCG(uint64(i), math.Float64bits(rate)))
		generators.Go(func() { z.arrive(name, bursting, factor > 1, rate, length, random) })
	}
	generators.Wait()
}

// meanRate returns the requests per second of one service. The services of a
// pool have equal rates, which together keep meanUse of its slots busy.
func (z *burstZone) meanRate(name string) float64 {
	slots, services := 0, 0
	for _, vm := range z.view.VMs {
		if vm.Pool == z.view.Services[name].Pool {
			slots += vm.Slots
		}
	}
	for _, service := range z.view.Services {
		if service.Pool == z.view.Services[name].Pool {
			services++
		}
	}
	return meanUse * float64(slots) / serviceTime.Seconds() / float64(services)
}

func (z *burstZone) arrive(name, bursting string, inBurst bool, rate float64, length time.Duration, random *rand.Rand) {
	if !inBurst {
		bursting = ""
	}
	end := time.Now().Add(length)
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if next.After(end) {
			return
		}
		time.Sleep(time.Until(next))
		us := int(random.ExpFloat64() * float64(serviceTime.Microseconds()))
		entry, caller := z.entries[random.IntN(len(z.entries))], fmt.Sprint(random.IntN(20))
		again := int(random.ExpFloat64() * float64(serviceTime.Microseconds()))
		z.group.Go(func() { z.request(entry, name, bursting, []int{us, again}, caller) })
	}
}

// request makes one request and records its sample. us are the run times of its
// first and of its hedged attempt in microseconds.
func (z *burstZone) request(entry http.Handler, name, bursting string, us []int, caller string) {
	start := time.Now()
	var status int
	if z.hedged {
		status = z.hedge(entry, name, us, caller)
	} else {
		status = z.send(context.Background(), entry, name, us[0], caller)
	}
	sample := burstSample{service: name, bursting: bursting, status: status, took: time.Since(start)}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.samples = append(z.samples, sample)
}

func (z *burstZone) send(ctx context.Context, entry http.Handler, name string, us int, caller string) int {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, z.view.Services[name].PathPrefix+"x", nil)
	r.Header.Set(timeHeader, strconv.Itoa(us))
	r.Header.Set(CallerHeader, caller)
	w := httptest.NewRecorder()
	entry.ServeHTTP(w, r)
	return w.Code
}

// hedge sends a duplicate with its own run time after hedgeAfter, and cancels
// the attempt that has not answered once the other has.
func (z *burstZone) hedge(entry http.Handler, name string, us []int, caller string) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	statuses := make(chan int, 2)
	z.group.Go(func() { statuses <- z.send(ctx, entry, name, us[0], caller) })
	select {
	case status := <-statuses:
		return status
	case <-time.After(hedgeAfter):
	}
	z.group.Go(func() { statuses <- z.send(ctx, entry, name, us[1], caller) })
	if status := <-statuses; status == http.StatusOK {
		return status
	}
	return <-statuses
}
