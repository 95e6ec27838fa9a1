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

// Times of calls to control.
const (
	// attemptTimeout bounds one attempt: a few commits of a busy leader.
	attemptTimeout = 700 * time.Millisecond
	// retryPause is the time between attempts, well below an election.
	retryPause = 60 * time.Millisecond
	// helloInterval is the time between looks for the leader.
	helloInterval = 500 * time.Millisecond
	// helloTimeout bounds one look.
	helloTimeout = 400 * time.Millisecond
)

// Client calls the leader of control. It learns the members from seeds and
// keeps looking for the leader in the background. It is safe for concurrent
// use.
type Client struct {
	node *link.Node
	log  *slog.Logger

	mu sync.Mutex
	// seeds are the addresses of the settings, members those learned.
	seeds, members []string
	leader         string

	// heard is the time at which a leader last answered, in Unix ns of the
	// local steady clock's process start; 0 is never.
	heard   atomic.Int64
	started time.Time
	catalog atomic.Int64

	// local answers in place of a call to self, this process's own link
	// address; nil in a process that never leads.
	self  string
	local LocalControl
}

// LocalControl is a control process's own end of the calls.
type LocalControl interface {
	Control
	// Hello names the leader as this process knows it.
	Hello() HelloResponse
}

var _ Control = (*Client)(nil)

// NewClient returns a client that begins with the seeds' link addresses.
func NewClient(node *link.Node, seeds []string, log *slog.Logger) *Client {
	return &Client{node: node, log: log, seeds: slices.Clone(seeds), started: time.Now()}
}

// ServeLocally answers calls to the own link address without a link. It
// must be called before the client is used.
func (c *Client) ServeLocally(self string, local LocalControl) {
	c.self, c.local = self, local
}

// SetSeeds replaces the seeds.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
}

// Run looks for the leader until the context ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.look(ctx)
		pause := helloInterval
		if c.Leader() == "" {
			pause = retryPause
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

// SinceLeaderContact returns the time since a leader was last known to be reached.
func (c *Client) SinceLeaderContact() time.Duration {
	heard := c.heard.Load()
	if heard == 0 {
		return time.Hour
	}
	return time.Since(c.started) - time.Duration(heard)
}

// CatalogVersion returns the newest version that control has named.
func (c *Client) CatalogVersion() int64 { return c.catalog.Load() }

// look asks the leader, or else any member, who leads.
func (c *Client) look(ctx context.Context) {
	address := c.target()
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
	c.take(address, &answer)
}

func (c *Client) hello(ctx context.Context, address string) (HelloResponse, error) {
	if c.local != nil && address == c.self {
		return c.local.Hello(), nil
	}
	return link.Call[HelloRequest, HelloResponse](ctx, c.node, address, HelloKind, HelloRequest{})
}

// Join asks the leader to take this process in as a member.
func (c *Client) Join(ctx context.Context, r JoinRequest) error {
	address := c.Leader()
	if address == "" {
		return ErrUnavailable
	}
	if c.local != nil && address == c.self {
		// The leader is a member.
		return nil
	}
	_, err := link.Call[JoinRequest, Done](ctx, c.node, address, JoinKind, r)
	return err
}

// target returns the leader's address or, if none is known, that of a
// random member or seed.
func (c *Client) target() string {
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

func (c *Client) take(from string, answer *HelloResponse) {
	if len(answer.Members) > 0 {
		c.mu.Lock()
		c.members = answer.Members
		c.mu.Unlock()
	}
	c.setLeader(answer.Leader)
	if answer.Leader == from {
		c.heard.Store(int64(time.Since(c.started)))
		if answer.CatalogVersion > c.catalog.Load() {
			c.catalog.Store(answer.CatalogVersion)
		}
	}
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	former := c.leader
	c.leader = address
	c.mu.Unlock()
	if former != address {
		c.log.Info("leader of control changed", "from", former, "to", address)
	}
}

// dropLeader forgets the leader if it was the one at the address.
func (c *Client) dropLeader(address string, err error) {
	c.mu.Lock()
	lost := address != "" && c.leader == address
	if lost {
		c.leader = ""
	}
	c.mu.Unlock()
	if lost {
		c.log.Warn("leader of control lost", "address", address, logging.Err(err))
	}
}

// method is one method of Control.
type method[Req, Resp any] func(Control, context.Context, Req) (Resp, error)

// call makes a call to the leader and repeats it until it is answered or
// the context ends: each call of Control is idempotent. The error is
// ErrUnavailable if no attempt can have taken effect, else ErrUnknown.
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
			if mayHaveRun(err) {
				failure = ErrUnknown
			}
			c.note(address, err)
		}
		select {
		case <-ctx.Done():
			return none, logging.Wrap(failure, string(kind), address)
		case <-time.After(retryPause):
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

// note draws from a failed call who leads.
func (c *Client) note(address string, err error) {
	var fault *link.Fault
	switch {
	case errors.As(err, &fault) && fault.Code == link.CodeNotLeader && fault.Leader != address:
		c.setLeader(fault.Leader)
	case errors.As(err, &fault) && fault.Code == CodeUnknown:
		// The leader lives; only this call's result is open.
	default:
		c.dropLeader(address, err)
	}
}

// mayHaveRun says whether a failed call may have taken effect.
func mayHaveRun(err error) bool {
	var fault *link.Fault
	if errors.As(err, &fault) {
		return fault.Code != link.CodeNotLeader && fault.Code != CodeUnavailable
	}
	return errors.Is(err, link.ErrNoAnswer)
}
