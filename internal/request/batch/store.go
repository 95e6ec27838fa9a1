package batch

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store. After any other error the call may have taken effect.
var (
	// ErrNotFound is returned when no batch request has the ID.
	ErrNotFound = errors.New("no batch request has this ID, or it is past its retention")
	// ErrRefused is returned when the store refused the call without effect.
	ErrRefused = errors.New("refused")
	// ErrConflict is returned when the key belongs to another request, or when
	// the lease of an End is no longer the request's present lease.
	ErrConflict = errors.New("conflict")
)

// Store keeps batch requests on a majority of the control processes.
type Store interface {
	// Accept stores a request and returns its ID once it is durable. If its key
	// was used before, it returns the ID of the earlier request.
	Accept(ctx context.Context, r Request) (string, error)
	// Get returns a batch request.
	Get(ctx context.Context, id string) (Job, error)
	// Cancel cancels batch requests and returns their states.
	Cancel(ctx context.Context, ids []string) (States, error)
	// Pull renews the held leases and asks for at most limit further requests
	// of the services.
	Pull(ctx context.Context, held []LeaseRef, limit int, services []string) (Leases, error)
	// Finish records the end of an attempt.
	Finish(ctx context.Context, end End) error
}

// Service is the configuration of a service for Routes and Runner.
type Service struct {
	IdempotentMethods []string
	Deadline          time.Duration
}

// Lookup returns a service, and whether it is declared in the document in force.
type Lookup func(name string) (Service, bool)
