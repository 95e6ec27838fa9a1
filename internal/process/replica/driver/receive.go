package driver

import (
	"context"
	"sync"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/replica/snapshot"
)

// inboundMessage is a received message. A snapshot message carries its
// content.
type inboundMessage struct {
	message  core.Message
	snapshot *snapshot.Snapshot
	encoded  []byte
}

// receiver handles the messages from the link and passes them to the loop.
type receiver struct {
	inbox   chan inboundMessage
	stopped <-chan struct{}

	mu sync.Mutex
	// assemblers holds the snapshot transfer of each sender.
	assemblers map[string]*snapshot.Assembler
}

func newReceiver(stopped <-chan struct{}) *receiver {
	return &receiver{inbox: make(chan inboundMessage, inboxLength), stopped: stopped, assemblers: map[string]*snapshot.Assembler{}}
}

func (r *receiver) register(node *link.Node) {
	link.Handle(node, MessageKind, r.handleMessage)
	link.Handle(node, SnapshotKind, r.handleSnapshot)
	node.ExemptLarge(MessageKind, SnapshotKind)
}

func (r *receiver) handleMessage(ctx context.Context, peer link.Peer, m core.Message) (Ack, error) {
	if peer.ID != m.From {
		return Ack{}, logging.Wrap(ErrSenderMismatch, "receive message", peer.ID)
	}
	if err := m.Check(); err != nil {
		return Ack{}, logging.Wrap(err, "receive message", peer.ID)
	}
	return Ack{}, r.enqueue(ctx, inboundMessage{message: m})
}

func (r *receiver) handleSnapshot(ctx context.Context, peer link.Peer, part SnapshotPart) (Ack, error) {
	if peer.ID != part.Message.From {
		return Ack{}, logging.Wrap(ErrSenderMismatch, "receive snapshot", peer.ID)
	}
	whole, encoded, err := r.assemble(peer.ID, &part.Chunk)
	if err != nil || whole == nil {
		return Ack{}, logging.Wrap(err, "receive snapshot", peer.ID)
	}
	message := part.Message
	message.Snapshot = &whole.Meta
	return Ack{}, r.enqueue(ctx, inboundMessage{message: message, snapshot: whole, encoded: encoded})
}

// assemble adds a chunk to the sender's transfer. It returns the snapshot
// once it is complete.
func (r *receiver) assemble(id string, chunk *snapshot.Chunk) (*snapshot.Snapshot, []byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.assemblers[id] == nil {
		r.assemblers[id] = &snapshot.Assembler{}
	}
	return r.assemblers[id].Add(chunk)
}

// enqueue passes a message to the loop.
func (r *receiver) enqueue(ctx context.Context, m inboundMessage) error {
	select {
	case r.inbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return replica.ErrStopped
	}
}
