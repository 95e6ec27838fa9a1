package timeline

// ring keeps the newest events of one class.
type ring struct {
	events []Event
	// added counts all events that ever came in.
	added uint64
	// lost is the stamp of the newest event that was dropped.
	lost Stamp
}

func (r *ring) add(event Event) {
	r.added++
	if len(r.events) < Capacity {
		r.events = append(r.events, event)
		return
	}
	place := &r.events[(r.added-1)%Capacity]
	r.lost = place.Stamp
	*place = event
}

// dropped is the number of events that the ring no longer holds.
func (r *ring) dropped() uint64 { return r.added - uint64(len(r.events)) }

// since returns the kept events with a sequence above the given one, in order.
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
