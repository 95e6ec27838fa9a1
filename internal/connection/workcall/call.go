package workcall

import (
	"context"
	"errors"
	"fmt"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/logging"
)

// errNotSent is the failure of a call that was not sent, since the leader does
// not answer.
var errNotSent = errors.New("the leader does not answer, the call was not sent")

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
