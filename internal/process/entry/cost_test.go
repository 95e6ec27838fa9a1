package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/view"
)

const (
	// packetOverhead is the size of the IPv4 and UDP headers, in bytes.
	packetOverhead = 28
	// byteBudget is the traffic that a process may use for control, in bytes
	// a second.
	byteBudget = 15_000
	// costWindow is the period over which bytes are counted.
	costWindow = 3 * time.Second
	// settleTime is the time after which new connections have stopped their
	// path MTU discovery.
	settleTime = 3 * time.Second
)

// countingRelay forwards UDP packets to one address and counts their bytes.
type countingRelay struct {
	address string
	bytes   atomic.Int64
}

func newCountingRelay(t *testing.T, upstream string) *countingRelay {
	t.Helper()
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	must(t, err)
	back, err := net.Dial("udp", upstream)
	must(t, err)
	t.Cleanup(func() { _ = front.Close(); _ = back.Close() })
	r := &countingRelay{address: front.LocalAddr().String()}
	var client atomic.Value
	go r.pump(func(b []byte) (int, error) {
		n, from, err := front.ReadFrom(b)
		if err == nil {
			client.Store(from)
		}
		return n, err
	}, back.Write)
	go r.pump(back.Read, func(b []byte) (int, error) { return front.WriteTo(b, client.Load().(net.Addr)) })
	return r
}

func (r *countingRelay) pump(read, write func([]byte) (int, error)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := read(buffer)
		if err != nil {
			return
		}
		r.bytes.Add(int64(n + packetOverhead))
		if _, err := write(buffer[:n]); err != nil {
			return
		}
	}
}

// zoneEntry is the part of an entry that communicates with its zone peers.
type zoneEntry struct {
	self     view.Entry
	node     *link.Node
	table    *announce.Table
	peers    *peers
	follower *Follower
}

func newZoneEntry(t *testing.T, ca, id string) *zoneEntry {
	t.Helper()
	dir := t.TempDir()
	must(t, keys.Issue(ca, dir, id))
	ring, err := keys.Load(dir)
	must(t, err)
	log := slog.New(slog.DiscardHandler)
	recorder := timeline.NewRecorder(id, "za")
	node, err := link.Listen("127.0.0.1:0", ring, recorder, log)
	must(t, err)
	t.Cleanup(func() { _ = node.Close() })
	e := &zoneEntry{node: node, self: view.Entry{ID: id, Zone: "za", Link: node.Address()}}
	e.table = announce.NewTable(recorder, func(string) bool { return true }, func() {})
	e.follower = newFollower(e.self, newControls(node, []string{"127.0.0.1:1"}), viewFile{}, recorder, log, func() {})
	e.peers = newPeers(e.self, node, e.table, e.follower, log, func(work func()) { go work() })
	e.peers.register()
	node.Serve()
	return e
}

// announceAll announces the given number of targets. A new startedMS counts as
// a restart of the targets.
func (e *zoneEntry) announceAll(t *testing.T, targets int, startedMS int64) {
	t.Helper()
	for i := range targets {
		a := announce.Announcement{VM: fmt.Sprintf("pool-zone-rack-%d", i), Address: "10.11.12.13:8080", Services: []string{"booking", "office"}, Incarnation: "0123456789ABCDEFGHIJKLMNOP", StartedMS: startedMS}
		_, err := e.table.Accept(a, "booking")
		must(t, err)
	}
}

// TestBytesBetweenZonePeersFollowChanges measures the bytes that an entry
// exchanges with a peer, without changes and for one change of a target, at
// several numbers of targets in the zone. The traffic without changes must not
// grow with the number of targets.
func TestBytesBetweenZonePeersFollowChanges(t *testing.T) {
	const zonePeers = 2
	var idleRates []float64
	for _, targets := range []int{10, 286, 1000} {
		idle, change := measureZone(t, targets)
		idleRates = append(idleRates, idle)
		t.Logf("%4d targets: %.0f B/s with one peer without changes (polls of both), %.0f B for one change", targets, idle, change)
		if idle*zonePeers > byteBudget {
			t.Errorf("%d targets: %.0f B/s with %d peers", targets, idle*zonePeers, zonePeers)
		}
	}
	if last := idleRates[len(idleRates)-1]; last > 1.5*idleRates[0] {
		t.Errorf("the traffic without changes grows with the number of targets: %.0f", idleRates)
	}
}

