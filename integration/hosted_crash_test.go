package integration

import "strings"

// deadlySpec begins the spec of a job whose first task crashes its workers. The
// time after the start follows.
const deadlySpec = "deadly "

// isDeadly reports whether a task of a job with deadlySpec crashes its workers.
func isDeadly(task string) bool { return strings.HasSuffix(task, ".0.0.0") }

// crash kills the worker because of a run, unless the run has ended.
func (w *hostedWorker) crash(run *hostedRun) {
	w.mu.Lock()
	executing := w.running[run.task] == run
	w.mu.Unlock()
	if !executing {
		return
	}
	w.ledger.recordCrash(w, run.task)
	w.kill()
	if w.onCrash != nil {
		w.onCrash(w)
	}
}
