// Package claim ensures that a non-idempotent request with an idempotency key
// runs at most once, even if it arrives through several entries and zones.
package claim

import (
	"context"
	"net/http"
)

// KeyHeader is the header with the caller's idempotency key.
const KeyHeader = "Idempotency-Key"

// Request is a request to claim an idempotency key before a dispatch.
type Request struct {
	// Service and Caller are the scope of the key.
	Service string
	Caller  string
	// Key is the caller's idempotency key.
	Key string
	// Digest is a hash of the request's method, URI and body. A claim of the
	// same key with another digest is refused.
	Digest [32]byte
	// RequestID is the ID of the request that makes the claim.
	RequestID string
}

// State is the state of an idempotency key as a claim finds it.
type State string

// States of an idempotency key.
const (
	// Granted means that this request, and no other, may be dispatched.
	Granted State = "granted"
	// Finished means that the request has run and its whole answer is recorded.
	Finished State = "finished"
	// InProgress means that another request holds the claim and may still run.
	InProgress State = "in-progress"
	// Unknown means that the request may have run but its answer is lost.
	Unknown State = "unknown"
	// Mismatch means that the key was used with other content.
	Mismatch State = "mismatch"
	// Expired means that the key is older than the retention.
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
	// Token identifies a granted claim for Finish and Release.
	Token string
	// Answer is the recorded answer in state Finished.
	Answer *Answer
	// Reason explains a state other than Granted and Finished.
	Reason string
}

// Claimer makes and ends claims. Its methods are safe for concurrent use.
type Claimer interface {
	// Claim returns once the decision is durable on a majority. After an error
	// the request must not be dispatched.
	Claim(ctx context.Context, r Request) (Decision, error)
	// Finish records the whole answer of a granted claim. A nil answer records
	// that its outcome is unknown.
	Finish(ctx context.Context, token string, answer *Answer) error
	// Release releases a granted claim if no byte was sent to any target.
	Release(ctx context.Context, token string) error
}
