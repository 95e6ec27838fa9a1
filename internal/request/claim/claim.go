// Package claim makes a keyed non-idempotent request run at most once,
// through whichever entry and zone it comes.
package claim

import (
	"context"
	"net/http"
)

// KeyHeader is the header in which a caller names its request.
const KeyHeader = "Idempotency-Key"

// Request is what is claimed before a dispatch.
type Request struct {
	// Service and Caller scope the key.
	Service string
	Caller  string
	// Key is the caller's idempotency key.
	Key string
	// Digest identifies the request's method, URI and body; the same key
	// with another digest is refused.
	Digest [32]byte
	// RequestID is the request that claims.
	RequestID string
}

// State is what a claim found.
type State string

// States of a claim.
const (
	// Granted says that this request, and no other, may dispatch.
	Granted State = "granted"
	// Finished says that a whole answer is recorded.
	Finished State = "finished"
	// InProgress says that another request holds the claim and may still run.
	InProgress State = "in-progress"
	// Unknown says that a run may have happened and its answer is lost.
	Unknown State = "unknown"
	// Mismatch says that the key was used with other content.
	Mismatch State = "mismatch"
	// Expired says that the key is older than the retention.
	Expired State = "expired"
)

// Answer is a recorded answer.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// Decision is the answer to a claim.
type Decision struct {
	State State
	// Token names a granted claim for Finish and Release.
	Token string
	// Answer is set with Finished.
	Answer *Answer
	// Reason explains a state other than Granted and Finished.
	Reason string
}

// Claimer makes and ends claims. Its methods are safe for concurrent use.
type Claimer interface {
	// Claim returns once the decision is durable on a majority. An error
	// means that nothing may be dispatched.
	Claim(ctx context.Context, r Request) (Decision, error)
	// Finish records the whole answer of a granted claim, or, with nil,
	// that its outcome is unknown.
	Finish(ctx context.Context, token string, answer *Answer) error
	// Release gives a granted claim back: no byte went to any target.
	Release(ctx context.Context, token string) error
}
