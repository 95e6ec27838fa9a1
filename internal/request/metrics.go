package request

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// serviceMetrics holds the metrics of one service, so that the hot path does
// not format metric names.
type serviceMetrics struct {
	outcomes map[Outcome]*metrics.Counter
	seconds  *metrics.Histogram
	spilled  *metrics.Counter
	retries  *metrics.Counter
}

func newServiceMetrics(service, class string) *serviceMetrics {
	m := &serviceMetrics{outcomes: map[Outcome]*metrics.Counter{}}
	for _, outcome := range []Outcome{Ran, NotRun, Unknown} {
		m.outcomes[outcome] = metrics.GetOrCreateCounter(fmt.Sprintf(`arbutus_requests_total{service=%q,outcome=%q}`, service, outcome))
	}
	m.seconds = metrics.GetOrCreateHistogram(fmt.Sprintf(`arbutus_request_seconds{class=%q}`, class))
	m.spilled = metrics.GetOrCreateCounter(fmt.Sprintf(`arbutus_spilled_total{service=%q}`, service))
	m.retries = metrics.GetOrCreateCounter(fmt.Sprintf(`arbutus_retries_total{service=%q}`, service))
	return m
}

// countRefusal counts a refusal by its reason.
func countRefusal(why reason) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`arbutus_refusals_total{reason=%q}`, why)).Inc()
}

// registerGauges registers gauges of the scheduler's state. If a process has
// several handlers, as in tests, the gauges show the first one.
func (s *scheduler) registerGauges() {
	metrics.GetOrCreateGauge("arbutus_queue_length", func() float64 { return float64(s.queueLength()) })
	metrics.GetOrCreateGauge("arbutus_ejected_targets", func() float64 { return float64(s.ejectedTargets()) })
}

func (s *scheduler) queueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	length := 0
	for _, svc := range s.services {
		length += svc.queue.length
	}
	return length
}

func (s *scheduler) ejectedTargets() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ejected := 0
	for _, p := range s.pools {
		ejected += p.ejected
	}
	return ejected
}
