package link

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// listenAt starts a node with the keys in dir on an address, which may still be
// in use for a moment.
func listenAt(t *testing.T, ring *keys.Ring, address string) *Node {
	t.Helper()
	deadline := time.Now().Add(3 * time.Second)
	for {
		node, err := Listen(address, ring, timeline.NewRecorder(ring.ID, "z"), slog.New(slog.DiscardHandler))
		if err == nil {
			t.Cleanup(func() { _ = node.Close() })
			return node
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func echo(_ context.Context, _ Peer, n int) (int, error) { return n, nil }

// rings returns the key rings of a deployment with an authority and of one
// without.
func rings(t *testing.T) map[string]*keys.Ring {
	t.Helper()
	dir := t.TempDir()
	if err := keys.Init(dir + "/ca"); err != nil {
		t.Fatal(err)
	}
	if err := keys.Issue(dir+"/ca", dir+"/to", "to"); err != nil {
		t.Fatal(err)
	}
	issued, err := keys.Load(dir + "/to")
	if err != nil {
		t.Fatal(err)
	}
	ephemeral, err := keys.NewEphemeral("to")
	if err != nil {
		t.Fatal(err)
	}
	return map[string]*keys.Ring{"issued": issued, "ephemeral": ephemeral}
}

// TestCallsReachAKilledPeerSoonAfterItsRestart guards against calls and messages
// that are lost on connections to the former process until these time out.
func TestCallsReachAKilledPeerSoonAfterItsRestart(t *testing.T) {
	for name, ring := range rings(t) {
		t.Run(name, func(t *testing.T) {
			from := listenAt(t, ring, "127.0.0.1:0")
			to := listenAt(t, ring, "127.0.0.1:0")
			Handle(to, "test.echo", echo)
			to.Serve()
			address := to.Address()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if _, err := Call[int, int](ctx, from, address, "test.echo", 1); err != nil {
				t.Fatal(err)
			}
			// A killed process says no goodbye.
			if err := to.transport.Conn.Close(); err != nil {
				t.Fatal(err)
			}
			restartedRing := ring
			if name == "ephemeral" {
				var err error
				if restartedRing, err = keys.NewEphemeral("to"); err != nil {
					t.Fatal(err)
				}
			}
			restarted := listenAt(t, restartedRing, address)
			Handle(restarted, "test.echo", echo)
			restarted.Serve()
			start := time.Now()
			for {
				attempt, cancelAttempt := context.WithTimeout(ctx, 300*time.Millisecond)
				_, err := Call[int, int](attempt, from, address, "test.echo", 2)
				cancelAttempt()
				if err == nil {
					break
				}
				if ctx.Err() != nil {
					t.Fatal(err)
				}
			}
			if took := time.Since(start); took > IdleTimeout/2 {
				t.Errorf("the first call was answered after %s", took)
			}
		})
	}
}

// TestDialReachesAPeerSoonAfterItsReturn guards against a dial that waits for
// the long pause between two packets although the peer is back.
func TestDialReachesAPeerSoonAfterItsReturn(t *testing.T) {
	ring := rings(t)["issued"]
	from := listenAt(t, ring, "127.0.0.1:0")
	// The socket takes packets and answers none, like a VM without power.
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := socket.LocalAddr().String()
	called := make(chan error, 1)
	var answeredAt time.Time
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
		defer cancel()
		_, err := Call[int, int](ctx, from, address, "test.echo", 1)
		answeredAt = time.Now()
		called <- err
	}()
	const away = 650 * time.Millisecond
	time.Sleep(away)
	if err := socket.Close(); err != nil {
		t.Fatal(err)
	}
	back := time.Now()
	to := listenAt(t, ring, address)
	Handle(to, "test.echo", echo)
	to.Serve()
	if err := <-called; err != nil {
		t.Fatal(err)
	}
	if took := answeredAt.Sub(back); took > 2*redialInterval {
		t.Errorf("the call was answered %s after the peer was back", took)
	}
}
