package workcall

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/link/linktest"
	"arbutusward.example/arbutusward/internal/version/catalog"
)

// relayed is a leader with members that pass calls on to it.
type relayed struct {
	leader *member
	relays []*member
	// passing holds the client of each relay.
	passing []*Client
	client  *Client
}

// startRelayed starts a leader, one relay for each availability zone, and the client of
// an entry in zone a.
func startRelayed(t *testing.T, zones ...string) *relayed {
	t.Helper()
	d := &relayed{leader: startMember(t)}
	address := d.leader.node.Address()
	seeds := []string{address}
	for _, zone := range zones {
		m := &member{node: linktest.Start(t, "test"), zone: zone, isRelay: true}
		m.leader.Store(&address)
		m.serveHello()
		own := NewClient(m.node, []string{address}, slog.New(slog.DiscardHandler))
		own.ServeLocally(m.node.Address(), passingControl{member: m})
		own.setLeader(address)
		RegisterRelay(m.node, own)
		m.node.Serve()
		d.relays, d.passing = append(d.relays, m), append(d.passing, own)
		seeds = append(seeds, m.node.Address())
	}
	var addresses []string
	for _, m := range d.relays {
		addresses = append(addresses, m.node.Address())
	}
	d.leader.candidates.Store(&addresses)
	for _, m := range d.relays {
		m.candidates.Store(&addresses)
	}
	d.client = NewClient(linktest.Start(t, "test"), seeds, slog.New(slog.DiscardHandler))
	d.client.UseRelays("a")
	go d.client.Run(t.Context())
	return d
}

// passingControl is the local control of a relay, which never leads.
type passingControl struct {
	Control
	*member
}

func (c passingControl) Hello() HelloResponse { return c.answerHello() }

func (c passingControl) KnownHeartbeat(HeartbeatRequest) (HeartbeatResponse, bool) {
	return HeartbeatResponse{}, false
}

