package entry

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func encodedSize(t *testing.T, value any) int {
	t.Helper()
	encoded, err := cbor.Marshal(value)
	must(t, err)
	return len(encoded)
}
