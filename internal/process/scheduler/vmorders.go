package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// orderBudget is a token bucket that keeps orders below the rate that the
// platform accepts.
type orderBudget struct {
	tokens   float64
	filledAt time.Time
}

const (
	// maxMoveRepeats is the time for which a move without an answer is repeated.
	maxMoveRepeats = 3 * time.Second
	// abandonedMovePause is how long a VM is not ordered after such a move.
	abandonedMovePause = 3 * time.Second
)

// burstShare is the share of a second's orders that may be given at once. The
// rest is left to a former leader that may still give orders in the same
// second.
const burstShare = 0.5

// refill adds the tokens for the elapsed time and reports whether an order may
// be given.
func (b *orderBudget) refill(now time.Time, rate float64) bool {
	if b.filledAt.IsZero() {
		b.tokens = rate * burstShare
	} else {
		b.tokens = min(rate*burstShare, b.tokens+now.Sub(b.filledAt).Seconds()*rate*burstShare)
	}
	b.filledAt = now
	return b.tokens >= 1
}

// orderVM orders the platform to move a VM or to start its maintenance. The
// leadership is confirmed first, and the order carries the term as its fencing
// token.
func (l *loop) orderVM(e *vmEntry, order vmOrder, now time.Time) {
	if e.order == nil {
		e.openSince = now
		order.workers = l.workersOn(e.vm.ID)
	}
	e.order = &order
	e.calling = true
	e.refused = false
	l.fleet.orders.tokens--
	id := e.vm.ID
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
		defer cancel()
		refusal, err := l.callPlatform(ctx, id, order)
		l.post(func(l *loop) { l.handleVMAnswer(e, order, refusal, err) })
	}()
}

// errNotSent means that the platform was not called.
var errNotSent = errors.New("the order was not sent")

func (l *loop) callPlatform(ctx context.Context, id string, order vmOrder) (execution.VMRefusal, error) {
	if order.pool == "" {
		// The maintenance is recorded before the VM may go down.
		maintenance := &workstate.Maintenance{Wave: order.wave, VM: id}
		result, err := propose(ctx, l.Replica, &workstate.Command{Maintenance: maintenance}, l.Now())
		if err == nil && result.Code != workstate.OK {
			err = errUnknownWave
		}
		if err != nil {
			return execution.VMOverloaded, fmt.Errorf("%w: %w", errNotSent, err)
		}
	}
	if err := l.Replica.ReadBarrier(ctx); err != nil {
		return execution.VMOverloaded, fmt.Errorf("%w: %w", errNotSent, err)
	}
	if order.pool == "" {
		return l.Platform.StartMaintenance(ctx, id, order.wave, l.Holder, l.term)
	}
	return l.Platform.Move(ctx, id, order.pool, l.Holder, l.term)
}

// handleVMAnswer handles the platform's answer to an order. An order without an
// answer may have been executed, or may be later: it stays open and is repeated
// until the platform has executed it or will never do so.
func (l *loop) handleVMAnswer(e *vmEntry, order vmOrder, refusal execution.VMRefusal, err error) {
	now := time.Now()
	e.calling = false
	l.dirty = true
	l.Log.Info("VM order finished", "vm", e.vm.ID, "from", e.vm.Pool, "to", order.pool, "wave", order.wave, "refusal", refusal, "error", errorText(err))
	switch {
	case errors.Is(err, errNotSent) && !e.unanswered:
		e.closeOrder()
	case err != nil:
		e.unanswered = true
		e.pausedUntil = now.Add(orderPause)
		e.orderedAt = now
		return
	case refusal == execution.VMAccepted:
		e.unanswered = false
		l.recordVMOrder(e, order, now)
		return
	case refusal == execution.VMRefusedOther && order.pool != "":
		e.refusedPools[order.pool] = true
		e.closeOrder()
	case refusal == execution.VMNotInWave, refusal == execution.VMRefusedOther:
		l.recordMaintenance(order.wave, e.vm.ID)
		e.closeOrder()
	case !e.unanswered:
		e.closeOrder()
		e.refused = refusal == execution.VMOverloaded && order.pool == "" && order.wave == e.ownWave
	}
	e.pausedUntil = now.Add(orderPause)
}

