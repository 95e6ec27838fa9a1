package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/platform"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/version/plan"
)

const (
	// maxPlatformCalls limits the concurrent calls to the platform.
	maxPlatformCalls = 16
	// platformRetryInterval is the minimum time between two calls about one
	// VM.
	platformRetryInterval = 500 * time.Millisecond
)

// platformCalls sends orders to the platform without blocking the planning
// loop, and keeps the answers. It is safe for concurrent use.
type platformCalls struct {
	client platform.Client
	log    *slog.Logger
	// slots limits the concurrent calls.
	slots chan struct{}

	mu  sync.Mutex
	vms map[string]platformVM
}

// platformVM is the known state of one VM.
type platformVM struct {
	status plan.PlatformStatus
	busy   bool
	// next is the earliest time of the next call.
	next time.Time
}

func newPlatformCalls(client platform.Client, log *slog.Logger) *platformCalls {
	return &platformCalls{client: client, log: log, slots: make(chan struct{}, maxPlatformCalls), vms: map[string]platformVM{}}
}

// status returns the last known platform status of a VM.
func (p *platformCalls) status(vm string) plan.PlatformStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms[vm].status
}

// ensure sends an order, unless the platform has reported that it was
// executed. The planning loop calls it again until then. The order is the
// idempotency key, so that repeated calls do not execute it twice.
func (p *platformCalls) ensure(ctx context.Context, vm, order string) {
	if !p.begin(vm, order) {
		return
	}
	select {
	case p.slots <- struct{}{}:
	default:
		p.finish(vm, plan.PlatformStatus{})
		return
	}
	go func() {
		defer func() { <-p.slots }()
		answer, err := p.client.Reboot(ctx, vm, order)
		if err != nil {
			p.log.Warn("platform order failed", "vm", vm, "order", order, logging.Err(err))
			p.finish(vm, plan.PlatformStatus{})
			return
		}
		p.finish(vm, plan.PlatformStatus{Known: true, Running: answer.State == platform.Running, LastOrder: answer.LastOrder})
	}()
}

// begin reports whether a call is due, and marks the VM as busy if so.
func (p *platformCalls) begin(vm, order string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.vms[vm]
	executed := known.status.Running && known.status.LastOrder == order
	if known.busy || executed || time.Now().Before(known.next) {
		return false
	}
	known.busy = true
	p.vms[vm] = known
	return true
}

func (p *platformCalls) finish(vm string, status plan.PlatformStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm] = platformVM{status: status, next: time.Now().Add(platformRetryInterval)}
}
