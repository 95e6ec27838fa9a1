package driver

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/replica/snapshot"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// TestSnapshotArrivesDuringAFloodOfLargeCalls guards against a member that gets no
// snapshot, since as many large submissions as a process handles at a time are refused
// as busy, and the parts of a snapshot were counted with them.
func TestSnapshotArrivesDuringAFloodOfLargeCalls(t *testing.T) {
	dir := t.TempDir()
	check(t, keys.Init(dir+"/ca"))
	start := func(id string) *link.Node {
		check(t, keys.Issue(dir+"/ca", dir+"/"+id, id))
		ring, err := keys.Load(dir + "/" + id)
		check(t, err)
		node, err := link.Listen("127.0.0.1:0", ring, timeline.NewRecorder(id, "z"), slog.New(slog.DiscardHandler))
		check(t, err)
		t.Cleanup(func() { _ = node.Close() })
		return node
	}
	entry, leader, follower := start("entry"), start("control-1"), start("control-2")
	newReceiver(nil).register(follower)
	const calls, callBytes = 64, 128 << 10
	var arrived sync.WaitGroup
	arrived.Add(calls)
	link.Handle(follower, "test.submit", func(ctx context.Context, _ link.Peer, _ []byte) (struct{}, error) {
		arrived.Done()
		<-ctx.Done()
		return struct{}{}, nil
	})
	follower.Serve()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for range calls {
		go func() {
			// The calls end with the test.
			_, _ = link.Call[[]byte, struct{}](ctx, entry, follower.Address(), "test.submit", make([]byte, callBytes))
		}()
	}
	arrived.Wait()
	part := SnapshotPart{Message: core.Message{From: "control-1"}, Chunk: snapshot.Chunk{Transfer: 1, Total: 2 * snapshot.ChunkBytes, Data: make([]byte, snapshot.ChunkBytes)}}
	if _, err := link.Call[SnapshotPart, Ack](ctx, leader, follower.Address(), SnapshotKind, part); err != nil {
		t.Error(err)
	}
}
