package link

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// startNode starts a node with a key of the authority in dir.
func startNode(t testing.TB, dir, id string) *Node {
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

// TestMessagesKeepTheirOrderAndSurviveALostStream guards against messages that are lost for good, or read from the middle of another one, after a write that failed.
func TestMessagesKeepTheirOrderAndSurviveALostStream(t *testing.T) {
	from, to := startPair(t)
	var received []int
	done := make(chan struct{})
	Handle(to, "test.message", func(_ context.Context, _ Peer, m []int) (struct{}, error) {
		received = append(received, m[0])
		if m[0] == 200 {
			close(done)
		}
		return struct{}{}, nil
	})
	to.Serve()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for i := 1; i <= 200; i++ {
		if i == 100 {
			// A message that cannot be written in time ends its stream.
			limitFlushes(from, to.Address(), -time.Second)
			if err := Send(ctx, from, to.Address(), "test.message", make([]int, 10)); err == nil {
				t.Error("no error")
			}
			limitFlushes(from, to.Address(), flushTimeout)
		}
		if err := Send(ctx, from, to.Address(), "test.message", append([]int{i}, make([]int, i%7*100)...)); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-done:
	case <-ctx.Done():
		t.Fatalf("%d messages arrived", len(received))
	}
	for i, n := range received {
		if n != i+1 {
			t.Fatalf("message %d is %d", i, n)
		}
	}
}

// TestLargeMessageDoesNotHoldUpOthers guards against heartbeats that wait behind a configuration or a snapshot.
func TestLargeMessageDoesNotHoldUpOthers(t *testing.T) {
	from, to := startPair(t)
	received := make(chan int, 2)
	Handle(to, "test.message", func(_ context.Context, _ Peer, m []byte) (struct{}, error) {
		received <- len(m)
		return struct{}{}, nil
	})
	to.Serve()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := Send(ctx, from, to.Address(), "test.message", []byte{1}); err != nil {
		t.Fatal(err)
	}
	<-received
	const large = 12 << 20
	go func() { _ = Send(ctx, from, to.Address(), "test.message", make([]byte, large)) }()
	time.Sleep(5 * time.Millisecond)
	if err := Send(ctx, from, to.Address(), "test.message", []byte{1}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []int{1, large} {
		select {
		case got := <-received:
			if got != want {
				t.Errorf("a message of %d bytes came first, want %d", got, want)
			}
		case <-ctx.Done():
			t.Fatal("a message did not arrive")
		}
	}
}

// limitFlushes sets the time in which a connection must take the frames of a flush.
func limitFlushes(n *Node, address string, timeout time.Duration) {
	n.mu.Lock()
	o := n.connections[address].messages
	n.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.timeout = timeout
}

// takeFlushes takes the frames of each flush of an outbox at once, until the test stops
// it, and then returns how many flushes there were.
func takeFlushes(o *outbox) (stop func() int) {
	flushes := 0
	go func() {
		for range o.due {
			taken := o.take()
			taken.report(nil)
			flushes++
		}
	}()
	return func() int {
		time.Sleep(time.Second)
		synctest.Wait()
		close(o.due)
		return flushes
	}
}

// TestManyMessagesShareFlushes guards against a process that spends its processor on a packet for each message.
func TestManyMessagesShareFlushes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ms = 1000
		o := newOutbox()
		stop := takeFlushes(o)
		sent := 0
		var longest time.Duration
		for range ms {
			at := time.Now()
			o.add([]byte("frame"), ordinary, func(error) {
				sent++
				longest = max(longest, time.Since(at))
			})
			time.Sleep(time.Millisecond)
		}
		if flushes := stop(); flushes > ms/int(flushInterval.Milliseconds())+2 {
			t.Errorf("%d flushes in %d ms", flushes, ms)
		}
		if sent != ms || longest > flushInterval {
			t.Errorf("%d messages, one of them waited for %s", sent, longest)
		}
	})
}

// TestUrgentMessageTakesWaitingOnesAlong guards against commits that are late because their messages wait for those of others, and against a packet for each of both.
func TestUrgentMessageTakesWaitingOnesAlong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pairs = 10
		o := newOutbox()
		stop := takeFlushes(o)
		for range pairs {
			o.add([]byte("frame"), ordinary, func(error) {})
			at := time.Now()
			o.add([]byte("frame"), urgent, func(error) {
				if waited := time.Since(at); waited > 0 {
					t.Errorf("an urgent message waited for %s", waited)
				}
			})
			time.Sleep(flushInterval)
		}
		if flushes := stop(); flushes != pairs {
			t.Errorf("%d flushes for %d pairs of messages", flushes, pairs)
		}
	})
}

// TestFullOutboxRefusesMessages guards against a process that fills its memory with messages to a peer that takes none.
func TestFullOutboxRefusesMessages(t *testing.T) {
	o := newOutbox()
	refused := 0
	for range 2 * maxOutboxBytes / maxSharedBytes {
		o.add(make([]byte, maxSharedBytes), ordinary, func(err error) {
			if errors.Is(err, errOutboxFull) {
				refused++
			}
		})
	}
	if wanted := maxOutboxBytes / maxSharedBytes; refused != wanted {
		t.Errorf("%d messages refused, expected %d", refused, wanted)
	}
}

// BenchmarkSend measures a message without an answer, sender and receiver
// together.
func BenchmarkSend(b *testing.B) {
	dir := b.TempDir()
	if err := keys.Init(dir + "/ca"); err != nil {
		b.Fatal(err)
	}
	from, to := startNode(b, dir, "from"), startNode(b, dir, "to")
	received := make(chan struct{}, 1<<16)
	Handle(to, "test.message", func(context.Context, Peer, []byte) (struct{}, error) {
		received <- struct{}{}
		return struct{}{}, nil
	})
	to.Serve()
	body := make([]byte, 300)
	b.ReportAllocs()
	for b.Loop() {
		if err := Send(b.Context(), from, to.Address(), "test.message", body); err != nil {
			b.Fatal(err)
		}
		<-received
	}
}

// TestMessagesReachAPeerOfTheEarlierProtocol guards against members that stop hearing each other while a new version is rolled out.
func TestMessagesReachAPeerOfTheEarlierProtocol(t *testing.T) {
	for _, protocol := range []string{callProtocol, messageProtocol, sharedProtocol} {
		t.Run(protocol, func(t *testing.T) { testEarlierProtocol(t, protocol) })
	}
}

func testEarlierProtocol(t *testing.T, protocol string) {
	from, to := startPair(t)
	received := make(chan int, 1)
	Handle(to, "test.message", func(_ context.Context, _ Peer, n int) (struct{}, error) {
		received <- n
		return struct{}{}, nil
	})
	serveProtocol(t, to, protocol)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	before := messagesSent.Get()
	if err := Send(ctx, from, to.Address(), "test.message", 3); err != nil {
		t.Fatal(err)
	}
	if protocol == callProtocol && messagesSent.Get() != before {
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

// serveProtocol makes a node serve like one of an earlier version.
func serveProtocol(t *testing.T, n *Node, protocol string) {
	t.Helper()
	if err := n.listener.Close(); err != nil {
		t.Fatal(err)
	}
	listener, err := n.transport.Listen(n.ring.MutualTLS(protocol), quicConfig())
	if err != nil {
		t.Fatal(err)
	}
	n.listener = listener
	n.Serve()
}