// measureZone returns the bytes a second without changes and the bytes of one
// change.
func measureZone(t *testing.T, targets int) (idle, change float64) {
	ca := t.TempDir()
	must(t, keys.Init(ca))
	holder, other := newZoneEntry(t, ca, "entry-a1"), newZoneEntry(t, ca, "entry-a2")
	toHolder, toOther := newCountingRelay(t, holder.self.Link), newCountingRelay(t, other.self.Link)
	holder.setView(toHolder, toOther)
	other.setView(toHolder, toOther)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go holder.expireLeases(ctx)
	go holder.renewLeases(ctx, t, targets)
	holder.peers.reconcile(ctx, holder.follower.View())
	other.peers.reconcile(ctx, other.follower.View())
	waitTargets(t, other.table, targets)
	bytes := func() float64 { return float64(toHolder.bytes.Load() + toOther.bytes.Load()) }
	// New connections send probes to discover the path MTU.
	time.Sleep(settleTime)
	before := bytes()
	time.Sleep(costWindow)
	idle = (bytes() - before) / costWindow.Seconds()
	const changes = 20
	before = bytes()
	for i := range changes {
		holder.announceAll(t, 1, int64(2+i))
		time.Sleep(costWindow / changes)
	}
	change = (bytes() - before - idle*costWindow.Seconds()) / changes
	return idle, change
}

// setView puts a view in force in which the links of both entries are relays.
func (e *zoneEntry) setView(first, second *countingRelay) {
	delta := view.Delta{To: 1, Full: true, Version: 1, Entries: []view.Entry{
		{ID: "entry-a1", Zone: "za", Link: first.address}, {ID: "entry-a2", Zone: "za", Link: second.address}}}
	e.follower.advance(&delta, true)
}

// expireLeases checks for expired leases as Server.maintainTable does. A table
// that is not checked regularly assumes that its process was suspended.
func (e *zoneEntry) expireLeases(ctx context.Context) {
	for ctx.Err() == nil {
		e.table.Expire(time.Now())
		pause(ctx, expiryInterval)
	}
}

// renewLeases announces all targets but the changing one at the interval of
// real targets.
func (e *zoneEntry) renewLeases(ctx context.Context, t *testing.T, targets int) {
	e.announceAll(t, 1, 1)
	for ctx.Err() == nil {
		for i := 1; i < targets; i++ {
			a := announce.Announcement{VM: fmt.Sprintf("pool-zone-rack-%d", i), Address: "10.11.12.13:8080", Services: []string{"booking", "office"}, Incarnation: "0123456789ABCDEFGHIJKLMNOP", StartedMS: 1}
			if _, err := e.table.Accept(a, "booking"); err != nil {
				t.Error(err)
			}
		}
		pause(ctx, announce.NextInterval)
	}
}

// waitTargets waits until a table has received the given number of targets.
func waitTargets(t *testing.T, table *announce.Table, targets int) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if len(table.Snapshot().Targets) >= targets {
			return
		}
	}
	t.Fatalf("%d of %d targets reached the peer", len(table.Snapshot().Targets), targets)
}

// TestReportStaysWithinItsBudget logs the sizes of reports, and checks the size
// of a full report from an entry in a deployment of 2,000 VMs in 7 zones.
func TestReportStaysWithinItsBudget(t *testing.T) {
	const targets, services = 286, 31
	var full message.Report
	full.EntryID, full.Zone, full.Incarnation, full.Full = "entry-a1", "za", "0123456789ABCDEFGHIJKLMNOP", true
	for i := range targets {
		full.Targets = append(full.Targets, message.TargetHealth{VM: fmt.Sprintf("pool-zone-rack-%d", i), Live: true})
	}
	for i := range services {
		full.Usage = append(full.Usage, message.ServiceUsage{Service: fmt.Sprint("service-", i), Arrived: 1000, Ran: 1000, BusySlots: 3.25})
	}
	steady := full
	steady.Full, steady.Targets = false, nil
	idle := steady
	idle.Usage = nil
	t.Logf("report: %d B full with %d targets and %d services in use, %d B without changes, %d B idle",
		encodedSize(t, full), targets, services, encodedSize(t, steady), encodedSize(t, idle))
	if size := encodedSize(t, full); size > byteBudget {
		t.Errorf("a full report takes %d B", size)
	}
}
