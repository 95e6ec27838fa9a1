package entry

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/logging"
)

const (
	// attemptTimeout bounds one attempt of a call to the leader. It leaves a
	// request with a deadline of a few seconds time for others.
	attemptTimeout = 700 * time.Millisecond
	// pullTimeout replaces attemptTimeout for pulls of batch requests, which the
	// leader holds for a second while there is nothing to lease.
	pullTimeout = 2 * time.Second
	// retryAllPause is the time between two rounds of attempts at all control
	// processes.
	retryAllPause = 100 * time.Millisecond
)

// controls holds the addresses of the control processes and tracks which of
// them leads. It is safe for concurrent use.
type controls struct {
	node      *link.Node
	addresses []string
	// next is the index of the address to try next: the presumed leader.
	next atomic.Int64
	// lastLeader is 1 + the index of the process that last answered as
	// leader, or 0 before the first answer.
	lastLeader atomic.Int64
	// lastLeaderAt is when it answered, in Unix nanoseconds.
	lastLeaderAt atomic.Int64
}

func newControls(node *link.Node, addresses []string) *controls {
	return &controls{node: node, addresses: addresses}
}

// leaderSince returns the index of the process that last answered as
// leader, if that was after the given time.
func (c *controls) leaderSince(since time.Time) (int, bool) {
	answeredAt := c.lastLeaderAt.Load()
	if answeredAt == 0 || time.Unix(0, answeredAt).Before(since) {
		return 0, false
	}
	return int(c.lastLeader.Load()) - 1, true
}

// tryNext selects the process to try after one that did not answer as leader:
// the leader that it named, or else the next in the list.
func (c *controls) tryNext(from int64, err error) {
	to := (from + 1) % int64(len(c.addresses))
	var fault *link.Fault
	if errors.As(err, &fault) && fault.Leader != "" {
		if named := slices.Index(c.addresses, fault.Leader); named >= 0 {
			to = int64(named)
		}
	}
	c.next.CompareAndSwap(from, to)
}

// callLeader finds the leader and makes a call to it. It retries until the
// leader answers or the context ends. The call must be idempotent, because it
// is repeated if the answer is lost.
func callLeader[Req, Resp any](ctx context.Context, c *controls, kind link.Kind, req Req) (Resp, error) {
	for attempts := 1; ; attempts++ {
		at := c.next.Load()
		resp, err := callOnce[Req, Resp](ctx, c, at, kind, req)
		if err == nil {
			c.lastLeader.Store(at + 1)
			c.lastLeaderAt.Store(time.Now().UnixNano())
			return resp, nil
		}
		if refused(err) {
			return resp, err
		}
		c.tryNext(at, err)
		if attempts%len(c.addresses) == 0 {
			pause(ctx, retryAllPause)
		}
		if ctx.Err() != nil {
			return resp, logging.Wrap(err, "call the leader", c.addresses[at])
		}
	}
}

// callOnce makes one attempt of a call at the control process with an index.
func callOnce[Req, Resp any](ctx context.Context, c *controls, at int64, kind link.Kind, req Req) (Resp, error) {
	timeout := attemptTimeout
	if kind == message.PullBatchKind {
		timeout = pullTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return link.Call[Req, Resp](ctx, c.node, c.addresses[at], kind, req)
}

// refused reports whether the error is an answer of the leader that it would
// give again.
func refused(err error) bool {
	var fault *link.Fault
	if !errors.As(err, &fault) {
		return false
	}
	return fault.Code != link.CodeNotLeader && fault.Code != link.CodeInternal
}