// awaitContact waits until calls for the leader are sent to an address.
func (d *relayed) awaitContact(t *testing.T, address string) {
	t.Helper()
	deadline := time.Now().Add(3 * time.Second)
	for {
		leader := d.client.Leader()
		if leader != "" && d.client.contact(leader).address == address {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("calls are sent to %q, want %q", d.client.contact(leader).address, address)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestEntriesCallTheLeaderThroughRelays guards against a leader whose processor goes to the connections of the entries.
func TestEntriesCallTheLeaderThroughRelays(t *testing.T) {
	d := startRelayed(t, "b", "a", "c")
	d.awaitContact(t, d.relays[1].node.Address())
	time.Sleep(2 * confirmedAge)
	hellos := d.leader.hellos.Load()
	const jobs = 20
	for range jobs {
		if err := submit(t, d.client); err != nil {
			t.Fatal(err)
		}
		time.Sleep(confirmedAge / 5)
	}
	if got := d.leader.taken.Load(); got != jobs {
		t.Errorf("the leader took %d of %d submissions", got, jobs)
	}
	if asked := d.leader.hellos.Load() - hellos; asked > 1 {
		t.Errorf("the leader answered %d hello calls", asked)
	}
	if silence := d.client.SinceLeaderContact(); silence > time.Second {
		t.Errorf("the entry counts as without contact for %s", silence)
	}
}

// TestBusyLeaderIsNotLostByEntriesOfRelays guards against entries that give up their
// relay and their leader, and report that they are not ready, since the leader refuses
// large submissions of a flood.
func TestBusyLeaderIsNotLostByEntriesOfRelays(t *testing.T) {
	d := startRelayed(t, "a", "b")
	relay := d.relays[0].node.Address()
	d.awaitContact(t, relay)
	d.leader.busy.Store(true)
	d.passing[0].recordAnswer(d.leader.node.Address())
	ended := make(chan error, 1)
	go func() {
		_, err := d.client.Submit(t.Context(), SubmitRequest{Location: Location{Path: "/q/1"}})
		ended <- err
	}()
	for {
		select {
		case err := <-ended:
			if !errors.Is(err, ErrUnavailable) {
				t.Errorf("error %v", err)
			}
			return
		case <-time.After(time.Millisecond):
		}
		if leader := d.client.Leader(); leader == "" || d.client.contact(leader).address != relay {
			t.Fatalf("leader %q, calls no longer go to the relay", leader)
		}
		if d.passing[0].Leader() == "" {
			t.Fatal("the relay has lost the leader")
		}
	}
}

// TestEntryWithoutItsRelayIsServed guards against entries that serve nobody while their relay is frozen.
func TestEntryWithoutItsRelayIsServed(t *testing.T) {
	d := startRelayed(t, "a", "b")
	d.awaitContact(t, d.relays[0].node.Address())
	d.relays[0].frozen.Store(true)
	time.Sleep(2 * confirmedAge)
	if err := submit(t, d.client); err != nil {
		t.Errorf("error %v", err)
	}
	d.awaitContact(t, d.relays[1].node.Address())
}

// TestEntryThatHasJustChosenItsRelayIsServed guards against entries that count as cut off, and give a submission up after maxLeaderWaitCutOff, although the relay that froze had just told them that it hears the leader.
func TestEntryThatHasJustChosenItsRelayIsServed(t *testing.T) {
	d := startRelayed(t, "a", "b")
	c := startClient(t, d.relays[1])
	c.UseRelays("a")
	c.findLeader(t.Context())
	c.chooseRelayIfDue(t.Context())
	if got, want := c.contact(c.Leader()).address, d.relays[0].node.Address(); got != want {
		t.Fatalf("calls are sent to %q, want %q", got, want)
	}
	d.relays[0].frozen.Store(true)
	time.Sleep(2 * confirmedAge)
	if err := submit(t, c); err != nil {
		t.Errorf("error %v", err)
	}
}

// TestRelayThatHasLostTheLeaderIsNotUsed guards against entries that are refused by a relay that is cut off although the leader can be reached.
func TestRelayThatHasLostTheLeaderIsNotUsed(t *testing.T) {
	d := startRelayed(t, "a", "b")
	d.awaitContact(t, d.relays[0].node.Address())
	d.relays[0].silence.Store(2 * MaxLeaderSilence.Milliseconds())
	d.awaitContact(t, d.relays[1].node.Address())
	if err := submit(t, d.client); err != nil {
		t.Errorf("error %v", err)
	}
}

// TestSubmissionThatARelayMayHavePassedOnIsUnknown guards against a caller who is told that a job has not run although a relay may have passed it on.
func TestSubmissionThatARelayMayHavePassedOnIsUnknown(t *testing.T) {
	d := startRelayed(t, "a")
	d.awaitContact(t, d.relays[0].node.Address())
	d.leader.losing.Store(true)
	if err := submit(t, d.client); !errors.Is(err, ErrUnknown) {
		t.Errorf("error %v, want %v", err, ErrUnknown)
	}
}

// TestMemberOfTheVersionBeforeIsNoRelay guards against entries whose calls a member of the version before refuses.
func TestMemberOfTheVersionBeforeIsNoRelay(t *testing.T) {
	leader, former := startMember(t), startMember(t)
	address := leader.node.Address()
	former.leader.Store(&address)
	candidates := []string{former.node.Address()}
	leader.candidates.Store(&candidates)
	c := startClient(t, leader)
	c.UseRelays("a")
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	c.findLeader(ctx)
	c.chooseRelayIfDue(ctx)
	if got := c.contact(address); got.relay {
		t.Errorf("calls are sent to the member of the version before, %s", got.address)
	}
	if hello, err := link.Call[HelloRequest, HelloResponse](ctx, c.node, former.node.Address(), HelloKind, HelloRequest{}); err != nil || hello.IsRelay {
		t.Errorf("%+v %v", hello, err)
	}
}

// TestRelayPassesTheKeyOn guards against calls through a relay that are refused since their key got lost, or that are taken for new attempts.
func TestRelayPassesTheKeyOn(t *testing.T) {
	d := startRelayed(t, "a")
	d.awaitContact(t, d.relays[0].node.Address())
	key := catalog.DigestKey("k")
	if _, err := d.client.Submit(t.Context(), SubmitRequest{Key: &key, Attempt: "1"}); err != nil {
		t.Fatal(err)
	}
	if got := d.leader.submitted.Load(); got.Key == nil || *got.Key != key || got.Attempt != "1" {
		t.Errorf("the leader got %+v", got)
	}
}

// TestLeaderOfAVersionWithoutAccountsIsKept guards against entries that lose their leader or relay with each key that they ask about during an upgrade.
func TestLeaderOfAVersionWithoutAccountsIsKept(t *testing.T) {
	d := startRelayed(t, "a")
	relay := d.relays[0].node.Address()
	d.awaitContact(t, relay)
	start := time.Now()
	if _, err := d.client.Accounts(t.Context(), AccountsRequest{}); err == nil || time.Since(start) > time.Second {
		t.Errorf("error %v after %s", err, time.Since(start))
	}
	if got := d.client.contact(d.leader.node.Address()); got.address != relay {
		t.Errorf("calls are sent to %s, not to the relay", got.address)
	}
}
