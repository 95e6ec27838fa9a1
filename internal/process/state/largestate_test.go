package state

import (
	"fmt"
	"testing"

	"arbutusward.example/arbutusward/internal/codec"
)

// TestLargeStateIsRestored guards against a control process that does not start again once the state holds more claims than the default decoder of the CBOR library reads in one map.
func TestLargeStateIsRestored(t *testing.T) {
	m := NewMachine()
	const count = codec.MaxElements + 1
	for i := range count {
		m.data.Claims.grant(ClaimCommand{Key: fmt.Sprint("key", i), Attempt: fmt.Sprint(i)}, 0)
	}
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := restored.Restore(1, snapshot); err != nil {
		t.Fatal(err)
	}
	if got := len(restored.data.Claims.Held); got != count {
		t.Errorf("%d of %d claims are restored", got, count)
	}
}
