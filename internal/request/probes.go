package request

import (
	"container/heap"
	"time"
)

// absent is the index of an element that is in no heap.
const absent = -1

// probeHeap orders ejected workers by the time of their next probe. It
// implements heap.Interface; use add, remove and due.
type probeHeap []*worker

// Len implements heap.Interface.
func (h probeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h probeHeap) Less(i, j int) bool { return h[i].probeAt.Before(h[j].probeAt) }

// Swap implements heap.Interface.
func (h probeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].probeIndex, h[j].probeIndex = i, j
}

// Push implements heap.Interface.
func (h *probeHeap) Push(x any) {
	w := x.(*worker)
	w.probeIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *probeHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.probeIndex = absent
	return w
}

// add adds a worker.
func (h *probeHeap) add(w *worker) { heap.Push(h, w) }

// remove removes a worker if it is in the heap.
func (h *probeHeap) remove(w *worker) {
	if w.probeIndex != absent {
		heap.Remove(h, w.probeIndex)
	}
}

// due returns the worker whose probe is due first, or nil if none is due.
func (h probeHeap) due(now time.Time) *worker {
	if len(h) == 0 || h[0].probeAt.After(now) {
		return nil
	}
	return h[0]
}
