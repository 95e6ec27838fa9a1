package workstate

import (
	"fmt"
	"sync"

	"arbutusward.example/arbutusward/internal/codec"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/version/access"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/jobmemory"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Machine is the replicated state machine. Apply, Snapshot and Restore must be
// called by a single goroutine. Read is safe for concurrent use but must not be
// called within another Read: a waiting Apply between the two would deadlock
// them.
type Machine struct {
	mu   sync.RWMutex
	data data

	// The following fields are derived from data.

	// active holds the jobs that are open or have tasks executing.
	active map[string]*Job
	// executing counts the executing runs by worker.
	executing executingRuns
	// accountUse holds what each client account has executing.
	accountUse accountUse
	// memory holds the memory that the jobs take.
	memory jobmemory.Tally
	// queues holds the catalog's queues and the removed ones by key.
	queues map[string]*catalog.Queue
	// access finds the accounts of keys.
	access *access.Index
	// workersVersion changes with each change of the registered workers.
	workersVersion uint64
}

var _ replica.StateMachine = (*Machine)(nil)

// NewMachine returns the state before the first command.
func NewMachine() *Machine {
	m := &Machine{data: emptyData()}
	m.derive()
	return m
}

// derive rebuilds the fields that are derived from data.
func (m *Machine) derive() {
	m.workersVersion++
	m.active = map[string]*Job{}
	m.executing, m.accountUse, m.memory = executingRuns{}, accountUse{}, jobmemory.Tally{}
	for _, job := range m.data.Jobs {
		if job.ended() {
			m.release(job)
			continue
		}
		m.active[job.ID] = job
		m.charge(job)
		job.countRunning()
		job.EachExecuting(func(id workload.TaskID, task *Task) {
			m.executing.add(task.Worker, task.Incarnation)
			m.accountUse.add(job.Account, job.Spec.Steps[id.Step].Need)
		})
	}
	m.indexQueues()
	m.access = access.NewIndex(&m.data.Catalog)
}

// Apply applies an encoded Command and returns the encoded Result. It implements
// replica.StateMachine.
func (m *Machine) Apply(_ uint64, entry []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	encoded, err := codec.MarshalStored(m.apply(entry))
	if err != nil {
		panic(fmt.Sprintf("result does not marshal: %v", err))
	}
	return encoded
}

func (m *Machine) apply(entry []byte) Result {
	var c Command
	if err := codec.Unmarshal(entry, &c); err != nil {
		return Result{Code: Malformed}
	}
	m.data.ClockMS = max(m.data.ClockMS, c.AtMS)
	switch {
	case c.Catalog != nil:
		return m.applyCatalog(c.Catalog)
	case c.Submit != nil:
		return m.applySubmit(c.Submit)
	case c.Cancel != nil:
		return m.applyCancel(c.Cancel)
	case c.Progress != nil:
		return m.applyProgress(c.Progress)
	case c.Packed != nil:
		return m.applyProgress(c.Packed.Unpack())
	case c.RaiseFormat != nil:
		m.data.Format = max(m.data.Format, c.RaiseFormat.Format)
		return Result{Code: OK}
	case c.Register != nil:
		return m.applyRegister(c.Register)
	case c.Deregister != nil:
		return m.applyDeregister(c.Deregister)
	case c.Wave != nil:
		return m.applyWave(c.Wave)
	case c.Maintenance != nil:
		return m.applyMaintenance(c.Maintenance)
	case c.PurgeJobs != nil:
		return m.applyPurgeJobs(c.PurgeJobs)
	}
	return Result{Code: Malformed}
}

// Snapshot returns the encoded state. It implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	encoded, err := codec.MarshalStored(m.data)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return encoded, nil
}

// Restore replaces the state by that of a snapshot. It implements
// replica.StateMachine.
func (m *Machine) Restore(_ uint64, snapshot []byte) error {
	restored := emptyData()
	if err := codec.UnmarshalStored(snapshot, &restored); err != nil {
		return fmt.Errorf("decode state snapshot: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.data = restored
	m.derive()
	return nil
}

// Read calls f with a view of the state. f must not change anything that it
// reads through the view, nor keep references to it after it returns.
func (m *Machine) Read(f func(*View)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(&View{m: m})
}
