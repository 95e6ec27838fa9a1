package plan

import (
	"fmt"
	"testing"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// twoZones returns an input with one pool that has the given number of VMs in
// each of two zones and promises no slots.
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

// TestLastServingVMOfPoolInZoneIsNotTakenOut takes a zone's VMs out of service
// one by one.
// Callers of a zone reach only the VMs in it, so one VM has to keep serving.
func TestLastServingVMOfPoolInZoneIsNotTakenOut(t *testing.T) {
	in := twoZones(2)
	gate := NewGate(in)
	if reason, ok := gate.CanTakeOut(&in.VMs[0]); !ok {
		t.Fatalf("the first VM can't be taken out: %s", reason)
	}
	gate.TakeOut(&in.VMs[0])
	if _, ok := gate.CanTakeOut(&in.VMs[1]); ok {
		t.Error("both VMs of the zone can be taken out at once")
	}
	if reason, ok := gate.CanTakeOut(&in.VMs[2]); !ok {
		t.Errorf("a VM of the other zone can't be taken out: %s", reason)
	}
	gate.PutBack(&in.VMs[0])
	if reason, ok := gate.CanTakeOut(&in.VMs[1]); !ok {
		t.Errorf("the second VM can't be taken out after the first was put back: %s", reason)
	}
}

// TestOnlyVMOfAPoolInAZoneCanBeRemoved guards against a wave that is blocked
// forever by a pool with a single VM in a zone.
func TestOnlyVMOfAPoolInAZoneCanBeRemoved(t *testing.T) {
	in := twoZones(1)
	if reason, ok := NewGate(in).CanTakeOut(&in.VMs[0]); !ok {
		t.Errorf("the only VM can't be taken out: %s", reason)
	}
}

// TestPoolCanMoveOutOfAZone declares all VMs of a zone for another pool; the
// rule for the last VM in a zone does not apply to them.
func TestPoolCanMoveOutOfAZone(t *testing.T) {
	in := twoZones(2)
	in.VMs[0].Desired, in.VMs[1].Desired = "q", "q"
	gate := NewGate(in)
	for i := range 2 {
		if reason, ok := gate.CanTakeOut(&in.VMs[i]); !ok {
			t.Errorf("VM %s can't be taken out: %s", in.VMs[i].Name, reason)
		}
		gate.TakeOut(&in.VMs[i])
	}
}
