package ingress

import (
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"
)

// testGate is a gate with a budget and a clock of the test's own.
type testGate struct {
	*Gate
	clock time.Time
}

func newTestGate(b budget) *testGate {
	g := &testGate{Gate: NewGate(Grant{}, slog.New(slog.DiscardHandler)), clock: time.Unix(1000, 0)}
	g.budget = b
	g.now = func() time.Time { return g.clock }
	return g
}

// admitAt admits a connection some time after the former one.
func (g *testGate) admitAt(t *testing.T, later time.Duration, p phase) *conn {
	t.Helper()
	g.clock = g.clock.Add(later)
	server, client := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	c := g.admit(server)
	if c == nil {
		t.Fatal("not admitted")
	}
	c.enter(p)
	return c
}

func (g *testGate) take(c *conn, n int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acquire(c, n)
}

// closeWhenEvicted ends a connection like its goroutine does.
func (g *testGate) closeWhenEvicted(c *conn) {
	buffer := make([]byte, 1)
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			_ = c.Close()
			return
		}
	}
}

// Guards against newcomers that are kept out by connections that only wait, and
// against the loss of a request that is being served.
func TestSlowestWaitingConnectionMakesRoom(t *testing.T) {
	g := newTestGate(budget{connections: 5})
	served := g.admitAt(t, 0, serving)
	stalled := g.admitAt(t, time.Second, body)
	for range 3 {
		g.admitAt(t, time.Second, idle)
	}
	newcomer := g.admitAt(t, time.Second, idle)
	if !stalled.evicted || served.evicted || newcomer.evicted {
		t.Errorf("evicted: stalled %t, served %t, newcomer %t", stalled.evicted, served.evicted, newcomer.evicted)
	}
}

func TestNewcomerIsRefusedWhileAllAreServed(t *testing.T) {
	g := newTestGate(budget{connections: 4})
	for range 4 {
		g.admitAt(t, time.Second, serving)
	}
	server, _ := net.Pipe()
	if g.admit(server) != nil {
		t.Error("admitted beyond the limit")
	}
}

// Guards against 20 bodies in a budget for 10: the oldest are
// given up, and no more is held than the budget.
func TestBodiesWithoutProgressGiveWay(t *testing.T) {
	g := newTestGate(budget{connections: 100, requestBytes: 10 * smallRequestBytes})
	var all []*conn
	for range 20 {
		c := g.admitAt(t, time.Second, body)
		go g.closeWhenEvicted(c)
		all = append(all, c)
		if err := g.take(c, smallRequestBytes); err != nil {
			t.Fatal(err)
		}
		if g.held > g.budget.requestBytes {
			t.Fatalf("%d bytes held", g.held)
		}
	}
	for i, c := range all {
		if c.evicted != (i < 10) {
			t.Errorf("body %d: evicted is %t", i, c.evicted)
		}
	}
}

// Guards against a body that grows at the cost of faster ones.
func TestSlowestBodyIsRefusedItself(t *testing.T) {
	g := newTestGate(budget{connections: 100, requestBytes: 10 * smallRequestBytes})
	slow := g.admitAt(t, 0, body)
	fast := g.admitAt(t, time.Second, body)
	if err := errors.Join(g.take(slow, 5*smallRequestBytes), g.take(fast, 5*smallRequestBytes)); err != nil {
		t.Fatal(err)
	}
	if err := g.take(slow, 1); !errors.Is(err, ErrBusy) || fast.evicted {
		t.Errorf("%v, fast body evicted: %t", err, fast.evicted)
	}
}

// Guards against small requests that are shut out while large ones are served,
// and against small requests without limit.
func TestSmallRequestsHaveAReserve(t *testing.T) {
	g := newTestGate(budget{connections: 100, requestBytes: 4 * smallRequestBytes, reserveBytes: smallRequestBytes})
	large := g.admitAt(t, 0, body)
	if err := g.take(large, 4*smallRequestBytes); err != nil {
		t.Fatal(err)
	}
	large.enter(serving)
	small, next := g.admitAt(t, time.Second, body), g.admitAt(t, time.Second, body)
	if err := g.take(small, smallRequestBytes); err != nil {
		t.Errorf("small request: %v", err)
	}
	small.enter(serving)
	if err := g.take(next, smallRequestBytes); !errors.Is(err, ErrBusy) || large.evicted || small.evicted {
		t.Errorf("beyond the reserve: %v", err)
	}
}

// Guards against a client that sends single bytes so as not to be evicted.
func TestSingleBytesAreNoProgress(t *testing.T) {
	g := newTestGate(budget{connections: 2})
	c := g.admitAt(t, 0, body)
	begin := c.mark
	for range 100 {
		g.clock = g.clock.Add(time.Millisecond)
		c.progress(1)
	}
	if c.mark != begin || c.last != g.clock {
		t.Errorf("mark %s, last byte %s", c.mark, c.last)
	}
	if c.progress(progressBytes); c.mark != g.clock {
		t.Error("4 KiB are progress")
	}
}

func TestTimeoutsOfEachPhase(t *testing.T) {
	start := time.Unix(1000, 0)
	limits := Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}.withDefaults()
	for _, c := range []struct {
		phase       phase
		age, silent time.Duration
		wanted      reason
	}{
		{idle, 15 * time.Second, 15 * time.Second, ""},
		{idle, 16 * time.Second, 16 * time.Second, reasonIdle},
		{head, 3 * time.Second, 0, ""},
		{head, 4 * time.Second, 0, reasonHeadTime},
		{body, 29 * time.Second, 200 * time.Millisecond, ""},
		{body, 11 * time.Second, 11 * time.Second, reasonBodyTime},
		{body, 31 * time.Second, 0, reasonBodyTime},
		{discarding, 3 * time.Second, 0, reasonBodyTime},
		{serving, time.Hour, time.Hour, ""},
	} {
		now := start.Add(c.age)
		connection := conn{phase: c.phase, since: start, last: now.Add(-c.silent)}
		if got := connection.overdue(now, &limits); got != c.wanted {
			t.Errorf("phase %d after %s: %q, wanted %q", c.phase, c.age, got, c.wanted)
		}
	}
}

// An entry of 184 MB holds the 1,500 connections that once made it exit, and
// spends at most half of its memory on connections and requests.
func TestBudgetOfAnEntry(t *testing.T) {
	b := newBudget(Grant{MemoryMB: 184, Descriptors: 4100})
	spent := int64(b.connections)*connectionBytes + b.requestBytes + b.reserveBytes
	if b.connections < 1500 || b.connections > 3900 || spent > 184<<20/2 {
		t.Errorf("%d connections, %d bytes", b.connections, spent)
	}
}
