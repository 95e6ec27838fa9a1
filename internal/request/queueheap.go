package request

// waiterHeap orders waiters by deadline. It implements heap.Interface.
type waiterHeap []*waiter

// Len implements heap.Interface.
func (h waiterHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h waiterHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

// Swap implements heap.Interface.
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = absent
	return w
}

// callerHeap orders callers with waiters by their requests in flight, then by
// their earliest deadline. It implements heap.Interface.
type callerHeap []*callerQueue

// Len implements heap.Interface.
func (h callerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h callerHeap) Less(i, j int) bool {
	if h[i].inFlight != h[j].inFlight {
		return h[i].inFlight < h[j].inFlight
	}
	if len(h[i].waiting) == 0 || len(h[j].waiting) == 0 {
		return len(h[j].waiting) == 0
	}
	return h[i].waiting[0].deadline.Before(h[j].waiting[0].deadline)
}

// Swap implements heap.Interface.
func (h callerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *callerHeap) Push(x any) {
	c := x.(*callerQueue)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *callerHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	c.index = absent
	return c
}
