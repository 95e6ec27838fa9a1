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
	// maxPlatformCalls bounds the calls to the platform at once.
	maxPlatformCalls = 16
	// platformPause is the time between two calls about one VM.
	platformPause = 500 * time.Millisecond
)

// platformCalls gives orders to the platform beside the planning loop and
// keeps its answers. It is safe for concurrent use.
type platformCalls struct {
	client platform.Client
	log    *slog.Logger
	// slots bounds the calls at once.
	slots chan struct{}

	mu  sync.Mutex
	vms map[string]platformVM
}

// platformVM is what is known of one VM.
type platformVM struct {
	sight plan.PlatformStatus
	busy  bool
	next  time.Time
}

func newPlatformCalls(client platform.Client, log *slog.Logger) *platformCalls {
	return &platformCalls{client: client, log: log, slots: make(chan struct{}, maxPlatformCalls), vms: map[string]platformVM{}}
}

// sight returns the platform's last word on a VM.
func (p *platformCalls) sight(vm string) plan.PlatformStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms[vm].sight
}

// ensure repeats an order until the platform says that it was carried out.
// The order is the idempotency key, so that a repeat does nothing.
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

// begin says whether a call is due, and notes that it runs.
func (p *platformCalls) begin(vm, order string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.vms[vm]
	carriedOut := known.sight.Running && known.sight.LastOrder == order
	if known.busy || carriedOut || time.Now().Before(known.next) {
		return false
	}
	known.busy = true
	p.vms[vm] = known
	return true
}

func (p *platformCalls) finish(vm string, sight plan.PlatformStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm] = platformVM{sight: sight, next: time.Now().Add(platformPause)}
}
