package batch

import (
	"net/http"
	"time"

	"arbutusward.example/arbutusward/internal/request/claim"
)

// Bounds of batch requests.
const (
	// LeaseTime is the time an entry may run a batch request without
	// renewing its lease.
	LeaseTime = 10 * time.Second
	// Retention is the time for which an ended batch request is kept.
	Retention = 24 * time.Hour
	// MaxAge is the time after which a batch request that never could run
	// ends as failed.
	MaxAge = 24 * time.Hour
	// MaxBodyBytes bounds the body of a batch request, and of its answer.
	MaxBodyBytes = 256 << 10
	// MaxAttempts bounds the attempts at an idempotent batch request that
	// may have begun.
	MaxAttempts = 5
	// MaxCancel bounds the requests cancelled by one call.
	MaxCancel = 10_000
)

// State is the state of a batch request.
type State string

// States of a batch request. Every accepted one ends in one of the last four.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	Unknown   State = "unknown"
)

// Request is what was accepted.
type Request struct {
	ID      string      `cbor:"1,keyasint"`
	Service string      `cbor:"2,keyasint"`
	Method  string      `cbor:"3,keyasint"`
	URI     string      `cbor:"4,keyasint"`
	Header  http.Header `cbor:"5,keyasint"`
	Body    []byte      `cbor:"6,keyasint"`
	Caller  string      `cbor:"7,keyasint"`
	// Idempotent says that it may run more than once.
	Idempotent bool `cbor:"8,keyasint"`
	// Key is the scoped digest of the caller's key, "" if it gave none;
	// Digest identifies the content.
	Key    string `cbor:"9,keyasint,omitempty"`
	Digest []byte `cbor:"10,keyasint,omitempty"`
	// KeyTimeMS is the time that the key bears, 0 if none.
	KeyTimeMS int64 `cbor:"11,keyasint,omitempty"`
}

// Job is a batch request with its progress.
type Job struct {
	Request
	State      State  `cbor:"20,keyasint"`
	Reason     string `cbor:"21,keyasint,omitempty"`
	AcceptedMS int64  `cbor:"22,keyasint"`
	// NotBeforeMS is when it may be leased again.
	NotBeforeMS int64 `cbor:"23,keyasint,omitempty"`
	EndedMS     int64 `cbor:"24,keyasint,omitempty"`
	// Attempts counts the leases.
	Attempts int `cbor:"25,keyasint,omitempty"`
	// Epoch rises with each lease; an end that names another is refused.
	Epoch       uint64        `cbor:"26,keyasint,omitempty"`
	Entry       string        `cbor:"27,keyasint,omitempty"`
	Incarnation string        `cbor:"28,keyasint,omitempty"`
	LeaseEndMS  int64         `cbor:"29,keyasint,omitempty"`
	Cancelling  bool          `cbor:"30,keyasint,omitempty"`
	Answer      *claim.Answer `cbor:"31,keyasint,omitempty"`
	// LostAttempts counts the attempts that may have begun and gave no answer.
	LostAttempts int `cbor:"32,keyasint,omitempty"`
	// DeferredAttempts counts the attempts that sent nothing.
	DeferredAttempts int `cbor:"33,keyasint,omitempty"`
}

// LeaseRef names one lease.
type LeaseRef struct {
	ID    string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Pull renews what an entry holds and asks for more.
type Pull struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	// Held lists the leases whose end is not acknowledged yet.
	Held []LeaseRef `cbor:"3,keyasint,omitempty"`
	// Max is the number of new requests that the entry can take, of
	// Services only: those for which it has live targets.
	Max      int      `cbor:"4,keyasint"`
	Services []string `cbor:"5,keyasint,omitempty"`
}

// HasLease says whether the pull names a lease of the request.
func (p *Pull) HasLease(id string) bool {
	for _, hold := range p.Held {
		if hold.ID == id {
			return true
		}
	}
	return false
}

// Leases answers a pull.
type Leases struct {
	// Jobs are newly leased to the entry.
	Jobs []Job `cbor:"1,keyasint,omitempty"`
	// Lost lists leases that the entry no longer has; Cancelling lists
	// those whose run should be stopped.
	Lost       []string `cbor:"2,keyasint,omitempty"`
	Cancelling []string `cbor:"3,keyasint,omitempty"`
}

// End ends an attempt.
type End struct {
	LeaseRef
	// Ran says that the target answered with Answer, whole; NotRun that
	// nothing was sent. With neither the outcome is unknown.
	Ran    bool          `cbor:"10,keyasint,omitempty"`
	NotRun bool          `cbor:"11,keyasint,omitempty"`
	Answer *claim.Answer `cbor:"12,keyasint,omitempty"`
	Reason string        `cbor:"13,keyasint,omitempty"`
}

// Cancel names batch requests to be cancelled.
type Cancel struct {
	IDs []string `cbor:"1,keyasint"`
}

// States is the state of each batch request that is known, by ID.
type States struct {
	States map[string]State `cbor:"1,keyasint"`
}
