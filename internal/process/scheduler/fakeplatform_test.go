package scheduler

import (
	"context"
	"sync"

	"arbutusward.example/arbutusward/internal/connection/execution"
)

// fakePlatform holds VMs and executes orders at once.
type fakePlatform struct {
	mu  sync.Mutex
	vms map[string]*execution.VM
	// onDown is called when a VM goes down.
	onDown func(vm, pool string)
	// refusal, if set, is the answer to all orders.
	refusal    execution.VMRefusal
	orders     []string
	maintained map[maintenanceID]bool
	// wave is the last wave for which a VM had its maintenance.
	wave map[string]int64
	// answersLost is the number of orders that are executed without an answer.
	answersLost int
	// downNow and maxDown are the current and the highest number of VMs that
	// are down for maintenance.
	downNow, maxDown int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{vms: map[string]*execution.VM{}, maintained: map[maintenanceID]bool{}, wave: map[string]int64{}}
}

func (p *fakePlatform) VMs(context.Context) ([]execution.VM, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []execution.VM
	for _, vm := range p.vms {
		list = append(list, *vm)
	}
	return list, nil
}

func (p *fakePlatform) order(vm, what, pool string, state execution.VMState) execution.VMRefusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.vms[vm]
	if p.refusal != execution.VMAccepted {
		return p.refusal
	}
	if known == nil {
		return execution.VMRefusedOther
	}
	if known.State != execution.VMUp {
		return execution.VMBusy
	}
	p.orders = append(p.orders, what+" "+vm+" "+pool)
	known.State = state
	if pool != "" {
		known.Pool = pool
	}
	if p.onDown != nil {
		p.onDown(vm, known.Pool)
	}
	return execution.VMAccepted
}

// loseAnswers makes the platform execute some orders without an answer.
func (p *fakePlatform) loseAnswers(orders int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersLost = orders
}

// maintenanceID identifies the maintenance of a VM for a wave.
type maintenanceID struct {
	vm   string
	wave int64
}

// isMaintained reports whether a VM had its maintenance for a wave.
func (p *fakePlatform) isMaintained(vm string, wave int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maintained[maintenanceID{vm, wave}]
}

// answerError returns an error if the answer to an order is lost.
func (p *fakePlatform) answerError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answersLost > 0 {
		p.answersLost--
		return execution.ErrNoAnswer
	}
	return nil
}

// isIn reports whether a VM is in a pool already.
func (p *fakePlatform) isIn(vm, pool string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.vms[vm]
	return known != nil && known.Pool == pool
}

func (p *fakePlatform) Move(_ context.Context, vm, pool, _ string, _ uint64) (execution.VMRefusal, error) {
	if p.isIn(vm, pool) {
		return execution.VMAccepted, p.answerError()
	}
	return p.order(vm, "move", pool, execution.VMMoving), p.answerError()
}

func (p *fakePlatform) StartMaintenance(_ context.Context, vm string, wave int64, _ string, _ uint64) (execution.VMRefusal, error) {
	if p.isMaintained(vm, wave) {
		return execution.VMAccepted, p.answerError()
	}
	refusal := p.order(vm, "upkeep", "", execution.VMMaintenance)
	if refusal == execution.VMAccepted {
		p.mu.Lock()
		p.maintained[maintenanceID{vm, wave}] = true
		p.wave[vm] = wave
		p.downNow++
		p.maxDown = max(p.maxDown, p.downNow)
		p.mu.Unlock()
	}
	return refusal, p.answerError()
}
