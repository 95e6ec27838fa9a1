package driver

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/replica/snapshot"
)

// Calls between control processes.
const (
	// MessageKind carries a core.Message, answered by Received.
	MessageKind link.Kind = "replica.message"
	// SnapshotKind carries a SnapshotPart, answered by Received.
	SnapshotKind link.Kind = "replica.snapshot"
)

// Ack says that a message has arrived, not that it was acted on.
type Ack struct{}

// SnapshotPart is one chunk of a snapshot on its way to a member.
type SnapshotPart struct {
	// Message is the envelope of the snapshot.
	Message core.Message   `cbor:"1,keyasint"`
	Chunk   snapshot.Chunk `cbor:"2,keyasint"`
}

// transport sends messages to members.
type transport struct {
	node *link.Node
	log  *slog.Logger
	ctx  context.Context

	mu sync.Mutex
	// inFlight counts the calls to each member.
	inFlight map[string]int
}

func newTransport(ctx context.Context, node *link.Node, log *slog.Logger) *transport {
	return &transport{node: node, log: log, ctx: ctx, inFlight: map[string]int{}}
}

// send sends a message without waiting; it may be lost.
func (t *transport) send(address string, m core.Message) {
	if address == "" || !t.enter(m.To) {
		droppedCount.Inc()
		return
	}
	go func() {
		defer t.leave(m.To)
		ctx, cancel := context.WithTimeout(t.ctx, timeoutFor(&m))
		defer cancel()
		if _, err := link.Call[core.Message, Ack](ctx, t.node, address, MessageKind, m); err != nil {
			t.log.Debug("replica message was not taken", logging.Err(err))
		}
	}()
}

// timeoutFor returns the time that a message may take, by its size.
func timeoutFor(m *core.Message) time.Duration {
	if m.Append == nil {
		return messageTimeout
	}
	return messageTimeout + time.Duration(core.EntriesSize(m.Append.Entries))*time.Second/appendRate
}

func (t *transport) enter(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[id] >= maxMessages {
		return false
	}
	t.inFlight[id]++
	return true
}

func (t *transport) leave(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[id]--
}

// sendSnapshot sends all chunks, one after the other.
func (t *transport) sendSnapshot(address string, envelope core.Message, chunks []snapshot.Chunk) error {
	for i := range chunks {
		if err := t.sendChunk(address, SnapshotPart{Message: envelope, Chunk: chunks[i]}); err != nil {
			return err
		}
	}
	return nil
}

func (t *transport) sendChunk(address string, part SnapshotPart) error {
	ctx, cancel := context.WithTimeout(t.ctx, chunkTimeout)
	defer cancel()
	_, err := link.Call[SnapshotPart, Ack](ctx, t.node, address, SnapshotKind, part)
	return err
}
