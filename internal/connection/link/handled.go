package link

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// handled holds the counters of the calls and messages that this process has
// handled, by kind.
var handled = struct {
	mu     sync.Mutex
	byKind map[Kind]*metrics.Counter
}{byKind: map[Kind]*metrics.Counter{}}

// handledCounter returns the counter of a kind.
func handledCounter(kind Kind) *metrics.Counter {
	handled.mu.Lock()
	defer handled.mu.Unlock()
	counter := handled.byKind[kind]
	if counter == nil {
		counter = metrics.GetOrCreateCounter(fmt.Sprintf(`arbutus_link_handled_total{kind=%q}`, kind))
		handled.byKind[kind] = counter
	}
	return counter
}

// HandledByKind returns how many calls and messages this process has handled, by
// kind, on all its nodes.
func HandledByKind() map[Kind]uint64 {
	handled.mu.Lock()
	defer handled.mu.Unlock()
	counts := make(map[Kind]uint64, len(handled.byKind))
	for kind, counter := range handled.byKind {
		counts[kind] = counter.Get()
	}
	return counts
}
