package workcall

import (
	"context"
	"errors"
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
	// helloInterval is the time between hello calls that look for the leader.
	helloInterval = 500 * time.Millisecond
	// helloTimeout bounds one hello call.
	helloTimeout = 400 * time.Millisecond
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

	// lastContact is the monotonic time since started, in nanoseconds, at
	// which a leader last answered; 0 if none has answered.
	lastContact    atomic.Int64
	started        time.Time
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
	return &Client{node: node, log: log, seeds: slices.Clone(seeds), started: time.Now()}
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
		c.findLeader(ctx)
		pause := helloInterval
		if c.Leader() == "" {
			pause = retryInterval
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

// SinceLeaderContact returns the time since a leader last answered a hello
// call, or an hour if none has answered yet.
func (c *Client) SinceLeaderContact() time.Duration {
	contact := c.lastContact.Load()
	if contact == 0 {
		return time.Hour
	}
	return time.Since(c.started) - time.Duration(contact)
}

// CatalogVersion returns the newest version of the catalog that a leader has
// reported.
func (c *Client) CatalogVersion() int64 { return c.catalogVersion.Load() }

// findLeader asks the known leader, or else a random member or seed, for the
// present leader.
func (c *Client) findLeader(ctx context.Context) {
	address := c.nextAddress()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answer, err := c.hello(ctx, address)
	if err != nil {
		c.dropLeader(address, err)
		return
	}
	c.applyHello(address, &answer)
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

// nextAddress returns the leader's address or, if none is known, that of a
// random member or seed.
func (c *Client) nextAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	all := append(slices.Clone(c.members), c.seeds...)
	if len(all) == 0 {
		return ""
	}
	return all[rand.IntN(len(all))]
}

// applyHello takes over the members, the leader and, if the leader itself
// answered, the version of the catalog.
func (c *Client) applyHello(from string, answer *HelloResponse) {
	if len(answer.Members) > 0 {
		c.mu.Lock()
		c.members = answer.Members
		c.mu.Unlock()
	}
	c.setLeader(answer.Leader)
	if answer.Leader == from {
		c.lastContact.Store(int64(time.Since(c.started)))
		if answer.CatalogVersion > c.catalogVersion.Load() {
			c.catalogVersion.Store(answer.CatalogVersion)
		}
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

// call calls the leader and retries until it gets an answer or the context
// ends. Retries are safe because each call of Control is idempotent. The error
// is ErrUnavailable if no attempt can have taken effect, else ErrUnknown.
func call[Req, Resp any](ctx context.Context, c *Client, kind link.Kind, serve method[Req, Resp], request Req) (Resp, error) {
	var none Resp
	failure := ErrUnavailable
	for {
		address := c.Leader()
		if address != "" {
			answer, err := attempt(ctx, c, address, kind, serve, request)
			if err == nil {
				return answer, nil
			}
			if mayHaveTakenEffect(err) {
				failure = ErrUnknown
			}
			c.handleFailure(address, err)
		}
		select {
		case <-ctx.Done():
			return none, logging.Wrap(failure, string(kind), address)
		case <-time.After(retryInterval):
		}
	}
}

func attempt[Req, Resp any](ctx context.Context, c *Client, address string, kind link.Kind, serve method[Req, Resp], request Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if c.local != nil && address == c.self {
		return serve(c.local, ctx, request)
	}
	return link.Call[Req, Resp](ctx, c.node, address, kind, request)
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
