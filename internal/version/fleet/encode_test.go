package fleet

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// tinyDocument is a short seed, because fuzzing slows down with the length of
// its input.
const tinyDocument = `{"schema": 1, "deployment": "d", "zones": [{"name": "z", "racks": ["r"]}],
"pools": [{"name": "p", "tolerate": {"racks": 0, "vms": 1}}], // a pool
"vms": [{"name": "v", "count": 3, "pool": "p", "zone": "z", "rack": "r", "cpu_cores": 1, "memory_gib": 1}],
"services": [{"name": "s", "pool": "p", "path_prefix": "/", "class": "batch", "deadline_ms": 9, "budget": {"promised_slots": 8}}],
"weights": {"buffer": 1, "rollout": 0, "moves": 0}}`

// examples returns the example documents of the project.
func examples(t testing.TB) map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob("../../../examples/*.jsonc")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no example documents: %v", err)
	}
	texts := map[string][]byte{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		texts[path] = text
	}
	return texts
}

func TestEncodedExampleParsesToTheSameDocumentAndIsStable(t *testing.T) {
	for path, text := range examples(t) {
		document, err := Parse(path, text)
		if err != nil {
			t.Fatal(err)
		}
		checkRoundTrip(t, document)
	}
}

func TestEncodeFoldsEqualVMsAndSplitsAtAMovedOne(t *testing.T) {
	vms := []VM{{Name: "a-1", Pool: "p"}, {Name: "a-2", Pool: "p"}, {Name: "a-3", Pool: "q"}, {Name: "b", Pool: "p"}}
	folded := foldVMs(vms)
	if len(folded) != 3 || folded[0].Name != "a" || folded[0].Count != 2 || folded[1].Name != "a-3" {
		t.Errorf("folded %+v", folded)
	}
}

func TestEncodeKeepsAnEmptyListOfIdempotentMethods(t *testing.T) {
	for path, text := range examples(t) {
		document, err := Parse(path, text)
		if err != nil {
			t.Fatal(err)
		}
		document.Services[0].IdempotentMethods = []string{}
		encoded, err := Encode(document)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(path, encoded)
		if err != nil {
			t.Fatal(err)
		}
		if got := again.Services[0].IdempotentMethods; len(got) != 0 {
			t.Errorf("methods %v, expected none", got)
		}
	}
}

func checkRoundTrip(t *testing.T, document *Document) {
	t.Helper()
	encoded, err := Encode(document)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("encoded", encoded)
	if err != nil {
		t.Fatalf("%v\n%s", err, encoded)
	}
	if again.Digest() != document.Digest() {
		t.Fatalf("another document after the round trip: %v\n%s", Diff(document, again), encoded)
	}
	twice, err := Encode(again)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, twice) {
		t.Fatalf("the layout is not stable:\n%s\n%s", encoded, twice)
	}
}

// FuzzParseEncode parses arbitrary text. Every accepted document must survive
// a round trip through Encode unchanged.
func FuzzParseEncode(f *testing.F) {
	f.Add([]byte(tinyDocument))
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := Parse("fuzz", text)
		if err != nil {
			return
		}
		checkRoundTrip(t, document)
	})
}

func TestDiffNamesElementFieldAndValues(t *testing.T) {
	before := &Document{Pools: []Pool{{Name: "a", MinDwellS: 1}, {Name: "b"}}}
	after := &Document{Pools: []Pool{{Name: "c"}, {Name: "a", MinDwellS: 2}}}
	var lines []string
	for _, change := range Diff(before, after) {
		lines = append(lines, change.String())
	}
	expected := []string{"changed pools a: min_dwell_s from 1 to 2", "removed pools b", "added pools c"}
	if len(lines) != len(expected) {
		t.Fatalf("changes %q", lines)
	}
	for i := range expected {
		if lines[i] != expected[i] {
			t.Errorf("change %q, expected %q", lines[i], expected[i])
		}
	}
}
