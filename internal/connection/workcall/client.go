package workcall

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/logging"
)

// Timing of calls to control.
const (
	// attemptTimeout bounds one attempt. It leaves time for a few commits of
	// a busy leader.
	attemptTimeout = 700 * time.Millisecond
	// retryInterval is the time between attempts, well below the duration of
	// an election.
	retryInterval = 60 * time.Millisecond
	// checkInterval is the time between two checks whether the leader still
	// answers.
	checkInterval = 250 * time.Millisecond
	// quietAge is the time without an answer of the leader to any call after
	// which it is sent a hello call.
	quietAge = 600 * time.Millisecond
	// helloTimeout bounds one hello call.
	helloTimeout = 400 * time.Millisecond
	// confirmedAge is the time after an answer of the leader within which it
	// gets submissions without a hello call before.
	confirmedAge = 50 * time.Millisecond
	// askedMembers is the number of members that are asked at once for a lost
	// leader, so that one that is gone too does not delay the answer.
	askedMembers = 2
	// maxLeaderWait bounds how long a submission waits for a leader that takes
	// it: an election takes up to 1.2 s.
	maxLeaderWait = 1500 * time.Millisecond
	// maxLeaderWaitCutOff replaces maxLeaderWait if no leader has answered for
	// cutOffAge, which is longer than an election: the caller then finds another
	// entry sooner than this one finds a leader.
	maxLeaderWaitCutOff = 150 * time.Millisecond
	cutOffAge           = 1500 * time.Millisecond
	// maxLeaderSilence is the age of a member's own contact with the leader
	// beyond which its answer names no leader. It is several heartbeats of the
	// replicated log.
	maxLeaderSilence = 350 * time.Millisecond
)

// errNotSent is the failure of a call that was not sent, since the leader does
// not answer.
var errNotSent = errors.New("the leader does not answer, the call was not sent")

// Client calls the control leader. It learns the members from its seeds, and
// Run tracks the leader in the background. It is safe for concurrent use.
type Client struct {
	node *link.Node
	log  *slog.Logger

	mu sync.Mutex
	// seeds are the configured addresses, members those learned from hello
	// responses.
	seeds, members []string
	leader         string
	// answeredBy is the address of the leader that answered last, at answeredAt.
	answeredBy string
	answeredAt time.Time

	catalogVersion atomic.Int64

	// local serves calls to self, the link address of this process, without
	// a network call. It is nil in a process that never leads.
	self  string
	local LocalControl
}

// LocalControl serves the calls within a control process.
type LocalControl interface {
	Control
	// Hello returns the leader and the members as this process knows them.
	Hello() HelloResponse
}

var _ Control = (*Client)(nil)

// NewClient returns a client that starts from the link addresses of seeds.
func NewClient(node *link.Node, seeds []string, log *slog.Logger) *Client {
	return &Client{node: node, log: log, seeds: slices.Clone(seeds)}
}

// ServeLocally makes local serve the calls to self, the link address of this
// process, without a network call. It must be called before the client is used.
func (c *Client) ServeLocally(self string, local LocalControl) {
	c.self, c.local = self, local
}

// SetSeeds replaces the seeds.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
}

// Run tracks the leader until the context ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := checkInterval
		switch leader := c.Leader(); {
		case leader == "":
			c.findLeader(ctx)
			pause = retryInterval
		case c.sinceAnswer(leader) > quietAge:
			c.checkLeader(ctx, leader)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// Leader returns the leader's link address, or "" if none is known.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// SinceLeaderContact returns the time since a leader last answered a call, or
// an hour if none has answered yet.
func (c *Client) SinceLeaderContact() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answeredBy == "" {
		return time.Hour
	}
	return time.Since(c.answeredAt)
}

// sinceAnswer returns the time since the leader at an address last answered a
// call, or an hour if another leader has answered since.
func (c *Client) sinceAnswer(leader string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answeredBy != leader {
		return time.Hour
	}
	return time.Since(c.answeredAt)
}

// recordAnswer records that the leader at an address has answered a call.
func (c *Client) recordAnswer(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredBy, c.answeredAt = leader, time.Now()
}

// CatalogVersion returns the newest version of the catalog that a leader has
// reported.
func (c *Client) CatalogVersion() int64 { return c.catalogVersion.Load() }

// checkLeader asks the known leader whether it still leads.
func (c *Client) checkLeader(ctx context.Context, leader string) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answer, err := c.hello(ctx, leader)
	if err != nil {
		c.dropLeader(leader, err)
		return
	}
	c.applyHello(leader, &answer)
}

// memberAnswer is the answer of one member to a hello call.
type memberAnswer struct {
	from  string
	hello HelloResponse
	err   error
}

// findLeader asks some members or seeds at once for the leader and takes the
// first answer that names one.
func (c *Client) findLeader(ctx context.Context) {
	addresses := c.chooseMembers(askedMembers)
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answers := make(chan memberAnswer, len(addresses))
	for _, address := range addresses {
		go func() {
			hello, err := c.hello(ctx, address)
			answers <- memberAnswer{address, hello, err}
		}()
	}
	for range addresses {
		a := <-answers
		if a.err != nil {
			continue
		}
		c.applyHello(a.from, &a.hello)
		if c.Leader() != "" {
			return
		}
	}
}

func (c *Client) hello(ctx context.Context, address string) (HelloResponse, error) {
	if c.local != nil && address == c.self {
		return c.local.Hello(), nil
	}
	return link.Call[HelloRequest, HelloResponse](ctx, c.node, address, HelloKind, HelloRequest{})
}

