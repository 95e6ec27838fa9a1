package entry

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/logging"
)

const (
	// leaderTry bounds one try of a call to the leader.
	leaderTry = 2 * time.Second
	// leaderPause is the time between rounds over all control processes.
	leaderPause = 100 * time.Millisecond
)

// controls knows the control processes and which of them leads. It is safe
// for concurrent use.
type controls struct {
	node      *link.Node
	addresses []string
	// next indexes addresses: the process believed to lead.
	next atomic.Int64
	// confirmed is 1 + the index of the process that last answered as
	// leader, 0 before the first.
	confirmed atomic.Int64
	// confirmedAt is when that was, in Unix nanoseconds.
	confirmedAt atomic.Int64
}

func newControls(node *link.Node, addresses []string) *controls {
	return &controls{node: node, addresses: addresses}
}

// leaderSince returns the index of the process that last answered as
// leader, if that was after the given time.
func (c *controls) leaderSince(since time.Time) (int, bool) {
	confirmedAt := c.confirmedAt.Load()
	if confirmedAt == 0 || time.Unix(0, confirmedAt).Before(since) {
		return 0, false
	}
	return int(c.confirmed.Load()) - 1, true
}

// turn moves on from a process that did not answer as leader, to the one
// it named or else to the next.
func (c *controls) turn(from int64, err error) {
	to := (from + 1) % int64(len(c.addresses))
	var fault *link.Fault
	if errors.As(err, &fault) && fault.Leader != "" {
		if named := slices.Index(c.addresses, fault.Leader); named >= 0 {
			to = int64(named)
		}
	}
	c.next.CompareAndSwap(from, to)
}

// callLeader makes a call to the leader, wherever it is, until the context
// ends. The call must be safe to repeat: a lost answer is asked for again.
func callLeader[Req, Resp any](ctx context.Context, c *controls, kind link.Kind, req Req) (Resp, error) {
	for tries := 1; ; tries++ {
		at := c.next.Load()
		resp, err := tryLeader[Req, Resp](ctx, c, at, kind, req)
		if err == nil {
			c.confirmed.Store(at + 1)
			c.confirmedAt.Store(time.Now().UnixNano())
			return resp, nil
		}
		if refused(err) {
			return resp, err
		}
		c.turn(at, err)
		if tries%len(c.addresses) == 0 {
			pause(ctx, leaderPause)
		}
		if ctx.Err() != nil {
			return resp, logging.Wrap(err, "call the leader", c.addresses[at])
		}
	}
}

func tryLeader[Req, Resp any](ctx context.Context, c *controls, at int64, kind link.Kind, req Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTry)
	defer cancel()
	return link.Call[Req, Resp](ctx, c.node, c.addresses[at], kind, req)
}

// refused says that the leader itself answered, and would answer so again.
func refused(err error) bool {
	var fault *link.Fault
	if !errors.As(err, &fault) {
		return false
	}
	return fault.Code != link.CodeNotLeader && fault.Code != link.CodeInternal
}
