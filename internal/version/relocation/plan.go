package relocation

import (
	"math"
	"slices"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// Plan tells which workers close, and holds a place for each long-running task that
// has to leave one or that waits.
type Plan struct {
	pools       map[string]*pool
	workers     map[string]*worker
	unavailable map[workload.StepID]int
}

// pool holds the workers of a service.
type pool struct {
	Pool
	workers []*worker
	// open counts the open workers, closed those that this plan has closed.
	open, closed int
}

// worker is a worker with the tasks that have a place on it.
type worker struct {
	Worker
	pool *pool
	// closed is set if this plan closes the worker.
	closed bool
	// reserved lists the tasks that have a place here beside Worker.Tasks.
	reserved []Task
}

// NewPlan returns a plan that closes no worker. The waiting tasks get a place as far
// as there is room.
func NewPlan(s Snapshot) *Plan {
	p := &Plan{pools: map[string]*pool{}, workers: make(map[string]*worker, len(s.Workers)), unavailable: s.Unavailable}
	all := make([]worker, len(s.Workers))
	for i := range s.Workers {
		w := &all[i]
		w.Worker = s.Workers[i]
		w.pool = p.poolOf(w.Service, s.Pools)
		w.pool.workers = append(w.pool.workers, w)
		if w.Open {
			w.pool.open++
		}
		p.workers[w.ID] = w
	}
	for i := range s.Waiting {
		p.Reserve(s.Waiting[i : i+1])
	}
	return p
}

func (p *Plan) poolOf(service string, pools map[string]Pool) *pool {
	known := p.pools[service]
	if known == nil {
		known = &pool{Pool: pools[service]}
		p.pools[service] = known
	}
	return known
}

// IsReserved reports whether a task that has to leave another worker, or that waits,
// has its place on the worker.
func (p *Plan) IsReserved(id string) bool {
	if p == nil {
		return false
	}
	w := p.workers[id]
	return w != nil && len(w.reserved) > 0
}

// Reserve finds a place for all of the tasks, or changes nothing and returns false.
func (p *Plan) Reserve(tasks []Task) bool {
	if len(tasks) == 0 {
		return true
	}
	to := p.pools[tasks[0].Service]
	if to == nil {
		return false
	}
	_, ok := to.placeAll(tasks, true)
	return ok
}

// CanClose reports whether Close would close the worker, whose VM is to move to another pool.
func (p *Plan) CanClose(id string) bool {
	w := p.workers[id]
	if w == nil || w.closed {
		return true
	}
	if p.keepsFloor(w, Yielding) != nil {
		return false
	}
	w.closed = true
	defer func() { w.closed = false }()
	placed, ok := p.placeFrom(w, Yielding)
	undo(placed)
	return ok
}

// Close closes a worker, or returns why it has to stay open. Its long-running tasks
// get a place on workers that don't wait to be drained themselves. Only if no such VM
// of the pool is about to come back, or if the deadline is pressing, they may go to
// others.
func (p *Plan) Close(id string, pressure Pressure) error {
	w := p.workers[id]
	if w == nil || w.closed {
		return nil
	}
	if err := p.keepsFloor(w, pressure); err != nil {
		return err
	}
	w.closed = true
	if _, ok := p.placeFrom(w, pressure); !ok {
		w.closed = false
		return ErrNoRoom
	}
	w.countClosed()
	return nil
}

// Interrupt closes a worker although its long-running tasks have no other place, so
// that they wait for the return of its VM. It returns ErrNoRoom if another VM of the
// pool is away, whose room they could use, or if their disruption budgets don't let
// all of them be unavailable at once.
func (p *Plan) Interrupt(id string) error {
	w := p.workers[id]
	if w == nil || w.closed {
		return nil
	}
	if err := p.keepsFloor(w, Urgent); err != nil {
		return err
	}
	if !p.mayInterrupt(w) {
		return ErrNoRoom
	}
	w.closed = true
	w.countClosed()
	return nil
}

// ForceClose closes a worker that accepts no tasks any more, whether or not there is
// room for those on it.
func (p *Plan) ForceClose(id string) {
	w := p.workers[id]
	if w == nil || w.closed {
		return
	}
	w.closed = true
	p.placeFrom(w, Pressing)
	w.countClosed()
}

// acceptsTasks reports whether tasks may get a place on the worker.
func (w *worker) acceptsTasks() bool { return w.Open && !w.closed }

// countClosed counts a worker that has been closed. The tasks that had a place there
// have another one.
func (w *worker) countClosed() {
	w.reserved = nil
	w.pool.closed++
	if w.Open {
		w.pool.open--
	}
}

// keepsFloor returns ErrTooFewOpen if the pool needs the worker to stay open.
func (p *Plan) keepsFloor(w *worker, pressure Pressure) error {
	if w.Open && w.pool.open <= w.pool.floor(pressure) {
		return ErrTooFewOpen
	}
	return nil
}

// floor returns the number of workers of the pool that stay open. A pool of one
// worker can't keep one.
func (p *pool) floor(pressure Pressure) int {
	size := p.open + p.closed + p.Away
	if size <= 1 {
		return 0
	}
	needed := max(1, int(math.Ceil(p.Load/workload.PackingRatio)))
	switch {
	case pressure >= Urgent:
		return min(needed, size/2)
	case pressure == Yielding && p.Yields:
		return min(needed, max(1, p.Kept))
	}
	return needed
}

// returning reports whether a VM of the pool is down or about to go down, and offers
// room that lasts once it has come back.
func (p *pool) returning() bool { return p.closed > 0 || p.Returning > 0 }

// placeFrom finds places for the tasks on a worker that closes, and for those that
// have a place there.
func (p *Plan) placeFrom(w *worker, pressure Pressure) ([]placement, bool) {
	moved, ok := w.pool.placeAll(w.reserved, true)
	if !ok {
		return nil, false
	}
	placed, ok := w.pool.placeAll(w.Tasks, false)
	if !ok && (pressure == Pressing || !w.pool.returning()) {
		placed, ok = w.pool.placeAll(w.Tasks, true)
	}
	if !ok {
		undo(moved)
		return nil, false
	}
	return append(moved, placed...), true
}

// mayInterrupt reports whether the tasks on a worker may wait for the return of its VM,
// see Interrupt.
func (p *Plan) mayInterrupt(w *worker) bool {
	if w.pool.closed > 0 || w.pool.Away > 0 || len(w.reserved) > 0 {
		return false
	}
	counts := map[workload.StepID]int{}
	for i := range w.Tasks {
		t := &w.Tasks[i]
		counts[t.Step]++
		if t.Budget >= 0 && p.unavailable[t.Step]+counts[t.Step] > t.Budget {
			return false
		}
	}
	return true
}

// placement is a place that was found for a task.
type placement struct {
	on   *worker
	task Task
}

// placeAll finds a place for all of the tasks, or changes nothing and returns false.
func (p *pool) placeAll(tasks []Task, onPending bool) ([]placement, bool) {
	var placed []placement
	for i := range tasks {
		w := p.best(&tasks[i], onPending)
		if w == nil {
			undo(placed)
			return nil, false
		}
		w.reserved = append(w.reserved, tasks[i])
		w.Room = w.Room.Sub(tasks[i].Charge)
		placed = append(placed, placement{w, tasks[i]})
	}
	return placed, true
}

// undo gives up places, those found last first.
func undo(placed []placement) {
	for _, found := range slices.Backward(placed) {
		w := found.on
		w.reserved = w.reserved[:len(w.reserved)-1]
		w.Room = w.Room.Add(found.task.Charge)
	}
}

// best returns the preferred worker for a task, or nil if there is none.
func (p *pool) best(t *Task, onPending bool) *worker {
	var found *worker
	for _, w := range p.workers {
		if !w.acceptsTasks() || (w.DrainPending && !onPending) || !w.suits(t) {
			continue
		}
		if found == nil || w.preferredTo(found) {
			found = w
		}
	}
	return found
}

// suits reports whether the worker has room for a task and may execute it.
func (w *worker) suits(t *Task) bool {
	if !w.Room.Fits(t.Charge) || (t.Label != "" && !slices.Contains(w.Labels, t.Label)) {
		return false
	}
	return t.MaxPerWorker == 0 || w.tasksOf(t.Step) < t.MaxPerWorker
}

// tasksOf returns the number of tasks of a step that are on the worker or have a place
// there.
func (w *worker) tasksOf(step workload.StepID) int {
	count := 0
	for i := range w.Tasks {
		if w.Tasks[i].Step == step {
			count++
		}
	}
	for i := range w.reserved {
		if w.reserved[i].Step == step {
			count++
		}
	}
	return count
}

// preferredTo orders the workers first that stay for longest, then those with the
// least room.
func (w *worker) preferredTo(other *worker) bool {
	if w.DrainPending != other.DrainPending {
		return other.DrainPending
	}
	if w.Closing != other.Closing {
		return other.Closing
	}
	if w.Room.MilliCPU != other.Room.MilliCPU {
		return w.Room.MilliCPU < other.Room.MilliCPU
	}
	return w.ID < other.ID
}
