package state

import (
	"bytes"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/codec"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

// snapshotGrowthDivisor is the inverse of the growth that is expected from one
// snapshot to the next.
const snapshotGrowthDivisor = 8

// Machine is the replicated state machine. Apply, Snapshot and Restore must be
// called by a single goroutine. The other methods are safe for concurrent use.
type Machine struct {
	appliers map[Kind]applier

	// data is owned by the goroutine that applies commands. mu guards it only
	// against readers of the parts that are not published.
	mu   sync.RWMutex
	data data

	published atomic.Pointer[Fleet]
	// snapshotBytes is the buffer size for the next snapshot.
	snapshotBytes atomic.Int64
	validated     atomic.Pointer[validated]
	// changed is closed and replaced whenever a new Fleet is published.
	changed atomic.Pointer[chan struct{}]
}

// data is the whole replicated state, in the form written to snapshots.
type data struct {
	Fleet  Fleet      `cbor:"1,keyasint"`
	Jobs   jobState   `cbor:"2,keyasint"`
	Claims claimTable `cbor:"20,keyasint"`
	Batch  batchTable `cbor:"21,keyasint"`
	// ClockMS is the latest time of any claim or batch command, in Unix
	// milliseconds. It does not go back when a leader with a slower clock
	// takes over.
	ClockMS int64 `cbor:"22,keyasint"`
}

// emptyData returns the state before the first command.
func emptyData() data {
	return data{Fleet: emptyFleet(), Jobs: newJobState(), Claims: newClaimTable(), Batch: newBatchTable()}
}

// NewMachine returns a machine with the state before the first command.
func NewMachine() *Machine {
	m := &Machine{appliers: appliers()}
	m.data = emptyData()
	signal := make(chan struct{})
	m.changed.Store(&signal)
	m.publish()
	return m
}

// Apply executes a command and returns its encoded Result; see
// replica.StateMachine.
func (m *Machine) Apply(index uint64, entry []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.apply(index, entry)
	if m.data.Fleet.Revision == index {
		m.publish()
	}
	encoded, err := codec.MarshalStored(result)
	if err != nil {
		panic(fmt.Sprintf("result does not marshal: %v", err))
	}
	return encoded
}

func (m *Machine) apply(index uint64, entry []byte) Result {
	var command Command
	if err := codec.Unmarshal(entry, &command); err != nil {
		return refuse(Malformed, "decode command: %v", err)
	}
	apply, known := m.appliers[command.Kind]
	if !known {
		return refuse(Malformed, "unknown command %q", command.Kind)
	}
	return apply(m, position{index: index, atMS: command.AtMS}, command.Body)
}

// Snapshot encodes the whole state. Its buffer has the expected size from the
// start, so a large state is not copied while the buffer grows.
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
	m.snapshotBytes.Store(int64(buffer.Len() + buffer.Len()/snapshotGrowthDivisor))
	return buffer.Bytes(), nil
}

// Restore replaces the whole state by a snapshot.
func (m *Machine) Restore(_ uint64, snapshot []byte) error {
	restored := emptyData()
	if err := codec.UnmarshalStored(snapshot, &restored); err != nil {
		return fmt.Errorf("decode state snapshot: %w", err)
	}
	if err := restored.Fleet.reparse(); err != nil {
		return err
	}
	restored.Jobs.rebuildIndexes()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.data = restored
	m.publish()
	return nil
}

// Fleet returns the newest published value, which is immutable.
func (m *Machine) Fleet() *Fleet { return m.published.Load() }

// Changed returns a channel that is closed when the next Fleet is published.
// Call it before Fleet so as not to miss a change.
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

// Validate parses and validates a document before it is proposed. It keeps the
// result, so that this process does not parse the same text again when it
// applies the command.
func (m *Machine) Validate(file string, text []byte) (*fleet.Document, error) {
	document, err := fleet.Parse(file, text)
	if err != nil {
		return nil, err
	}
	m.validated.Store(&validated{text: text, document: document})
	return document, nil
}

// validated is the newest document that Validate has accepted.
type validated struct {
	text     []byte
	document *fleet.Document
}

// parseSubmitted returns the parsed form of a submitted document.
func (m *Machine) parseSubmitted(text []byte) (*fleet.Document, error) {
	if known := m.validated.Load(); known != nil && bytes.Equal(known.text, text) {
		return known.document, nil
	}
	return parseAccepted(text)
}

// parseAccepted parses a document that was validated before it was proposed.
func parseAccepted(text []byte) (*fleet.Document, error) {
	return fleet.Parse("accepted document", text)
}
