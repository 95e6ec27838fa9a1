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

// Link calls between control processes.
const (
	// MessageKind carries a core.Message. It has no answer: the core's own
	// replies tell what arrived.
	MessageKind link.Kind = "replica.message"
	// SnapshotKind carries a SnapshotPart. It is answered by an Ack.
	SnapshotKind link.Kind = "replica.snapshot"
)

// Ack confirms that a message was received, not that it was processed.
type Ack struct{}

// SnapshotPart is one chunk of a snapshot that is sent to a member.
type SnapshotPart struct {
	// Message is the envelope of the snapshot message.
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

// send sends a message without waiting for its delivery. The message may be
// lost.
func (t *transport) send(address string, m core.Message) {
	if address == "" || !t.acquire(m.To) {
		droppedCount.Inc()
		return
	}
	go func() {
		defer t.release(m.To)
		ctx, cancel := context.WithTimeout(t.ctx, timeoutFor(&m))
		defer cancel()
		if err := link.Send(ctx, t.node, address, MessageKind, m); err != nil {
			t.log.Debug("replica message not sent", logging.Err(err))
		}
	}()
}

// timeoutFor returns the timeout of a message, which grows with its size.
func timeoutFor(m *core.Message) time.Duration {
	if m.Append == nil {
		return messageTimeout
	}
	return messageTimeout + time.Duration(core.EntriesSize(m.Append.Entries))*time.Second/appendRate
}

// acquire reserves a call to a member. It reports whether fewer than
// maxMessages are in flight.
func (t *transport) acquire(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[id] >= maxMessages {
		return false
	}
	t.inFlight[id]++
	return true
}

func (t *transport) release(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[id]--
}

// sendSnapshot sends all chunks in order.
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
