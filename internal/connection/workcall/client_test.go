package workcall

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/ingress"
	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/link/linktest"
)

// member is a control process that answers hello calls and takes submissions.
type member struct {
	node *link.Node
	// isRelay is set if it passes calls on to the leader, zone is its zone.
	isRelay bool
	zone    string
	// candidates are the relays that it names.
	candidates atomic.Pointer[[]string]
	// leader is the address that it names, silence the age of its contact.
	leader  atomic.Pointer[string]
	silence atomic.Int64
	// frozen makes it answer nothing, losing makes it take submissions without
	// an answer.
	frozen, losing atomic.Bool
	// busy makes it refuse submissions like a leader with too many large ones.
	busy          atomic.Bool
	hellos, taken atomic.Int64
	// submitted is the newest submission.
	submitted atomic.Pointer[SubmitRequest]
	// slow is the time that it takes to accept a submission.
	slow atomic.Int64
	// refusal, if set, is its answer to submissions.
	refusal atomic.Pointer[SubmitResponse]
	// maxBodyBytes is the limit of bodies that it names.
	maxBodyBytes atomic.Int64
}

func startMember(t *testing.T) *member {
	t.Helper()
	m := &member{node: linktest.Start(t, "test")}
	address := m.node.Address()
	m.leader.Store(&address)
	m.serveHello()
	link.Handle(m.node, submitKind, func(ctx context.Context, _ link.Peer, r SubmitRequest) (SubmitResponse, error) {
		if m.busy.Load() {
			const wait = 200 * time.Millisecond
			time.Sleep(wait)
			return SubmitResponse{}, &link.Fault{Code: link.CodeBusy}
		}
		m.taken.Add(1)
		m.submitted.Store(&r)
		if m.frozen.Load() || m.losing.Load() {
			<-ctx.Done()
		}
		time.Sleep(time.Duration(m.slow.Load()))
		if refusal := m.refusal.Load(); refusal != nil {
			return *refusal, nil
		}
		return SubmitResponse{Status: OK}, nil
	})
	m.node.Serve()
	return m
}

// serveHello makes the member answer hello calls.
func (m *member) serveHello() {
	link.Handle(m.node, HelloKind, func(ctx context.Context, _ link.Peer, _ HelloRequest) (HelloResponse, error) {
		if m.frozen.Load() {
			<-ctx.Done()
		}
		m.hellos.Add(1)
		return m.answerHello(), nil
	})
}

func (m *member) answerHello() HelloResponse {
	answer := HelloResponse{Leader: *m.leader.Load(), LeaderSilenceMS: m.silence.Load(), CatalogVersion: 1, IsRelay: m.isRelay, Zone: m.zone}
	answer.Limits.MaxBodyBytes = m.maxBodyBytes.Load()
	if candidates := m.candidates.Load(); candidates != nil {
		answer.Relays = *candidates
		answer.Members = append([]string{answer.Leader}, answer.Relays...)
	}
	return answer
}

func startClient(t *testing.T, members ...*member) *Client {
	t.Helper()
	var seeds []string
	for _, m := range members {
		seeds = append(seeds, m.node.Address())
	}
	return NewClient(linktest.Start(t, "test"), seeds, slog.New(slog.DiscardHandler))
}

// submit submits a job that may wait for a second.
func submit(t *testing.T, c *Client) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := c.Submit(ctx, SubmitRequest{})
	return err
}

