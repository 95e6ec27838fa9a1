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

// errBusy is the ErrUnavailable of a call that the leader has refused as one large call
// too many. The leader is not lost.
var errBusy = fmt.Errorf("%w: it handles too many large calls", ErrUnavailable)

// method is one method of Control.
type method[Req, Resp any] func(Control, context.Context, Req) (Resp, error)

// refusalTime returns when a call that no leader has taken is given up, so that
// its caller may try elsewhere. It is the zero time for calls that wait for as
// long as their context.
func (c *Client) refusalTime(kind link.Kind) time.Time {
	switch {
	case kind != submitKind && kind != accountsKind:
		return time.Time{}
	case c.SinceLeaderContact() > cutOffAge:
		return time.Now().Add(maxLeaderWaitCutOff)
	}
	return time.Now().Add(maxLeaderWait)
}

// call calls the leader and retries until it gets an answer, the context ends or
// the time of refusal comes. Retries are safe because each call of Control is
// idempotent. The error is ErrUnavailable if no attempt can have taken effect,
// else ErrUnknown; a call that may have taken effect is not given up early, since a
// later answer tells its caller whether it has, unless that refuses what is known.
func call[Req, Resp any](ctx context.Context, c *Client, kind link.Kind, serve method[Req, Resp], request Req) (Resp, error) {
	var none Resp
	failure, busy := ErrUnavailable, false
	refuseAt := c.refusalTime(kind)
	for {
		leader := c.Leader()
		if leader != "" {
			to := c.contactFor(kind, leader)
			answer, err := attempt(ctx, c, to, kind, serve, request, refuseAt)
			if err == nil {
				c.recordAnswer(to.address)
				if failure == ErrUnknown && refusesEffect(answer) {
					return none, logging.Wrap(failure, string(kind), leader)
				}
				return answer, nil
			}
			if kind == accountsKind && isUnknownKind(err) {
				return none, logging.Wrap(err, string(kind), to.address)
			}
			if mayHaveTakenEffect(err) {
				failure = ErrUnknown
			}
			busy = isBusy(err)
			c.handleFailure(to, err)
			if busy && failure == ErrUnavailable && isRelayed(ctx) {
				return none, logging.Wrap(errBusy, string(kind), to.address)
			}
		}
		if !pause(ctx, retryInterval) || failure == ErrUnavailable && !refuseAt.IsZero() && !time.Now().Before(refuseAt) {
			if busy && failure == ErrUnavailable {
				failure = errBusy
			}
			return none, logging.Wrap(failure, string(kind), leader)
		}
	}
}

// refusesEffect reports whether an answer refuses a call of which an earlier copy may have
// taken effect, as after its key was removed.
func refusesEffect(answer any) bool {
	refusal, ok := answer.(interface{ mayHaveTakenEffect() bool })
	return ok && refusal.mayHaveTakenEffect()
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

func attempt[Req, Resp any](ctx context.Context, c *Client, to contact, kind link.Kind, serve method[Req, Resp], request Req, refuseAt time.Time) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if c.local != nil && to.address == c.self {
		return serve(c.local, ctx, request)
	}
	if kind == submitKind {
		if err := c.confirmContact(ctx, to, refuseAt); err != nil {
			var none Resp
			return none, err
		}
	}
	switch {
	case to.relay:
		return link.Call[Req, Resp](ctx, c.node, to.address, relayKinds[kind], request)
	case c.local != nil && batchedKinds[kind]:
		return link.CallBatched[Req, Resp](ctx, c.node, to.address, kind, request)
	}
	return link.Call[Req, Resp](ctx, c.node, to.address, kind, request)
}

// confirmContact makes sure, by the given time, that the leader or relay answers
// before it is sent a call whose loss leaves the caller without a definite answer. One
// that answered a moment ago is not asked, nor is a leader that this member of the log
// has just heard.
func (c *Client) confirmContact(ctx context.Context, to contact, by time.Time) error {
	if c.sinceAnswer(to.address) < confirmedAge || c.hearsLeader(to.address) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(helloTimeout, max(time.Until(by), confirmedAge)))
	defer cancel()
	answer, err := c.hello(ctx, to.address)
	if err != nil {
		// The cause is quoted only: the call itself was not sent.
		return fmt.Errorf("%w: %v", errNotSent, err)
	}
	c.applyHello(to.address, &answer)
	if leader := c.Leader(); leader == "" || c.contact(leader) != to {
		return &link.Fault{Code: link.CodeNotLeader, Message: "the peer does not lead", Leader: leader}
	}
	return nil
}

// hearsLeader reports whether this process is a member of the log that has just heard
// the leader at an address.
func (c *Client) hearsLeader(address string) bool {
	if c.local == nil {
		return false
	}
	known := c.local.Hello()
	return known.Leader == address && known.LeaderSilenceMS <= recentContact.Milliseconds()
}

// handleFailure updates the known leader and the relay after a failed call.
func (c *Client) handleFailure(to contact, err error) {
	var fault *link.Fault
	isFault := errors.As(err, &fault)
	switch {
	case isFault && fault.Code == link.CodeNotLeader && fault.Leader != to.address:
		c.setLeader(fault.Leader)
	case isFault && fault.Code == link.CodeBusy:
		// The peer is alive and will read the request later.
	case isFault && fault.Code == CodeUnknown:
		// The leader is alive; only the result of this call is unknown.
	case to.relay && isFault && fault.Code == CodeUnavailable:
		c.dropRelay(to.address, err)
		c.dropLeader(c.Leader(), err)
	case to.relay:
		c.dropRelay(to.address, err)
	default:
		c.dropLeader(to.address, err)
	}
}

// isBusy reports whether the peer has refused a large call as one too many.
func isBusy(err error) bool {
	var fault *link.Fault
	return errors.As(err, &fault) && fault.Code == link.CodeBusy
}

// isUnknownKind reports whether the peer has no handler for the call.
func isUnknownKind(err error) bool {
	var fault *link.Fault
	return errors.As(err, &fault) && fault.Code == link.CodeUnknownKind
}

// mayHaveTakenEffect reports whether a failed call may have taken effect.
func mayHaveTakenEffect(err error) bool {
	var fault *link.Fault
	if errors.As(err, &fault) {
		return fault.Code != link.CodeNotLeader && fault.Code != link.CodeBusy && fault.Code != CodeUnavailable && fault.Code != link.CodeUnknownKind
	}
	return errors.Is(err, link.ErrNoAnswer)
}
