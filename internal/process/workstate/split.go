package workstate

// MaxRuns limits the runs that one Progress names. Its command and its result stay far below
// codec.MaxElements, and the state is not locked for long while the command is applied.
const MaxRuns = 16_384

// Runs returns the number of survivals, ends and starts.
func (p *Progress) Runs() int { return len(p.Survivals) + len(p.Ends) + len(p.Starts) }

// Split returns parts of at most MaxRuns runs, which have the effect of the whole if they are
// applied in order.
func (p *Progress) Split() []*Progress {
	if p.Runs() <= MaxRuns {
		return []*Progress{p}
	}
	var parts []*Progress
	rest := *p
	for rest.Runs() > 0 {
		part, room := &Progress{}, MaxRuns
		part.Survivals, rest.Survivals, room = take(rest.Survivals, room)
		part.Ends, rest.Ends, room = take(rest.Ends, room)
		part.Starts, rest.Starts, _ = take(rest.Starts, room)
		parts = append(parts, part)
	}
	return parts
}

// take returns the first elements of a list, as many as there is room for, the others, and
// the room that is left.
func take[T any](list []T, room int) (first, others []T, left int) {
	count := min(len(list), room)
	return list[:count:count], list[count:], room - count
}
