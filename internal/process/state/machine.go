package state

import (
	"bytes"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// snapshotSlack is the inverse of the growth that is expected between two
// snapshots.
const snapshotSlack = 8

// Machine is the replicated state machine. Apply, Snapshot and Restore are
// called by one goroutine; the other methods are safe for concurrent use.
type Machine struct {
	appliers map[Kind]applier

	// data is owned by the applying goroutine; mu guards it only against
	// readers of the parts that are not published.
	mu   sync.RWMutex
	data data

	published atomic.Pointer[Fleet]
	// snapshotBytes is the size that the next snapshot is expected to have.
	snapshotBytes atomic.Int64
	validated     atomic.Pointer[validated]
	// changed is closed and replaced whenever a new Fleet is published.
	changed atomic.Pointer[chan struct{}]
}

// data is the whole replicated state, as written to snapshots.
type data struct {
	Fleet  Fleet      `cbor:"1,keyasint"`
	Jobs   jobState   `cbor:"2,keyasint"`
	Claims claimTable `cbor:"20,keyasint"`
	Batch  batchTable `cbor:"21,keyasint"`
	// ClockMS is the newest time of any claim or batch command; it never
	// goes back when a leader with a slower clock takes over.
	ClockMS int64 `cbor:"22,keyasint"`
}

// emptyData returns the state before the first command.
func emptyData() data {
	return data{Fleet: emptyFleet(), Jobs: newJobState(), Claims: newClaimTable(), Batch: newBatchTable()}
}

// NewMachine returns the state before the first command.
func NewMachine() *Machine {
	m := &Machine{appliers: appliers()}
	m.data = emptyData()
	signal := make(chan struct{})
	m.changed.Store(&signal)
	m.publish()
	return m
}

// Apply carries out a command; see replica.StateMachine.
func (m *Machine) Apply(index uint64, entry []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.apply(index, entry)
	if m.data.Fleet.Revision == index {
		m.publish()
	}
	encoded, err := cbor.Marshal(result)
	if err != nil {
		panic(fmt.Sprintf("result does not marshal: %v", err))
	}
	return encoded
}

func (m *Machine) apply(index uint64, entry []byte) Result {
	var command Command
	if err := cbor.Unmarshal(entry, &command); err != nil {
		return refuse(Malformed, "decode command: %v", err)
	}
	apply, known := m.appliers[command.Kind]
	if !known {
		return refuse(Malformed, "unknown command %q", command.Kind)
	}
	return apply(m, position{index: index, atMS: command.AtMS}, command.Body)
}

// Snapshot encodes the whole state into one buffer of the size that the
// last one had, so that a large state is not copied while it grows.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	encoder, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		return nil, fmt.Errorf("make encoder: %w", err)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, m.snapshotBytes.Load()))
	if err := encoder.MarshalToBuffer(m.data, buffer); err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	m.snapshotBytes.Store(int64(buffer.Len() + buffer.Len()/snapshotSlack))
	return buffer.Bytes(), nil
}

// Restore replaces the whole state.
func (m *Machine) Restore(_ uint64, snapshot []byte) error {
	restored := emptyData()
	if err := cbor.Unmarshal(snapshot, &restored); err != nil {
		return fmt.Errorf("decode state snapshot: %w", err)
	}
	if err := restored.Fleet.reparse(); err != nil {
		return err
	}
	restored.Jobs.derive()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.data = restored
	m.publish()
	return nil
}

// Fleet returns the newest published state; it is immutable.
func (m *Machine) Fleet() *Fleet { return m.published.Load() }

// Changed returns a channel that is closed at the next publication. Take
// it before Fleet, so that no change is missed.
func (m *Machine) Changed() <-chan struct{} { return *m.changed.Load() }

// publish makes the current fleet visible to readers.
func (m *Machine) publish() {
	copied := m.data.Fleet
	copied.VMs = maps.Clone(copied.VMs)
	copied.Entries = maps.Clone(copied.Entries)
	copied.Services = maps.Clone(copied.Services)
	copied.Runs = maps.Clone(copied.Runs)
	copied.Moves = maps.Clone(copied.Moves)
	m.published.Store(&copied)
	signal := make(chan struct{})
	previous := m.changed.Swap(&signal)
	close(*previous)
}

// Validate parses a document before it is proposed. The result is kept, so
// that applying the same text does not parse it again on this process.
func (m *Machine) Validate(file string, text []byte) (*fleet.Document, error) {
	document, err := fleet.Parse(file, text)
	if err != nil {
		return nil, err
	}
	m.validated.Store(&validated{text: text, document: document})
	return document, nil
}

// validated is the newest document that was validated here.
type validated struct {
	text     []byte
	document *fleet.Document
}

// parseSubmitted returns the parsed form of a submitted text.
func (m *Machine) parseSubmitted(text []byte) (*fleet.Document, error) {
	if known := m.validated.Load(); known != nil && bytes.Equal(known.text, text) {
		return known.document, nil
	}
	return parseAccepted(text)
}

// parseAccepted parses a document that was validated before it was accepted.
func parseAccepted(text []byte) (*fleet.Document, error) {
	return fleet.Parse("accepted document", text)
}