// repeatOrder repeats an order that got no answer.
func (l *loop) repeatOrder(e *vmEntry, now time.Time) {
	if !e.calling && e.missingSince.IsZero() && e.vm.State == execution.VMUp && now.After(e.pausedUntil) && l.mayOrderVM(now) {
		l.orderVM(e, *e.order, now)
	}
}

// repeatMoves repeats the moves that got no answer. One that was repeated for
// maxMoveRepeats, or whose pool is no longer configured, is given up, so that its
// VM serves its pool for a while: a move that is executed nonetheless interrupts
// tasks, but breaks no cap.
func (l *loop) repeatMoves(v *workstate.View, now time.Time) {
	for _, e := range l.fleet.entries {
		if !e.unanswered || e.calling || e.order.pool == "" {
			continue
		}
		configured := v.Catalog().Service(e.order.pool) != nil
		if now.Sub(e.openSince) > maxMoveRepeats || !configured {
			l.Log.Warn("unanswered move of VM given up", "vm", e.vm.ID, "from", e.vm.Pool, "to", e.order.pool, "open_ms", now.Sub(e.openSince).Milliseconds(), "pool_configured", configured)
			e.closeOrder()
			e.pausedUntil = now.Add(abandonedMovePause)
			continue
		}
		l.repeatOrder(e, now)
	}
}

// closeOrdersOfFinishedWaves closes the orders for the maintenance of VMs that
// no wave waits for any more.
func (l *loop) closeOrdersOfFinishedWaves(v *workstate.View) {
	for _, e := range l.fleet.entries {
		if !e.unanswered || e.calling || e.order.pool != "" {
			continue
		}
		if wave := v.Waves()[e.order.wave]; wave == nil || wave.Finished() {
			l.Log.Info("unanswered maintenance of VM closed with its wave", "vm", e.vm.ID, "wave", e.order.wave)
			e.closeOrder()
		}
	}
}

// recordVMOrder records that the platform accepted an order, so that the VM
// goes down. The next list shows whether its worker has ended.
func (l *loop) recordVMOrder(e *vmEntry, order vmOrder, now time.Time) {
	e.orderedAt = now
	if order.pool == "" {
		e.vm.State = execution.VMMaintenance
		l.recordMaintenance(order.wave, e.vm.ID)
	} else {
		e.vm.State = execution.VMMoving
		e.vm.Pool = order.pool
	}
}

// mayOrderVM reports whether a VM may be ordered now. A former leader confirms
// its leadership before each order, so that its last order ends with the
// timeout of that call. If the platform does not check fencing tokens, the
// lease of the former holder must have expired as well.
func (l *loop) mayOrderVM(now time.Time) bool {
	if l.Platform == nil || l.fleet.failing || !l.knowsFormerOrders(now) {
		return false
	}
	return l.fleet.orders.refill(now, l.Limits.ActionRate)
}

// knowsFormerOrders reports whether the list of VMs shows the last order of a
// former leader.
func (l *loop) knowsFormerOrders(now time.Time) bool {
	return now.Sub(l.since) > l.formerOrderTime() && !l.listIsStale(now)
}

// formerOrderTime returns how long after the start of a leadership the last
// order of a former leader may still be executed.
func (l *loop) formerOrderTime() time.Duration {
	if l.Limits.FencingEnforced {
		return platformTimeout
	}
	return platformTimeout + l.Limits.HolderLease
}

// listIsStale reports whether the list of VMs may not show the last order of a
// former leader although the time for it has passed. The VMs that this order
// took down would not be counted.
func (l *loop) listIsStale(now time.Time) bool {
	return now.Sub(l.since) > l.formerOrderTime() && l.fleet.listedAt.Sub(l.since) <= l.formerOrderTime()
}
