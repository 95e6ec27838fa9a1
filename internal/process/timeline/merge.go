package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of several processes in causal order. Events are
// sorted by stamp. Events with equal stamps are not causally related; they are
// sorted by process and sequence number.
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
