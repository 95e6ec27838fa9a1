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
	// maxSamples is the largest number of samples of one service; the oldest is
	// dropped first.
	maxSamples = 720
	// maxSampledServices is the largest number of services that are sampled.
	maxSampledServices = 512
	// defaultSampleInterval is the time between samples if the settings give none.
	defaultSampleInterval = 10 * time.Second
	// sampleTimeout is the timeout of the calls for one sample.
	sampleTimeout = 5 * time.Second
)

// sample is the capacity of one service at one time, in slots.
type sample struct {
	at       time.Time
	serving  int
	promised int
}

// serviceSamples are the newest samples of one service.
type serviceSamples struct {
	pool    string
	samples []sample
}

// sampler periodically asks control for the capacity of each service.
type sampler struct {
	settings *settings.Console
	server   *Server
	log      *slog.Logger
	interval time.Duration

	mu       sync.Mutex
	services map[string]*serviceSamples
	// failure is the reason why the newest sample could not be taken, or "".
	failure string
}

func newSampler(s *settings.Console, server *Server, log *slog.Logger) *sampler {
	interval := time.Duration(s.SampleSeconds) * time.Second
	if interval == 0 {
		interval = defaultSampleInterval
	}
	return &sampler{settings: s, server: server, log: log, interval: interval, services: map[string]*serviceSamples{}}
}

// run takes samples until the context ends.
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

// sampleOnce takes a sample of all services.
func (s *sampler) sampleOnce(ctx context.Context) {
	client, err := s.client()
	if err != nil {
		s.record(nil, err)
		return
	}
	if client == nil {
		s.record(nil, errors.New("nobody is signed in and no sample_token is set"))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	s.record(fetchCapacities(ctx, client))
}

// client returns a client with the console's own token, or the client of a live
// session if the settings name no token. It returns nil if there is neither.
func (s *sampler) client() (*adminclient.Client, error) {
	if s.settings.SampleToken == "" {
		return s.server.sessions.anyClient(time.Now()), nil
	}
	token, err := os.ReadFile(s.settings.SampleToken)
	if err != nil {
		return nil, logging.Wrap(err, "read sample token", s.settings.SampleToken)
	}
	return s.server.newClient(adminclient.ReadToken(token)), nil
}

// serviceCapacity is the present capacity of one service, in slots.
type serviceCapacity struct {
	service, pool     string
	serving, promised int
}

// fetchCapacities asks control for the capacity of each service. Control processes
// without capacity planning have no such call; the capacity then comes from their
// status, which only has the phases of the VMs.
func fetchCapacities(ctx context.Context, client *adminclient.Client) ([]serviceCapacity, error) {
	planned, err := client.Capacity(ctx)
	if errors.Is(err, adminclient.ErrNotAvailable) {
		return fetchCapacitiesByPhase(ctx, client)
	}
	if err != nil {
		return nil, err
	}
	var capacities []serviceCapacity
	for _, margin := range planned.Margins {
		capacities = append(capacities, serviceCapacity{service: margin.Service, pool: margin.Pool, serving: margin.ServingSlots, promised: margin.PromisedSlots})
	}
	return capacities, nil
}

// fetchCapacitiesByPhase counts the slots of the VMs in phase serving.
func fetchCapacitiesByPhase(ctx context.Context, client *adminclient.Client) ([]serviceCapacity, error) {
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
	var capacities []serviceCapacity
	for _, service := range accepted.Document.Services {
		capacities = append(capacities, serviceCapacity{service: service.Name, pool: service.Pool, serving: slots[service.Pool], promised: service.Budget.PromisedSlots})
	}
	return capacities, nil
}

// record adds a sample of each service, or stores the error of the failed sample.
// Services without a new sample are dropped.
func (s *sampler) record(capacities []serviceCapacity, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = ""
	if err != nil {
		s.failure = err.Error()
		return
	}
	now := time.Now().UTC()
	kept := map[string]*serviceSamples{}
	for _, capacity := range capacities[:min(len(capacities), maxSampledServices)] {
		samples := s.services[capacity.service]
		if samples == nil {
			samples = &serviceSamples{}
		}
		samples.add(capacity, now)
		kept[capacity.service] = samples
	}
	s.services = kept
}

// add appends a sample and drops the oldest beyond maxSamples.
func (s *serviceSamples) add(capacity serviceCapacity, now time.Time) {
	s.pool = capacity.pool
	if len(s.samples) == maxSamples {
		s.samples = slices.Delete(s.samples, 0, 1)
	}
	s.samples = append(s.samples, sample{at: now, serving: capacity.serving, promised: capacity.promised})
}

// ServicePlot is the present capacity of one service and its plot over time.
type ServicePlot struct {
	Service, Pool     string
	Serving, Promised int
	Plot              plot.Plot
}

// Short returns the number of serving slots missing to meet the promise.
func (p ServicePlot) Short() int { return max(0, p.Promised-p.Serving) }

// plots returns the plots of all services, sorted by name, and the reason why the
// newest sample failed, or "".
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

// plot draws the samples of the service with the name.
func (s *serviceSamples) plot(name string, interval time.Duration) ServicePlot {
	last := s.samples[len(s.samples)-1]
	serving := plot.Line{Name: "slots that serve", Color: "#0a5a8c"}
	promised := plot.Line{Name: "slots promised", Color: "#a33", Dashed: true}
	for _, sample := range s.samples {
		serving.Points = append(serving.Points, plot.Point{At: sample.at, Value: float64(sample.serving)})
		promised.Points = append(promised.Points, plot.Point{At: sample.at, Value: float64(sample.promised)})
	}
	return ServicePlot{Service: name, Pool: s.pool, Serving: last.serving, Promised: last.promised, Plot: plot.Plot{
		Title:       "Slots of service " + name,
		Description: "Serving slots of pool " + s.pool + " against the slots promised to the service",
		From:        s.samples[0].at, To: last.at.Add(interval),
		Lines: []plot.Line{serving, promised},
	}}
}

// sampleIfEmpty takes a sample if there is none yet, so that a page that is opened
// right after the start of the console shows data.
func (s *sampler) sampleIfEmpty(ctx context.Context) {
	s.mu.Lock()
	empty := len(s.services) == 0
	s.mu.Unlock()
	if empty {
		s.sampleOnce(ctx)
	}
}
