package fleet

import (
	"fmt"
	"strings"
	"testing"
)

// benchDocument returns a document that declares every VM separately, like a
// document that was changed one VM at a time for years.
func benchDocument(vms int) []byte {
	var b strings.Builder
	b.WriteString(`{"schema": 1, "deployment": "bench", "weights": {"buffer": 1, "rollout": 1, "moves": 1},
"zones": [{"name": "z", "racks": ["r"]}], "pools": [{"name": "p", "tolerate": {"racks": 0, "vms": 0}}], "services": [], "vms": [`)
	for i := range vms {
		if i > 0 {
			b.WriteString(",\n")
		}
		fmt.Fprintf(&b, `{"name": "w%d", "pool": "p", "zone": "z", "rack": "r", "cpu_cores": 64, "memory_gib": 256}`, i)
	}
	b.WriteString("]}")
	return []byte(b.String())
}

// BenchmarkParse measures the parsing and validation of a document.
func BenchmarkParse(b *testing.B) {
	for _, vms := range []int{50, 200, 800, 2000} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			text := benchDocument(vms)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse("bench", text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
