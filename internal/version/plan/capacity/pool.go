package capacity

import (
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
)

// member is one VM with its role.
type member struct {
	vm     *plan.VM
	role   Role
	reason string
}

// poolState is the planner's state of one pool.
type poolState struct {
	name      string
	need      int
	tolerance fleet.Tolerance
	shares    bool
	members   []*member
	kept      int
	// byRack holds the pool's kept slots in each rack, rackTotal those of all
	// pools.
	byRack    map[string]int
	rackTotal map[string]int
	// largest is the number of slots of the pool's largest VM.
	largest int
}

// keep assigns a role to a VM and counts its slots as kept.
func (s *poolState) keep(m *member, role Role, reason string) {
	m.role, m.reason = role, reason
	s.kept += m.vm.Slots
	s.byRack[m.vm.Rack] += m.vm.Slots
	s.rackTotal[m.vm.Rack] += m.vm.Slots
}

// release makes a kept VM surplus again.
func (s *poolState) release(m *member) {
	m.role, m.reason = Surplus, ""
	s.kept -= m.vm.Slots
	s.byRack[m.vm.Rack] -= m.vm.Slots
	s.rackTotal[m.vm.Rack] -= m.vm.Slots
}

// nextSurplus returns the surplus VM to keep next: one in the rack with the
// fewest kept slots of this pool and, among those, with the fewest kept slots
// of all pools. It returns nil if there is none.
func (s *poolState) nextSurplus() *member {
	var best *member
	for _, m := range s.members {
		if m.role != Surplus {
			continue
		}
		if best == nil || s.hasFewerKeptSlots(m.vm.Rack, best.vm.Rack) {
			best = m
		}
	}
	return best
}

// hasFewerKeptSlots reports whether rack a holds fewer kept slots than rack b.
func (s *poolState) hasFewerKeptSlots(a, b string) bool {
	if s.byRack[a] != s.byRack[b] {
		return s.byRack[a] < s.byRack[b]
	}
	return s.rackTotal[a] < s.rackTotal[b]
}
