package plan

import (
	"fmt"
	"testing"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// twoZones has one pool with the given VMs in each of two zones and no promise.
func twoZones(each int) *Input {
	in := &Input{Document: &fleet.Document{Pools: []fleet.Pool{{Name: "p"}}}}
	for _, zone := range []string{"a", "b"} {
		for i := range each {
			vm := view.VM{Name: fmt.Sprintf("%s-%d", zone, i), Pool: "p", Zone: zone, Rack: zone, Phase: view.Serving, Slots: 8}
			in.VMs = append(in.VMs, VM{VM: vm, Desired: "p", Health: Up})
		}
	}
	return in
}

// TestTheLastServingVMOfAPoolStaysInItsZone takes a zone's VMs out one by
// one: callers of the zone reach no other, so one has to stay.
func TestTheLastServingVMOfAPoolStaysInItsZone(t *testing.T) {
	in := twoZones(2)
	gate := NewGate(in)
	if reason, ok := gate.CanRemove(&in.VMs[0]); !ok {
		t.Fatalf("the first VM may not leave: %s", reason)
	}
	gate.Remove(&in.VMs[0])
	if _, ok := gate.CanRemove(&in.VMs[1]); ok {
		t.Error("both VMs of the zone may leave at once")
	}
	if reason, ok := gate.CanRemove(&in.VMs[2]); !ok {
		t.Errorf("a VM of the other zone may not leave: %s", reason)
	}
	gate.Restore(&in.VMs[0])
	if reason, ok := gate.CanRemove(&in.VMs[1]); !ok {
		t.Errorf("the second VM may not leave after the first came back: %s", reason)
	}
}

// TestTheOnlyVMOfAPoolInAZoneMayLeave would block a wave for ever if not.
func TestTheOnlyVMOfAPoolInAZoneMayLeave(t *testing.T) {
	in := twoZones(1)
	if reason, ok := NewGate(in).CanRemove(&in.VMs[0]); !ok {
		t.Errorf("the only VM may not leave: %s", reason)
	}
}

// TestAPoolMayMoveOutOfAZone declares all of a zone's VMs for another pool.
func TestAPoolMayMoveOutOfAZone(t *testing.T) {
	in := twoZones(2)
	in.VMs[0].Desired, in.VMs[1].Desired = "q", "q"
	gate := NewGate(in)
	for i := range 2 {
		if reason, ok := gate.CanRemove(&in.VMs[i]); !ok {
			t.Errorf("VM %s may not move: %s", in.VMs[i].Name, reason)
		}
		gate.Remove(&in.VMs[i])
	}
}
