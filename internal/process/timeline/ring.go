package timeline

// ring keeps the newest events of one class.
type ring struct {
	events []Event
	// added is the number of all events that were ever added.
	added uint64
	// lost is the stamp of the newest event that was dropped.
	lost Stamp
}

// add adds an event. If the ring is full the oldest event is dropped.
func (r *ring) add(event Event) {
	r.added++
	if len(r.events) < Capacity {
		r.events = append(r.events, event)
		return
	}
	oldest := &r.events[(r.added-1)%Capacity]
	r.lost = oldest.Stamp
	*oldest = event
}

// dropped returns the number of events that the ring no longer holds.
func (r *ring) dropped() uint64 { return r.added - uint64(len(r.events)) }

// since returns the events in the ring with a sequence number above the given
// one, in order.
func (r *ring) since(sequence uint64) []Event {
	var kept []Event
	for n := r.dropped(); n < r.added; n++ {
		event := r.events[n%Capacity]
		if event.Sequence > sequence {
			kept = append(kept, event)
		}
	}
	return kept
}
