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

// arrival is a received message; with a snapshot its content comes along.
type arrival struct {
	message  core.Message
	snapshot *snapshot.Snapshot
	encoded  []byte
}

// receiver takes messages off the link and passes them to the loop.
type receiver struct {
	inbox   chan arrival
	stopped <-chan struct{}

	mu sync.Mutex
	// assemblers holds the transfer of each sender.
	assemblers map[string]*snapshot.Assembler
}

func newReceiver(stopped <-chan struct{}) *receiver {
	return &receiver{inbox: make(chan arrival, inboxLength), stopped: stopped, assemblers: map[string]*snapshot.Assembler{}}
}

func (r *receiver) register(node *link.Node) {
	link.Handle(node, MessageKind, r.takeMessage)
	link.Handle(node, SnapshotKind, r.takeSnapshot)
}

func (r *receiver) takeMessage(ctx context.Context, peer link.Peer, m core.Message) (Ack, error) {
	if peer.ID != m.From {
		return Ack{}, logging.Wrap(ErrNotMember, "take message", peer.ID)
	}
	if err := m.Check(); err != nil {
		return Ack{}, logging.Wrap(err, "take message", peer.ID)
	}
	return Ack{}, r.pass(ctx, arrival{message: m})
}

func (r *receiver) takeSnapshot(ctx context.Context, peer link.Peer, part SnapshotPart) (Ack, error) {
	if peer.ID != part.Message.From {
		return Ack{}, logging.Wrap(ErrNotMember, "take snapshot", peer.ID)
	}
	whole, encoded, err := r.assemble(peer.ID, &part.Chunk)
	if err != nil || whole == nil {
		return Ack{}, logging.Wrap(err, "take snapshot", peer.ID)
	}
	message := part.Message
	message.Snapshot = &whole.Meta
	return Ack{}, r.pass(ctx, arrival{message: message, snapshot: whole, encoded: encoded})
}

func (r *receiver) assemble(id string, chunk *snapshot.Chunk) (*snapshot.Snapshot, []byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.assemblers[id] == nil {
		r.assemblers[id] = &snapshot.Assembler{}
	}
	return r.assemblers[id].Add(chunk)
}

func (r *receiver) pass(ctx context.Context, a arrival) error {
	select {
	case r.inbox <- a:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.stopped:
		return replica.ErrStopped
	}
}
