package link

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// startNode starts a node with a key of the authority in dir.
func startNode(t *testing.T, dir, id string) *Node {
	t.Helper()
	if err := keys.Issue(dir+"/ca", dir+"/"+id, id); err != nil {
		t.Fatal(err)
	}
	ring, err := keys.Load(dir + "/" + id)
	if err != nil {
		t.Fatal(err)
	}
	node, err := Listen("127.0.0.1:0", ring, timeline.NewRecorder(id, "z"), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = node.Close() })
	return node
}

// startPair starts two nodes of one authority.
func startPair(t *testing.T) (from, to *Node) {
	t.Helper()
	dir := t.TempDir()
	if err := keys.Init(dir + "/ca"); err != nil {
		t.Fatal(err)
	}
	return startNode(t, dir, "from"), startNode(t, dir, "to")
}

func TestSentMessagesReachTheHandlerWithTheirSender(t *testing.T) {
	from, to := startPair(t)
	type message struct{ Number int }
	const count = 300
	received := make(chan int, count)
	Handle(to, "test.message", func(_ context.Context, peer Peer, m message) (struct{}, error) {
		if peer.ID != "from" {
			t.Errorf("sender %q", peer.ID)
		}
		received <- m.Number
		return struct{}{}, nil
	})
	to.Serve()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for i := range count {
		if err := Send(ctx, from, to.Address(), "test.message", message{Number: i}); err != nil {
			t.Fatal(err)
		}
	}
	seen := map[int]bool{}
	for len(seen) < count {
		select {
		case n := <-received:
			seen[n] = true
		case <-ctx.Done():
			t.Fatalf("%d of %d messages arrived", len(seen), count)
		}
	}
}

func TestSendToAnUnknownKindKeepsTheConnection(t *testing.T) {
	from, to := startPair(t)
	Handle(to, "test.echo", func(_ context.Context, _ Peer, n int) (int, error) { return n, nil })
	to.Serve()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := Send(ctx, from, to.Address(), "test.unknown", 1); err != nil {
		t.Fatal(err)
	}
	if got, err := Call[int, int](ctx, from, to.Address(), "test.echo", 7); got != 7 || err != nil {
		t.Errorf("%d %v", got, err)
	}
}

func TestSendToASilentAddressEndsWithItsContext(t *testing.T) {
	from, to := startPair(t)
	address := to.Address()
	if err := to.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	start := time.Now()
	if err := Send(ctx, from, address, "test.message", 1); err == nil {
		t.Error("no error")
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("took %s", took)
	}
}

// TestMessagesReachAPeerOfTheEarlierProtocol guards against members that stop hearing each other while a new version is rolled out.
func TestMessagesReachAPeerOfTheEarlierProtocol(t *testing.T) {
	from, to := startPair(t)
	received := make(chan int, 1)
	Handle(to, "test.message", func(_ context.Context, _ Peer, n int) (struct{}, error) {
		received <- n
		return struct{}{}, nil
	})
	if err := to.listener.Close(); err != nil {
		t.Fatal(err)
	}
	listener, err := to.transport.Listen(to.ring.MutualTLS(callProtocol), quicConfig())
	if err != nil {
		t.Fatal(err)
	}
	to.listener = listener
	to.Serve()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	before := messagesSent.Get()
	if err := Send(ctx, from, to.Address(), "test.message", 3); err != nil {
		t.Fatal(err)
	}
	if messagesSent.Get() != before {
		t.Error("the peer got a message of a kind that it does not know")
	}
	select {
	case n := <-received:
		if n != 3 {
			t.Errorf("received %d", n)
		}
	case <-ctx.Done():
		t.Error("the message did not arrive")
	}
}
