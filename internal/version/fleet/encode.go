package fleet

import (
	"fmt"
	"slices"
	"strings"

	"arbutusward.example/arbutusward/internal/jsonc"
)

// Encode formats a document in the layout of the files in version control:
// fields are in the order of the schema, list elements take one line each,
// fields with default values are omitted, and VMs that differ only in the
// number at the end of their names are folded into one element with a count.
// Parse returns the same document from the text. Comments are not preserved.
func Encode(d *Document) ([]byte, error) {
	folded := *d
	folded.VMs = foldVMs(d.VMs)
	return EncodeExpanded(&folded)
}

// EncodeExpanded is like Encode, but writes one element for each VM.
func EncodeExpanded(d *Document) ([]byte, error) {
	w := &encoder{}
	w.field("schema", d.Schema)
	w.field("deployment", d.Deployment)
	encodeList(w, "zones", d.Zones, encodeZone)
	encodeList(w, "pools", d.Pools, encodePool)
	encodeList(w, "vms", d.VMs, encodeVM)
	encodeList(w, "services", d.Services, encodeService)
	if len(d.Teams) > 0 {
		encodeList(w, "teams", d.Teams, func(t Team) any { return t })
	}
	if len(d.Waves) > 0 {
		encodeList(w, "waves", d.Waves, encodeWave)
	}
	w.field("weights", d.Weights)
	if w.err != nil {
		return nil, fmt.Errorf("encode document: %w", w.err)
	}
	return []byte("{\n  " + strings.Join(w.members, ",\n  ") + "\n}\n"), nil
}

// encoder collects the members of the document object.
type encoder struct {
	members []string
	err     error
}

func (w *encoder) field(name string, value any) {
	w.members = append(w.members, fmt.Sprintf("%q: %s", name, w.text(value)))
}

// text returns a value as JSON on one line. An error is kept in w.err.
func (w *encoder) text(value any) string {
	line, err := jsonc.Line(value)
	if err != nil {
		w.err = err
	}
	return line
}

// encodeList writes a list with one element per line.
func encodeList[T any](w *encoder, name string, values []T, encode func(T) any) {
	if len(values) == 0 {
		w.members = append(w.members, fmt.Sprintf("%q: []", name))
		return
	}
	lines := make([]string, 0, len(values))
	for _, value := range values {
		lines = append(lines, w.text(encode(value)))
	}
	w.members = append(w.members, fmt.Sprintf("%q: [\n    %s\n  ]", name, strings.Join(lines, ",\n    ")))
}

// clearDefault clears a value that equals its default, which Parse sets again.
func clearDefault[T comparable](value *T, fallback T) {
	if *value == fallback {
		var zero T
		*value = zero
	}
}

func encodeZone(z Zone) any {
	clearDefault(&z.Region, DefaultRegion)
	if z.Racks == nil {
		z.Racks = []string{}
	}
	return z
}

func encodePool(p Pool) any {
	clearDefault(&p.MinDwellS, DefaultMinDwellS)
	return p
}

func encodeVM(vm VM) any {
	clearDefault(&vm.Slots, DefaultSlots)
	clearDefault(&vm.Connections, DefaultConnections)
	return vm
}

// explicitMethods encodes a service together with its methods, even if the
// list is empty.
type explicitMethods struct {
	Service
	IdempotentMethods []string `json:"idempotent_methods"`
}

func encodeService(s Service) any {
	clearDefault(&s.QueueLimit, DefaultQueueLimit)
	clearDefault(&s.MaxRequestBytes, DefaultMaxRequestBytes)
	clearDefault(&s.MaxResponseBytes, DefaultMaxResponseBytes)
	if s.IdempotentMethods == nil || slices.Equal(s.IdempotentMethods, DefaultIdempotentMethods()) {
		s.IdempotentMethods = nil
		return s
	}
	return explicitMethods{Service: s, IdempotentMethods: s.IdempotentMethods}
}

func encodeWave(w Wave) any {
	clearDefault(&w.SettleS, DefaultSettleS)
	clearDefault(&w.DrainS, DefaultDrainS)
	if w.Pools == nil {
		w.Pools = []string{}
	}
	return w
}

// foldVMs replaces consecutive VMs named Name-1 to Name-n that are otherwise
// equal by one element with a count.
func foldVMs(vms []VM) []VM {
	folded := make([]VM, 0, len(vms))
	for i := 0; i < len(vms); {
		n := runLength(vms[i:])
		vm := vms[i]
		if n > 1 {
			vm.Name = strings.TrimSuffix(vm.Name, "-1")
			vm.Count = n
		}
		folded = append(folded, vm)
		i += n
	}
	return folded
}

// runLength returns the number of VMs at the start of the list that can be
// folded into one element.
func runLength(vms []VM) int {
	stem, numbered := strings.CutSuffix(vms[0].Name, "-1")
	if !numbered || stem == "" || vms[0].Count > 1 {
		return 1
	}
	n := 1
	for n < len(vms) {
		expected := vms[0]
		expected.Name = fmt.Sprintf("%s-%d", stem, n+1)
		if vms[n] != expected {
			break
		}
		n++
	}
	return n
}
