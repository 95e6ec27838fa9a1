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

// largeEntriesBytes is the size of the entries of an append from which on it is
// sent beside the other messages to its member, which it would hold up.
const largeEntriesBytes = 32 << 10

// transport sends messages to members.
type transport struct {
	node *link.Node
	log  *slog.Logger
	ctx  context.Context

	mu sync.Mutex
	// queues holds the messages that wait for each address.
	queues map[string]chan outboundMessage
	// largeInFlight counts the large messages in flight to each address.
	largeInFlight map[string]int
}

// outboundMessage is a message that is of no use after its deadline.
type outboundMessage struct {
	message  core.Message
	deadline time.Time
}

func newTransport(ctx context.Context, node *link.Node, log *slog.Logger) *transport {
	return &transport{node: node, log: log, ctx: ctx, queues: map[string]chan outboundMessage{}, largeInFlight: map[string]int{}}
}

// send sends a message without waiting for its delivery. The message may be
// lost.
func (t *transport) send(address string, m core.Message) {
	if address == "" {
		droppedCount.Inc()
		return
	}
	o := outboundMessage{message: m, deadline: time.Now().Add(timeoutFor(&m))}
	if m.Append != nil && core.EntriesSize(m.Append.Entries) >= largeEntriesBytes {
		t.sendLarge(address, o)
		return
	}
	select {
	case t.queue(address) <- o:
	default:
		droppedCount.Inc()
	}
}

// queue returns the queue of an address, whose messages one goroutine sends in
// order.
func (t *transport) queue(address string) chan<- outboundMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[address]
	if queue == nil {
		queue = make(chan outboundMessage, maxMessages)
		t.queues[address] = queue
		go t.sendQueued(address, queue)
	}
	return queue
}

func (t *transport) sendQueued(address string, queue <-chan outboundMessage) {
	for {
		select {
		case o := <-queue:
			t.sendNow(address, o)
		case <-t.ctx.Done():
			return
		}
	}
}

// sendLarge sends a message on a goroutine of its own.
func (t *transport) sendLarge(address string, o outboundMessage) {
	if !t.acquire(address) {
		droppedCount.Inc()
		return
	}
	go func() {
		defer t.release(address)
		t.sendNow(address, o)
	}()
}

func (t *transport) sendNow(address string, o outboundMessage) {
	ctx, cancel := context.WithDeadline(t.ctx, o.deadline)
	defer cancel()
	link.PostUrgent(ctx, t.node, address, MessageKind, o.message, func(err error) {
		if err != nil {
			t.log.Debug("replica message not sent", logging.Err(err))
		}
	})
}

// timeoutFor returns the timeout of a message, which grows with its size.
func timeoutFor(m *core.Message) time.Duration {
	if m.Append == nil {
		return messageTimeout
	}
	return messageTimeout + time.Duration(core.EntriesSize(m.Append.Entries))*time.Second/appendRate
}

// acquire reserves a large message to an address. It reports whether fewer than
// maxMessages are in flight.
func (t *transport) acquire(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.largeInFlight[address] >= maxMessages {
		return false
	}
	t.largeInFlight[address]++
	return true
}

func (t *transport) release(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.largeInFlight[address]--
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