// waitForLeader runs the client until it knows the leader.
func waitForLeader(t *testing.T, c *Client, address string) {
	t.Helper()
	deadline := time.Now().Add(3 * time.Second)
	for c.Leader() != address {
		if time.Now().After(deadline) {
			t.Fatalf("leader %q, want %q", c.Leader(), address)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestBusyClientLearnsLimits guards against limits that a client never learns, since
// its calls keep it from asking the leader.
func TestBusyClientLearnsLimits(t *testing.T) {
	leader := startMember(t)
	c := startClient(t, leader)
	var learnt atomic.Int64
	c.OnLimits(func(l ingress.Limits) { learnt.Store(l.MaxBodyBytes) })
	go c.Run(t.Context())
	waitForLeader(t, c, leader.node.Address())
	leader.maxBodyBytes.Store(1000)
	for deadline := time.Now().Add(10 * time.Second); learnt.Load() != 1000; {
		if time.Now().After(deadline) {
			t.Fatal("the limits were not learnt")
		}
		c.recordAnswer(leader.node.Address())
		time.Sleep(10 * time.Millisecond)
	}
}

// TestBusyLeaderGetsOneHelloASecond guards against a busy leader whose hello answers
// change nothing, here as they name an older catalog, and that gets four such calls a
// second from each entry.
func TestBusyLeaderGetsOneHelloASecond(t *testing.T) {
	leader := startMember(t)
	c := startClient(t, leader)
	go c.Run(t.Context())
	waitForLeader(t, c, leader.node.Address())
	c.catalogVersion.Store(2)
	const duration = 3 * time.Second
	before := leader.hellos.Load()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c.recordAnswer(leader.node.Address())
	}
	if count := leader.hellos.Load() - before; count > int64(duration/helloAge)+1 {
		t.Errorf("%d hello calls in %s", count, duration)
	}
}

// TestClientWhoseClockIsSetBackLearnsLimits guards against limits of an older catalog that a busy entry enforces until its clock has caught up: the time of the last hello call is compared with the wall clock.
func TestClientWhoseClockIsSetBackLearnsLimits(t *testing.T) {
	leader := startMember(t)
	c := startClient(t, leader)
	go c.Run(t.Context())
	waitForLeader(t, c, leader.node.Address())
	if at := c.helloAt(); at == at.Round(0) {
		t.Errorf("%s has no reading of the monotonic clock", at)
	}
}

// TestSubmissionThatWasNotSentIsNotUnknown guards against a caller who cannot
// submit again, since its job may run, although it reached no control process.
func TestSubmissionThatWasNotSentIsNotUnknown(t *testing.T) {
	leader := startMember(t)
	c := startClient(t, leader)
	go c.Run(t.Context())
	waitForLeader(t, c, leader.node.Address())
	if err := submit(t, c); err != nil {
		t.Fatal(err)
	}
	taken := leader.taken.Load()
	leader.frozen.Store(true)
	time.Sleep(2 * confirmedAge)
	if err := submit(t, c); !errors.Is(err, ErrUnavailable) {
		t.Errorf("error %v, want %v", err, ErrUnavailable)
	}
	if got := leader.taken.Load(); got != taken {
		t.Errorf("%d submissions were sent to the frozen leader", got-taken)
	}
}

// TestSubmissionWithoutAnswerIsUnknown guards against a caller who is told that
// a job has not run although the leader took it.
func TestSubmissionWithoutAnswerIsUnknown(t *testing.T) {
	leader := startMember(t)
	c := startClient(t, leader)
	go c.Run(t.Context())
	waitForLeader(t, c, leader.node.Address())
	leader.losing.Store(true)
	if err := submit(t, c); !errors.Is(err, ErrUnknown) {
		t.Errorf("error %v, want %v", err, ErrUnknown)
	}
}

// TestLostLeaderIsNotTakenFromAMemberThatLostItToo guards against entries that
// go on calling a dead leader until its followers elect another one.
func TestLostLeaderIsNotTakenFromAMemberThatLostItToo(t *testing.T) {
	follower, leader := startMember(t), startMember(t)
	dead := linktest.Start(t, "test").Address()
	follower.leader.Store(&dead)
	follower.silence.Store(2 * MaxLeaderSilence.Milliseconds())
	c := startClient(t, follower)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	c.findLeader(ctx)
	if got := c.Leader(); got != "" {
		t.Errorf("leader %q", got)
	}
	elected := leader.node.Address()
	follower.leader.Store(&elected)
	follower.silence.Store(0)
	c.findLeader(ctx)
	if got := c.Leader(); got != elected {
		t.Errorf("leader %q, want %q", got, elected)
	}
}

// TestCallsReplaceHellos guards against a leader that spends its processor on
// entries that ask whether it leads although it answers their calls.
func TestCallsReplaceHellos(t *testing.T) {
	leader := startMember(t)
	c := startClient(t, leader)
	go c.Run(t.Context())
	waitForLeader(t, c, leader.node.Address())
	hellos := leader.hellos.Load()
	for start := time.Now(); time.Since(start) < 2*quietAge; {
		if err := submit(t, c); err != nil {
			t.Fatal(err)
		}
		time.Sleep(confirmedAge / 5)
	}
	if asked := leader.hellos.Load() - hellos; asked > 1 {
		t.Errorf("%d hello calls beside submissions", asked)
	}
}

// TestSubmissionWaitIsShorterWithoutRecentLeaderContact guards against callers who wait at an entry that was cut off, and against refusals during each election.
func TestSubmissionWaitIsShorterWithoutRecentLeaderContact(t *testing.T) {
	for _, c := range []struct{ sinceLeader, limit time.Duration }{{0, maxLeaderWait}, {2 * cutOffAge, maxLeaderWaitCutOff}} {
		client := startClient(t, startMember(t))
		client.answeredBy, client.answeredAt = "former", time.Now().Add(-c.sinceLeader)
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 2*maxLeaderWait)
		_, err := client.Submit(ctx, SubmitRequest{})
		cancel()
		took := time.Since(start)
		if !errors.Is(err, ErrUnavailable) || took < c.limit || took > c.limit+5*retryInterval {
			t.Errorf("leader reached %s ago: %v after %s, expected a refusal after %s", c.sinceLeader, err, took, c.limit)
		}
	}
}

// TestSubmissionThatALeaderTookIsAwaited guards against callers who are left without a definite answer because the entry stopped waiting while the leader committed their job.
func TestSubmissionThatALeaderTookIsAwaited(t *testing.T) {
	leader := startMember(t)
	leader.slow.Store(int64(2 * maxLeaderWaitCutOff))
	c := startClient(t, leader)
	c.setLeader(leader.node.Address())
	if err := submit(t, c); err != nil {
		t.Errorf("error %v", err)
	}
}

// TestRefusalOfAKnownJobIsNoAnswerForItsEarlierCopy guards against a 401 for a job that runs: a copy of its submission was accepted without an answer, and its key was removed before the next copy.
func TestRefusalOfAKnownJobIsNoAnswerForItsEarlierCopy(t *testing.T) {
	for _, c := range []struct{ lost, known bool }{{true, true}, {true, false}, {false, true}} {
		leader := startMember(t)
		client := startClient(t, leader)
		go client.Run(t.Context())
		waitForLeader(t, client, leader.node.Address())
		leader.refusal.Store(&SubmitResponse{Status: Unauthorized, Known: c.known})
		if c.lost {
			leader.losing.Store(true)
			time.AfterFunc(50*time.Millisecond, func() { leader.losing.Store(false) })
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		answer, err := client.Submit(ctx, SubmitRequest{})
		if unknown := errors.Is(err, ErrUnknown); unknown != (c.lost && c.known) || !unknown && answer.Status != Unauthorized {
			t.Errorf("%+v: answer %+v, error %v", c, answer, err)
		}
	}
}

// TestRefusalAfterALostAnswerIsPassedOnOnlyIfTheJobIsNotKnown guards against an answer that says that a job was not accepted, whatever the reason, after an earlier copy of its submission was.
func TestRefusalAfterALostAnswerIsPassedOnOnlyIfTheJobIsNotKnown(t *testing.T) {
	for _, status := range []Status{UnknownQueue, Invalid, NotReady, Overloaded, Unauthorized, Forbidden} {
		for _, known := range []bool{true, false} {
			leader := startMember(t)
			client := startClient(t, leader)
			go client.Run(t.Context())
			waitForLeader(t, client, leader.node.Address())
			leader.refusal.Store(&SubmitResponse{Status: status, Known: known})
			leader.losing.Store(true)
			time.AfterFunc(50*time.Millisecond, func() { leader.losing.Store(false) })
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			answer, err := client.Submit(ctx, SubmitRequest{})
			cancel()
			if unknown := errors.Is(err, ErrUnknown); unknown != known || !unknown && answer.Status != status {
				t.Errorf("status %d, known %t: answer %+v, error %v", status, known, answer, err)
			}
		}
	}
}
