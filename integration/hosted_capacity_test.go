package integration

import "time"

const (
	// hostedTaskCPU is the processor time that each task requests.
	hostedTaskCPU = 1000
	// hostedContact is the contact_ms of the settings.
	hostedContact = 3 * time.Second
)

// formerCapacity is a capacity that a worker stated until some time.
type formerCapacity struct {
	cpu   int64
	until time.Time
}

// resize changes the capacity that the worker states.
func (w *hostedWorker) resize(cpu int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.formerCapacities = append(w.formerCapacities, formerCapacity{w.capacity, time.Now()})
	w.capacity = cpu
	w.ledger.trace.Printf("capacity of %s is %d", w.id, cpu)
}

// checkCapacity fails the test if a start has brought the worker over its
// capacity. A capacity that has shrunk counts hostedContact and one heartbeat
// later. The caller holds w.mu.
func (w *hostedWorker) checkCapacity(task string) {
	allowed := w.capacity
	for _, former := range w.formerCapacities {
		if time.Since(former.until) < hostedContact+w.heartbeatInterval {
			allowed = max(allowed, former.cpu)
		}
	}
	if used := int64(len(w.running)) * hostedTaskCPU; used > allowed {
		w.ledger.t.Errorf("the start of %s brings %s to %d of %d", task, w.id, used, allowed)
	}
}
