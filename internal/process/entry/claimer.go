package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"strings"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/request/claim"
)

const (
	// endTimeout bounds the attempts to end a claim after its request is over.
	endTimeout = 30 * time.Second
	// maxBackgroundEnds bounds the claims that are being ended in the
	// background.
	maxBackgroundEnds = 256
	// defaultClaimLifetime applies to a claim whose request has no deadline.
	defaultClaimLifetime = time.Minute
)

// errMalformedToken is returned for a token that was not issued by Claim.
var errMalformedToken = errors.New("malformed claim token")

// Claimer implements claim.Claimer with calls to the leader, which keeps the
// replicated table of claims.
type Claimer struct {
	controls    *controls
	entry       string
	incarnation string
	recorder    *timeline.Recorder
	log         *slog.Logger
	// backgroundEnds holds an element for each claim that is being ended in
	// the background.
	backgroundEnds chan struct{}
}

func newClaimer(c *controls, entry, incarnation string, recorder *timeline.Recorder, log *slog.Logger) *Claimer {
	return &Claimer{controls: c, entry: entry, incarnation: incarnation, recorder: recorder, log: log, backgroundEnds: make(chan struct{}, maxBackgroundEnds)}
}

// Claim claims the idempotency key for a new attempt. After an error the
// claim is released in the background: the leader may have granted it, but the
// attempt is not made.
func (c *Claimer) Claim(ctx context.Context, r claim.Request) (claim.Decision, error) {
	if len(r.Key) > claim.MaxKeyBytes {
		return claim.Decision{State: claim.Mismatch, Reason: "the key is too long"}, nil
	}
	command := state.ClaimCommand{
		Key: claim.ScopedKey(r), KeyTimeMS: claim.KeyTimeMS(r.Key), Digest: r.Digest[:],
		Entry: c.entry, Incarnation: c.incarnation, Attempt: rand.Text(), TimeoutMS: remainingTime(ctx).Milliseconds(),
	}
	end := state.ClaimEnd{Key: command.Key, Attempt: command.Attempt}
	answer, err := callLeader[state.ClaimCommand, state.ClaimAnswer](ctx, c.controls, message.ClaimKind, command)
	countClaim(answer.State)
	if err != nil {
		c.endInBackground(message.ReleaseClaimKind, end)
		return claim.Decision{}, err
	}
	decision := claim.Decision{State: answer.State, Answer: answer.Answer, Reason: answer.Reason}
	if answer.State == claim.Granted {
		decision.Token = end.Key + " " + end.Attempt
		c.recorder.Record(timeline.Event{Kind: timeline.ClaimGranted, Request: r.RequestID, Service: r.Service})
	}
	return decision, nil
}

// remainingTime returns the time until the request's deadline.
func remainingTime(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return defaultClaimLifetime
}

// Finish records the answer to the request of a granted claim. If no leader
// answers in time, Finish returns an error and goes on trying in the background.
func (c *Claimer) Finish(ctx context.Context, token string, answer *claim.Answer) error {
	end, err := parseToken(token)
	if err != nil {
		return err
	}
	end.Answer, end.Reason = recordableAnswer(answer)
	return c.end(ctx, message.FinishClaimKind, end)
}

// recordableAnswer returns the answer, or the reason why there is none if it is
// lost or too large to be recorded.
func recordableAnswer(answer *claim.Answer) (*claim.Answer, string) {
	switch {
	case answer == nil:
		return nil, "the request may have run, its answer is lost"
	case answer.Size() > claim.MaxAnswerBytes:
		return nil, "the request ran, its answer is too large to be recorded"
	}
	return answer, ""
}

// Release releases a granted claim. No byte of its request may have been sent
// to a target.
func (c *Claimer) Release(ctx context.Context, token string) error {
	end, err := parseToken(token)
	if err != nil {
		return err
	}
	return c.end(ctx, message.ReleaseClaimKind, end)
}

// end sends the end of a claim to the leader. If no leader answers it goes on
// trying in the background.
func (c *Claimer) end(ctx context.Context, kind link.Kind, end state.ClaimEnd) error {
	_, err := callLeader[state.ClaimEnd, message.Done](ctx, c.controls, kind, end)
	if err != nil && !refused(err) {
		c.endInBackground(kind, end)
	}
	return err
}

// endInBackground tries to end a claim after its request is over. If that
// fails, the leader reports the claim as unknown once its owner counts as lost.
func (c *Claimer) endInBackground(kind link.Kind, end state.ClaimEnd) {
	select {
	case c.backgroundEnds <- struct{}{}:
	default:
		c.log.Warn("too many claims are being ended in the background, this claim will become unknown")
		return
	}
	go func() {
		defer func() { <-c.backgroundEnds }()
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		if _, err := callLeader[state.ClaimEnd, message.Done](ctx, c.controls, kind, end); err != nil {
			c.log.Warn("claim was not ended in the background", logging.Err(err))
		}
	}()
}

func parseToken(token string) (state.ClaimEnd, error) {
	key, attempt, found := strings.Cut(token, " ")
	if !found {
		return state.ClaimEnd{}, errMalformedToken
	}
	return state.ClaimEnd{Key: key, Attempt: attempt}, nil
}
