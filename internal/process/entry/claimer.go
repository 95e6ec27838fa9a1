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
	// endTimeout bounds the tries to end a claim after its request is over.
	endTimeout = 30 * time.Second
	// maxLateEnds bounds the claims that are being ended in the background.
	maxLateEnds = 256
	// defaultClaimLife is the life of a claim whose request has no deadline.
	defaultClaimLife = time.Minute
)

// errBadToken says that a token was not made by Claim.
var errBadToken = errors.New("malformed claim token")

// Claimer makes claims in the replicated table. It implements claim.Claimer.
type Claimer struct {
	controls    *controls
	entry       string
	incarnation string
	recorder    *timeline.Recorder
	log         *slog.Logger
	// lateEnds holds a place for each claim ended in the background.
	lateEnds chan struct{}
}

func newClaimer(c *controls, entry, incarnation string, recorder *timeline.Recorder, log *slog.Logger) *Claimer {
	return &Claimer{controls: c, entry: entry, incarnation: incarnation, recorder: recorder, log: log, lateEnds: make(chan struct{}, maxLateEnds)}
}

// Claim claims the key for a new attempt. A claim whose answer is lost for
// good is released, since its attempt is never made.
func (c *Claimer) Claim(ctx context.Context, r claim.Request) (claim.Decision, error) {
	if len(r.Key) > claim.MaxKeyBytes {
		return claim.Decision{State: claim.Mismatch, Reason: "the key is too long"}, nil
	}
	command := state.ClaimCommand{
		Key: claim.ScopedKey(r), KeyTimeMS: claim.KeyTimeMS(r.Key), Digest: r.Digest[:],
		Entry: c.entry, Incarnation: c.incarnation, Attempt: rand.Text(), TimeoutMS: life(ctx).Milliseconds(),
	}
	end := state.ClaimEnd{Key: command.Key, Attempt: command.Attempt}
	answer, err := callLeader[state.ClaimCommand, state.ClaimAnswer](ctx, c.controls, message.ClaimKind, command)
	countClaim(answer.State)
	if err != nil {
		c.endLater(message.ReleaseClaimKind, end)
		return claim.Decision{}, err
	}
	decision := claim.Decision{State: answer.State, Answer: answer.Answer, Reason: answer.Reason}
	if answer.State == claim.Granted {
		decision.Token = end.Key + " " + end.Attempt
		c.recorder.Record(timeline.Event{Kind: timeline.ClaimGranted, Request: r.RequestID, Service: r.Service})
	}
	return decision, nil
}

// life returns how long the request may take.
func life(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return defaultClaimLife
}

// Finish records the answer of a granted claim, in the background if that
// does not succeed within the context.
func (c *Claimer) Finish(ctx context.Context, token string, answer *claim.Answer) error {
	end, err := parseToken(token)
	if err != nil {
		return err
	}
	end.Answer, end.Reason = bounded(answer)
	return c.end(ctx, message.FinishClaimKind, end)
}

// bounded replaces an answer that is too large to be recorded by a reason.
func bounded(answer *claim.Answer) (*claim.Answer, string) {
	switch {
	case answer == nil:
		return nil, "the request may have run, its answer is lost"
	case answer.Size() > claim.MaxAnswerBytes:
		return nil, "the request ran, its answer is too large to be recorded"
	}
	return answer, ""
}

// Release gives a granted claim back.
func (c *Claimer) Release(ctx context.Context, token string) error {
	end, err := parseToken(token)
	if err != nil {
		return err
	}
	return c.end(ctx, message.ReleaseClaimKind, end)
}

func (c *Claimer) end(ctx context.Context, kind link.Kind, end state.ClaimEnd) error {
	_, err := callLeader[state.ClaimEnd, message.Done](ctx, c.controls, kind, end)
	if err != nil && !refused(err) {
		c.endLater(kind, end)
	}
	return err
}

// endLater goes on trying to end a claim after its request is over. If it
// cannot, the claim becomes unknown by itself.
func (c *Claimer) endLater(kind link.Kind, end state.ClaimEnd) {
	select {
	case c.lateEnds <- struct{}{}:
	default:
		c.log.Warn("too many claims to be ended, one is left to become unknown")
		return
	}
	go func() {
		defer func() { <-c.lateEnds }()
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		if _, err := callLeader[state.ClaimEnd, message.Done](ctx, c.controls, kind, end); err != nil {
			c.log.Warn("claim was not ended", logging.Err(err))
		}
	}()
}

func parseToken(token string) (state.ClaimEnd, error) {
	key, attempt, found := strings.Cut(token, " ")
	if !found {
		return state.ClaimEnd{}, errBadToken
	}
	return state.ClaimEnd{Key: key, Attempt: attempt}, nil
}
