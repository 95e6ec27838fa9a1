package scheduler

import (
	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/execution"
)

// formerCallsRefused counts the calls that the next incarnation of a worker refused.
var formerCallsRefused = metrics.NewCounter(`arbutus_former_worker_calls_refused_total`)

// recordRefusal records the refusal of a call that was made for an incarnation that
// the loop's table holds no longer: this leader has called the next one.
func (l *loop) recordRefusal(w *worker, call string, refusal execution.Refusal) {
	if refusal != execution.RefusedFencingToken || !w.removed {
		return
	}
	formerCallsRefused.Inc()
	l.Log.Info("call for a former incarnation refused", "worker", w.reg.ID, "incarnation", w.reg.Incarnation, "call", call)
}
