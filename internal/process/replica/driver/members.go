package driver

import "arbutusward.example/arbutusward/internal/process/replica"

// memberChange describes a change of one member.
type memberChange struct{ id, description string }

// membershipChanges returns the differences between two memberships.
func membershipChanges(before, after []replica.Member) []memberChange {
	var changes []memberChange
	old := byID(before)
	for _, m := range after {
		known, ok := old[m.ID]
		switch {
		case !ok && m.Learner:
			changes = append(changes, memberChange{m.ID, "added as a learner"})
		case !ok:
			changes = append(changes, memberChange{m.ID, "added as a voter"})
		case known.Learner && !m.Learner:
			changes = append(changes, memberChange{m.ID, "promoted to voter"})
		}
	}
	current := byID(after)
	for _, m := range before {
		if _, ok := current[m.ID]; !ok {
			changes = append(changes, memberChange{m.ID, "removed"})
		}
	}
	return changes
}

func byID(members []replica.Member) map[string]replica.Member {
	table := map[string]replica.Member{}
	for _, m := range members {
		table[m.ID] = m
	}
	return table
}
