package scheduler

import (
	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/execution"
)

// fullWindows counts the times from which on orders were held back.
var fullWindows = metrics.NewCounter(`arbutus_order_window_full_total`)

// Limits of the orders in flight. Each waits for one of a few connections to its worker, and
// takes the memory of a call meanwhile.
const (
	// maxOrdersPerWorker limits those to one worker, so that one that does not answer holds up
	// few others. Its connections carry a small part of them at the same time.
	maxOrdersPerWorker = 128
	maxOrders          = 2048
)

// orderWindow counts the orders in flight of a leader.
type orderWindow struct {
	inFlight int
	// heldBack is set if an order was not sent for lack of room. It is due in a later round.
	heldBack bool
}

// mayOrder reports whether one more order may be sent to a worker now.
func (l *loop) mayOrder(w *worker) bool {
	if l.orders.inFlight < maxOrders && w.ordersInFlight < maxOrdersPerWorker {
		return true
	}
	if !l.orders.heldBack {
		l.orders.heldBack = true
		fullWindows.Inc()
	}
	return false
}

// countOrder counts an order to a worker as in flight until the returned function is called
// with its outcome, which passes that to the loop.
func (l *loop) countOrder(w *worker, then func(*loop, execution.Answer, error)) func(execution.Answer, error) {
	l.orders.inFlight++
	w.ordersInFlight++
	token := w.token
	return func(answer execution.Answer, err error) {
		l.post(func(l *loop) {
			l.endOrder(w)
			then(l, answer, err)
			l.fenceOff(w, token, err != nil || answer.Repeated)
		})
	}
}

// endOrder counts the outcome of an order. If others were held back, the next round sends
// them.
func (l *loop) endOrder(w *worker) {
	l.orders.inFlight--
	w.ordersInFlight--
	if l.orders.heldBack {
		l.orders.heldBack = false
		l.dirty = true
	}
}

// startsLeft returns how many starts a round may plan on a worker. Those that were recorded
// and held back go before.
func (w *worker) startsLeft() int { return maxOrdersPerWorker - w.ordersInFlight - w.heldStarts }

// roundStarts returns how many starts a round may plan, but for those of gangs, which start as
// a whole.
func (l *loop) roundStarts() int {
	left := maxOrders - l.orders.inFlight
	for _, w := range l.workerList {
		left -= w.heldStarts
	}
	return max(0, left)
}
