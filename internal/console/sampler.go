package console

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/report/plot"
	"arbutusward.example/arbutusward/internal/version/view"
)

const (
	// maxSamples bounds the samples of one service; the oldest is dropped.
	maxSamples = 720
	// maxSampledServices bounds the services that are sampled.
	maxSampledServices = 512
	// defaultSampleInterval is the time between samples.
	defaultSampleInterval = 10 * time.Second
	// sampleTimeout bounds one sample.
	sampleTimeout = 5 * time.Second
)

// sample is the capacity of one service at one time.
type sample struct {
	at       time.Time
	serving  int
	promised int
}

// serviceSamples are the newest samples of one service.
type serviceSamples struct {
	pool string
	ring []sample
}

// sampler asks control for the capacity of each service from time to time.
type sampler struct {
	settings *settings.Console
	server   *Server
	log      *slog.Logger
	interval time.Duration

	mu       sync.Mutex
	services map[string]*serviceSamples
	// failure says why the newest sample could not be had, "" if it could.
	failure string
}

func newSampler(s *settings.Console, server *Server, log *slog.Logger) *sampler {
	interval := time.Duration(s.SampleSeconds) * time.Second
	if interval == 0 {
		interval = defaultSampleInterval
	}
	return &sampler{settings: s, server: server, log: log, interval: interval, services: map[string]*serviceSamples{}}
}

// run samples until the context ends.
func (s *sampler) run(ctx context.Context) {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		s.sampleOnce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sampleOnce takes one sample of all services.
func (s *sampler) sampleOnce(ctx context.Context) {
	client, err := s.client()
	if err != nil {
		s.note(nil, err)
		return
	}
	if client == nil {
		s.note(nil, errors.New("nobody is signed in and no sample_token is set"))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	s.note(capacities(ctx, client))
}

// client returns a client by the console's own token, or by that of a
// live session; nil if there is neither.
func (s *sampler) client() (*adminclient.Client, error) {
	if s.settings.SampleToken == "" {
		return s.server.sessions.any(time.Now()), nil
	}
	token, err := os.ReadFile(s.settings.SampleToken)
	if err != nil {
		return nil, logging.Wrap(err, "read sample token", s.settings.SampleToken)
	}
	return s.server.newClient(adminclient.ReadToken(token)), nil
}

// capacity is the present capacity of one service.
type capacity struct {
	service, pool     string
	serving, promised int
}

// capacities asks control; one without capacity planning gives its status,
// which counts the VMs by phase alone.
func capacities(ctx context.Context, client *adminclient.Client) ([]capacity, error) {
	planned, err := client.Capacity(ctx)
	if errors.Is(err, adminclient.ErrNotAvailable) {
		return phaseCapacities(ctx, client)
	}
	if err != nil {
		return nil, err
	}
	var found []capacity
	for _, margin := range planned.Margins {
		found = append(found, capacity{service: margin.Service, pool: margin.Pool, serving: margin.ServingSlots, promised: margin.PromisedSlots})
	}
	return found, nil
}

func phaseCapacities(ctx context.Context, client *adminclient.Client) ([]capacity, error) {
	accepted, err := client.CurrentDocument(ctx)
	if err != nil || accepted.Document == nil {
		return nil, err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	slots := map[string]int{}
	for _, vm := range status.VMs {
		if vm.Phase == view.Serving {
			slots[vm.Pool] += vm.Slots
		}
	}
	var found []capacity
	for _, service := range accepted.Document.Services {
		found = append(found, capacity{service: service.Name, pool: service.Pool, serving: slots[service.Pool], promised: service.Budget.PromisedSlots})
	}
	return found, nil
}

// note adds a sample of each service, or why there is none. Services that
// are gone are dropped.
func (s *sampler) note(found []capacity, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = ""
	if err != nil {
		s.failure = err.Error()
		return
	}
	now := time.Now().UTC()
	kept := map[string]*serviceSamples{}
	for _, one := range found[:min(len(found), maxSampledServices)] {
		samples := s.services[one.service]
		if samples == nil {
			samples = &serviceSamples{}
		}
		samples.add(one, now)
		kept[one.service] = samples
	}
	s.services = kept
}

func (s *serviceSamples) add(one capacity, now time.Time) {
	s.pool = one.pool
	if len(s.ring) == maxSamples {
		s.ring = slices.Delete(s.ring, 0, 1)
	}
	s.ring = append(s.ring, sample{at: now, serving: one.serving, promised: one.promised})
}

// ServicePlot is the capacity of one service over time.
type ServicePlot struct {
	Service, Pool     string
	Serving, Promised int
	Plot              plot.Plot
}

// Short is the number of slots that the promise lacks now.
func (p ServicePlot) Short() int { return max(0, p.Promised-p.Serving) }

// plots draws all services by name.
func (s *sampler) plots() ([]ServicePlot, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var plots []ServicePlot
	for name, samples := range s.services {
		plots = append(plots, samples.plot(name, s.interval))
	}
	slices.SortFunc(plots, func(a, b ServicePlot) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return plots, s.failure
}

func (s *serviceSamples) plot(name string, interval time.Duration) ServicePlot {
	last := s.ring[len(s.ring)-1]
	serving := plot.Line{Name: "slots that serve", Color: "#0a5a8c"}
	promised := plot.Line{Name: "slots promised", Color: "#a33", Dashed: true}
	for _, one := range s.ring {
		serving.Points = append(serving.Points, plot.Point{At: one.at, Value: float64(one.serving)})
		promised.Points = append(promised.Points, plot.Point{At: one.at, Value: float64(one.promised)})
	}
	return ServicePlot{Service: name, Pool: s.pool, Serving: last.serving, Promised: last.promised, Plot: plot.Plot{
		Title:       "Slots of service " + name,
		Description: "Serving slots of pool " + s.pool + " against the slots promised to the service",
		From:        s.ring[0].at, To: last.at.Add(interval),
		Lines: []plot.Line{serving, promised},
	}}
}

// sampleIfEmpty takes the first sample at once, so that a page that is
// opened right after the start of the console is not empty.
func (s *sampler) sampleIfEmpty(ctx context.Context) {
	s.mu.Lock()
	empty := len(s.services) == 0
	s.mu.Unlock()
	if empty {
		s.sampleOnce(ctx)
	}
}
