package timeline

import (
	"cmp"
	"slices"
)

// Merge puts the events of several processes in causal order: by stamp,
// and at equal stamps, which no message ties together, by process and
// sequence.
func Merge(pages []Page) []Event {
	var events []Event
	for _, page := range pages {
		events = append(events, page.Events...)
	}
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(
			cmp.Compare(a.Stamp.WallUS, b.Stamp.WallUS),
			cmp.Compare(a.Stamp.Logical, b.Stamp.Logical),
			cmp.Compare(a.Process, b.Process),
			cmp.Compare(a.Sequence, b.Sequence),
		)
	})
	return events
}
