package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"arbutusward.example/arbutusward/internal/jsonc"
)

// Default values of optional fields.
const (
	DefaultSlots            = 8
	DefaultConnections      = 64
	DefaultQueueLimit       = 512
	DefaultMaxRequestBytes  = 1 << 20
	DefaultMaxResponseBytes = 8 << 20
	DefaultMinDwellS        = 600
	DefaultSettleS          = 10
	DefaultDrainS           = 60
	DefaultRegion           = "default"
)

// DefaultIdempotentMethods returns the idempotent methods of a service that
// does not list any.
func DefaultIdempotentMethods() []string {
	return []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}
}

// Parse decodes and validates a document, sets defaults and expands elements
// with a count. The file name is used only in error messages. An error is of
// type jsonc.Problems.
func Parse(file string, data []byte) (*Document, error) {
	source, err := jsonc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	var document Document
	if err := source.Decode(&document); err != nil {
		return nil, err
	}
	if err := validate(source, &document); err != nil {
		return nil, err
	}
	document.setDefaults()
	document.expandVMs()
	return &document, nil
}

// Digest returns a digest of the document's content. It does not depend on
// comments, on the layout, or on whether VMs are declared with a count.
func (d *Document) Digest() string {
	canonical, err := json.Marshal(d)
	if err != nil {
		panic(fmt.Sprintf("fleet document does not marshal: %v", err))
	}
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

func (d *Document) setDefaults() {
	for i := range d.Zones {
		setDefault(&d.Zones[i].Region, DefaultRegion)
	}
	for i := range d.Pools {
		setDefault(&d.Pools[i].MinDwellS, DefaultMinDwellS)
	}
	for i := range d.VMs {
		setDefault(&d.VMs[i].Slots, DefaultSlots)
		setDefault(&d.VMs[i].Connections, DefaultConnections)
	}
	for i := range d.Services {
		d.Services[i].setDefaults()
	}
	for i := range d.Waves {
		setDefault(&d.Waves[i].SettleS, DefaultSettleS)
		setDefault(&d.Waves[i].DrainS, DefaultDrainS)
	}
}

func (s *Service) setDefaults() {
	setDefault(&s.QueueLimit, DefaultQueueLimit)
	setDefault(&s.MaxRequestBytes, DefaultMaxRequestBytes)
	setDefault(&s.MaxResponseBytes, DefaultMaxResponseBytes)
	if s.IdempotentMethods == nil {
		s.IdempotentMethods = DefaultIdempotentMethods()
	}
}

// setDefault sets a value that was omitted.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// expandVMs replaces each element with a count by one element per VM.
func (d *Document) expandVMs() {
	expanded := make([]VM, 0, len(d.VMs))
	for _, vm := range d.VMs {
		for _, name := range vm.names() {
			single := vm
			single.Name = name
			single.Count = 0
			expanded = append(expanded, single)
		}
	}
	d.VMs = expanded
}

// names returns the names of the VMs that an element declares.
func (vm *VM) names() []string {
	if vm.Count <= 1 {
		return []string{vm.Name}
	}
	names := make([]string, 0, vm.Count)
	for i := 1; i <= vm.Count; i++ {
		names = append(names, fmt.Sprintf("%s-%d", vm.Name, i))
	}
	return names
}
