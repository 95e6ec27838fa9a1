package workcall

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/ingress"
	"arbutusward.example/arbutusward/internal/connection/link"
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
	// helloAge is the time after a hello call, answered or not, after which a leader
	// that answers other calls is sent another one.
	helloAge = time.Second
	// helloTimeout bounds one hello call.
	helloTimeout = 400 * time.Millisecond
	// confirmedAge is the time after an answer of the leader within which
	// submissions are sent to it without a hello call first.
	confirmedAge = 50 * time.Millisecond
	// askedMembers is the number of members that are asked at once for a lost
	// leader, so that one that is gone too does not delay the answer.
	askedMembers = 2
	// maxLeaderWait bounds how long a submission waits for a leader that accepts
	// it: an election takes up to 1.2 s.
	maxLeaderWait = 1500 * time.Millisecond
	// maxLeaderWaitCutOff replaces maxLeaderWait if no leader has answered for
	// cutOffAge, which is longer than an election: the caller then finds another
	// entry sooner than this one finds a leader.
	maxLeaderWaitCutOff = 150 * time.Millisecond
	cutOffAge           = 1500 * time.Millisecond
	// recentContact is the age of a control process's last contact to the leader
	// within which it passes submissions on without a hello call first.
	recentContact = 150 * time.Millisecond
	// MaxLeaderSilence is the time without contact to the leader after which a
	// member's answer to a hello call names no leader. It is several heartbeats
	// of the replicated log.
	MaxLeaderSilence = 350 * time.Millisecond
)

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
	// answeredBy is the address of the leader or relay that answered last, at
	// answeredAt.
	answeredBy string
	answeredAt time.Time
	// relays is nil unless the client may use them.
	relays *relayChoice

	catalogVersion atomic.Int64
	// lastHello is when checkContact last made a hello call, or the newest answer to
	// one was applied; nil before. Its reading of the monotonic clock is kept, since the
	// wall clock may be set.
	lastHello atomic.Pointer[time.Time]
	// onLimits is nil unless something enforces the catalog's limits.
	onLimits func(ingress.Limits)

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
	// KnownHeartbeat acknowledges the heartbeat of a worker at a follower. It
	// reports false if the leader has to handle the heartbeat.
	KnownHeartbeat(r HeartbeatRequest) (HeartbeatResponse, bool)
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

// OnLimits makes the client pass on the limits of the newest catalog that a
// leader has reported, with each report. It must be called before the client is
// used.
func (c *Client) OnLimits(set func(ingress.Limits)) { c.onLimits = set }

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
		if leader := c.Leader(); leader == "" {
			c.findLeader(ctx)
			pause = retryInterval
		} else {
			c.chooseRelayIfDue(ctx)
			c.checkContact(ctx, c.contact(leader))
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

// SinceLeaderContact returns the time since a leader, or a relay in contact with it,
// last answered a call, or an hour if none has answered yet.
func (c *Client) SinceLeaderContact() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answeredBy == "" {
		return time.Hour
	}
	return time.Since(c.answeredAt)
}

// sinceAnswer returns the time since the leader or relay at an address last answered
// a call, or an hour if another one has answered since.
func (c *Client) sinceAnswer(address string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answeredBy != address {
		return time.Hour
	}
	return time.Since(c.answeredAt)
}

// recordAnswer records that the leader or relay at an address has answered a call.
func (c *Client) recordAnswer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredBy, c.answeredAt = address, time.Now()
}

// recordEarlierAnswer records that the leader or relay at an address answered a call at
// a time, unless a later answer is known. c.mu must be held.
func (c *Client) recordEarlierAnswer(address string, at time.Time) {
	if at.After(c.answeredAt) {
		c.answeredBy, c.answeredAt = address, at
	}
}

// CatalogVersion returns the newest version of the catalog that a leader has
// reported.
func (c *Client) CatalogVersion() int64 { return c.catalogVersion.Load() }