// Join asks the leader to admit this process as a member.
func (c *Client) Join(ctx context.Context, r JoinRequest) error {
	address := c.Leader()
	if address == "" {
		return ErrUnavailable
	}
	if c.local != nil && address == c.self {
		// This process leads, so it is a member already.
		return nil
	}
	_, err := link.Call[JoinRequest, Done](ctx, c.node, address, JoinKind, r)
	return err
}

// chooseMembers returns the addresses of up to count random members or seeds.
func (c *Client) chooseMembers(count int) []string {
	c.mu.Lock()
	all := append(slices.Clone(c.members), c.seeds...)
	c.mu.Unlock()
	slices.Sort(all)
	all = slices.Compact(all)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// applyHello takes over the members, the leader and, if the leader itself
// answered, the version of the catalog. A member that has not heard of its
// leader lately names none.
func (c *Client) applyHello(from string, answer *HelloResponse) {
	if len(answer.Members) > 0 {
		c.mu.Lock()
		c.members = answer.Members
		c.mu.Unlock()
	}
	leader := answer.Leader
	if answer.LeaderSilenceMS > maxLeaderSilence.Milliseconds() {
		leader = ""
	}
	c.setLeader(leader)
	if leader != from {
		return
	}
	c.recordAnswer(leader)
	if answer.CatalogVersion > c.catalogVersion.Load() {
		c.catalogVersion.Store(answer.CatalogVersion)
	}
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	former := c.leader
	c.leader = address
	c.mu.Unlock()
	if former != address {
		c.log.Info("control leader changed", "from", former, "to", address)
	}
}

// dropLeader discards the known leader if it has the address.
func (c *Client) dropLeader(address string, err error) {
	c.mu.Lock()
	lost := address != "" && c.leader == address
	if lost {
		c.leader = ""
	}
	c.mu.Unlock()
	if lost {
		c.log.Warn("control leader lost", "address", address, logging.Err(err))
	}
}

// method is one method of Control.
type method[Req, Resp any] func(Control, context.Context, Req) (Resp, error)

// refusalTime returns when a call that no leader has taken is given up, so that
// its caller may try elsewhere. It is the zero time for calls that wait for as
// long as their context.
func (c *Client) refusalTime(kind link.Kind) time.Time {
	switch {
	case kind != submitKind:
		return time.Time{}
	case c.SinceLeaderContact() > cutOffAge:
		return time.Now().Add(maxLeaderWaitCutOff)
	}
	return time.Now().Add(maxLeaderWait)
}

// call calls the leader and retries until it gets an answer, the context ends or
// the time of refusal comes. Retries are safe because each call of Control is
// idempotent. The error is ErrUnavailable if no attempt can have taken effect,
// else ErrUnknown; a call that may have taken effect is not refused, since a
// later answer tells its caller whether it has.
func call[Req, Resp any](ctx context.Context, c *Client, kind link.Kind, serve method[Req, Resp], request Req) (Resp, error) {
	var none Resp
	failure := ErrUnavailable
	refuseAt := c.refusalTime(kind)
	for {
		address := c.Leader()
		if address != "" {
			answer, err := attempt(ctx, c, address, kind, serve, request, refuseAt)
			if err == nil {
				c.recordAnswer(address)
				return answer, nil
			}
			if mayHaveTakenEffect(err) {
				failure = ErrUnknown
			}
			c.handleFailure(address, err)
		}
		if !pause(ctx, retryInterval) || failure == ErrUnavailable && !refuseAt.IsZero() && !time.Now().Before(refuseAt) {
			return none, logging.Wrap(failure, string(kind), address)
		}
	}
}

// pause waits for a duration. It returns false if the context ends before.
func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func attempt[Req, Resp any](ctx context.Context, c *Client, address string, kind link.Kind, serve method[Req, Resp], request Req, refuseAt time.Time) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if c.local != nil && address == c.self {
		return serve(c.local, ctx, request)
	}
	if kind == submitKind {
		if err := c.confirmLeader(ctx, address, refuseAt); err != nil {
			var none Resp
			return none, err
		}
	}
	return link.Call[Req, Resp](ctx, c.node, address, kind, request)
}

// confirmLeader makes sure, by the given time, that the leader at an address
// answers before it is sent a call whose loss leaves the caller without a
// definite answer. A leader that answered a moment ago is not asked.
func (c *Client) confirmLeader(ctx context.Context, address string, by time.Time) error {
	if c.sinceAnswer(address) < confirmedAge {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(helloTimeout, max(time.Until(by), confirmedAge)))
	defer cancel()
	answer, err := c.hello(ctx, address)
	if err != nil {
		// The cause is quoted only: the call itself was not sent.
		return fmt.Errorf("%w: %v", errNotSent, err)
	}
	c.applyHello(address, &answer)
	if c.Leader() != address {
		return &link.Fault{Code: link.CodeNotLeader, Message: "the peer does not lead", Leader: c.Leader()}
	}
	return nil
}

// handleFailure updates the known leader after a failed call.
func (c *Client) handleFailure(address string, err error) {
	var fault *link.Fault
	switch {
	case errors.As(err, &fault) && fault.Code == link.CodeNotLeader && fault.Leader != address:
		c.setLeader(fault.Leader)
	case errors.As(err, &fault) && fault.Code == CodeUnknown:
		// The leader is alive; only the result of this call is unknown.
	default:
		c.dropLeader(address, err)
	}
}

// mayHaveTakenEffect reports whether a failed call may have taken effect.
func mayHaveTakenEffect(err error) bool {
	var fault *link.Fault
	if errors.As(err, &fault) {
		return fault.Code != link.CodeNotLeader && fault.Code != CodeUnavailable
	}
	return errors.Is(err, link.ErrNoAnswer)
}
