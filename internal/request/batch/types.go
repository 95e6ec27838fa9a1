package batch

import (
	"net/http"
	"time"

	"arbutusward.example/arbutusward/internal/request/claim"
)

// Limits of batch requests.
const (
	// LeaseTime is how long an entry may run a batch request without renewing
	// its lease.
	LeaseTime = 10 * time.Second
	// Retention is the time for which an ended batch request is kept.
	Retention = 24 * time.Hour
	// MaxAge is the age at which a batch request that could not be run ends as
	// failed.
	MaxAge = 24 * time.Hour
	// MaxBodyBytes bounds the body of a batch request and the size of its answer.
	MaxBodyBytes = 256 << 10
	// MaxAttempts bounds the attempts of an idempotent batch request that may
	// have started and gave no answer.
	MaxAttempts = 5
	// MaxCancel bounds the number of requests cancelled by one call.
	MaxCancel = 10_000
)

// State is the state of a batch request.
type State string

// States of a batch request. Every accepted request ends in one of the last four.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	Unknown   State = "unknown"
)

// Request is a batch request as it was accepted.
type Request struct {
	ID      string      `cbor:"1,keyasint"`
	Service string      `cbor:"2,keyasint"`
	Method  string      `cbor:"3,keyasint"`
	URI     string      `cbor:"4,keyasint"`
	Header  http.Header `cbor:"5,keyasint"`
	Body    []byte      `cbor:"6,keyasint"`
	Caller  string      `cbor:"7,keyasint"`
	// Idempotent means that the request may run more than once.
	Idempotent bool `cbor:"8,keyasint"`
	// Key is the claim.ScopedKey of the caller's idempotency key, or "" without
	// one, and Digest a hash of the request's content.
	Key    string `cbor:"9,keyasint,omitempty"`
	Digest []byte `cbor:"10,keyasint,omitempty"`
	// KeyTimeMS is the claim.KeyTimeMS of the idempotency key.
	KeyTimeMS int64 `cbor:"11,keyasint,omitempty"`
}

// Job is a batch request with its progress.
type Job struct {
	Request
	State      State  `cbor:"20,keyasint"`
	Reason     string `cbor:"21,keyasint,omitempty"`
	AcceptedMS int64  `cbor:"22,keyasint"`
	// NotBeforeMS is the earliest time at which the request may be leased again.
	NotBeforeMS int64 `cbor:"23,keyasint,omitempty"`
	EndedMS     int64 `cbor:"24,keyasint,omitempty"`
	// Attempts counts the leases.
	Attempts int `cbor:"25,keyasint,omitempty"`
	// Epoch increases with each lease. An End with another epoch is refused.
	Epoch       uint64        `cbor:"26,keyasint,omitempty"`
	Entry       string        `cbor:"27,keyasint,omitempty"`
	Incarnation string        `cbor:"28,keyasint,omitempty"`
	LeaseEndMS  int64         `cbor:"29,keyasint,omitempty"`
	Cancelling  bool          `cbor:"30,keyasint,omitempty"`
	Answer      *claim.Answer `cbor:"31,keyasint,omitempty"`
	// LostAttempts counts the attempts that may have started and gave no answer.
	LostAttempts int `cbor:"32,keyasint,omitempty"`
	// DeferredAttempts counts the attempts that sent nothing to a target.
	DeferredAttempts int `cbor:"33,keyasint,omitempty"`
}

// LeaseRef identifies the lease of a batch request.
type LeaseRef struct {
	ID    string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Pull renews the leases of an entry and asks for further requests.
type Pull struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Held lists the leases whose End has not been acknowledged.
	Held []LeaseRef `cbor:"3,keyasint,omitempty"`
	// Max is the number of further requests that the entry can run. They must
	// be for Services, for which the entry has live targets.
	Max      int      `cbor:"4,keyasint"`
	Services []string `cbor:"5,keyasint,omitempty"`
}

// HasLease reports whether the pull renews a lease of the request.
func (p *Pull) HasLease(id string) bool {
	for _, lease := range p.Held {
		if lease.ID == id {
			return true
		}
	}
	return false
}

// Leases answers a pull.
type Leases struct {
	// Jobs are the requests newly leased to the entry.
	Jobs []Job `cbor:"1,keyasint,omitempty"`
	// Lost lists the IDs of requests whose lease the entry no longer has, and
	// Cancelling those of requests that the entry is to cancel.
	Lost       []string `cbor:"2,keyasint,omitempty"`
	Cancelling []string `cbor:"3,keyasint,omitempty"`
}

// End is the end of an attempt.
type End struct {
	LeaseRef
	// Ran means that the target ran the request and its whole answer arrived.
	// NotRun means that nothing was sent. If neither is set, the outcome is
	// unknown.
	Ran    bool          `cbor:"10,keyasint,omitempty"`
	NotRun bool          `cbor:"11,keyasint,omitempty"`
	Answer *claim.Answer `cbor:"12,keyasint,omitempty"`
	Reason string        `cbor:"13,keyasint,omitempty"`
}

// Cancel cancels batch requests.
type Cancel struct {
	IDs []string `cbor:"1,keyasint"`
}

// States contains the state of each known batch request, by ID.
type States struct {
	States map[string]State `cbor:"1,keyasint"`
}
