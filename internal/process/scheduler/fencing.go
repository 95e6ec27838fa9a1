package scheduler

import (
	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/execution"
)

// Parts of a fencing token. It travels as a JSON number, of which a receiver may
// keep 53 bits, so that 37 bits are left for the term.
const (
	generationBits = 16
	maxGeneration  = 1<<generationBits - 1
)

// formerCallsRefused counts the calls that the next incarnation of a worker refused.
var formerCallsRefused = metrics.NewCounter(`arbutus_former_worker_calls_refused_total`)

// fencingToken orders the calls to the workers of one id: by the leader's term, and
// within a term by generation. A worker does nothing for a token lower than one
// that it has seen, so that once a leader has called an incarnation, that accepts
// neither calls of former leaders nor late calls for former incarnations.
type fencingToken uint64

// newFencingToken returns the token of a term and a generation. Beyond
// maxGeneration the generations share the last token of the term.
func newFencingToken(term, generation uint64) fencingToken {
	return fencingToken(term<<generationBits | min(generation, maxGeneration))
}

// generations numbers the incarnations of each worker id that a leader has learned
// of in its term, from 0. The ids are kept until the term ends: one that is removed
// may be registered again.
type generations map[string]uint64

// next returns the generation of a newly learned incarnation, which may be one that
// was removed before.
func (g generations) next(id string) uint64 {
	generation, known := g[id]
	if known {
		generation++
	}
	g[id] = generation
	return generation
}

// recordRefusal records the refusal of a call that was made for an incarnation that
// the loop's table holds no longer: this leader has called the next one.
func (l *loop) recordRefusal(w *worker, call string, refusal execution.Refusal) {
	if refusal != execution.RefusedFencingToken || !w.removed {
		return
	}
	formerCallsRefused.Inc()
	l.Log.Info("call for a former incarnation refused", "worker", w.reg.ID, "incarnation", w.reg.Incarnation, "call", call)
}
