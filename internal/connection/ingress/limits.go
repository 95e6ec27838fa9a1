package ingress

import (
	"runtime"
	"time"
)

// Limits are the limits of a single request. A zero field has its default.
type Limits struct {
	// MaxHeaderBytes limits the request line and the header fields.
	MaxHeaderBytes int `cbor:"1,keyasint,omitempty"`
	// MaxBodyBytes limits the body of a submission.
	MaxBodyBytes int64 `cbor:"2,keyasint,omitempty"`
	// HeaderTimeout bounds the time from the first byte of a head to its end.
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration `cbor:"4,keyasint,omitempty"`
}

// Limits that apply until a configuration sets others.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxBodyBytes   = 1 << 20
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	// largestHeaderBytes is the largest limit of a head that can be set.
	largestHeaderBytes = 1 << 20
)

// withDefaults returns the limits with defaults in place of zeros.
func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultMaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	l.MaxHeaderBytes = min(l.MaxHeaderBytes, largestHeaderBytes)
	return l
}

// Grant is what the platform grants the process.
type Grant struct {
	// MemoryMB is the memory in MiB; 0 is unknown.
	MemoryMB int
	// Descriptors is the number of descriptors; 0 is unknown.
	Descriptors int
}

// Shares of a grant. The soft limit of the Go heap is 65% of the memory, so
// connections and requests together leave it a third for everything else.
const (
	fallbackMemoryMB = 256
	// fileDescriptors is the part of the granted descriptors that is reserved
	// for files.
	fileDescriptors = 200
	// descriptorShare leaves as many descriptors to the connections that the
	// process opens itself.
	descriptorShare = 2
	minConnections  = 16
	// connectionBytes is the memory of a connection without a request: two
	// buffers of 4 KiB, the stack, and the server's structures.
	connectionBytes  = 24 << 10
	connectionsShare = 4
	requestsShare    = 5
	// reserveShare is the part of the budget of requests by which small requests
	// may exceed it while all others are being served.
	reserveShare = 4
	maxDecoders  = 4
)

// budget is what the process may spend on all connections together.
type budget struct {
	connections int
	// requestBytes limits the memory of all heads and bodies, reserveBytes what
	// small requests may use beyond it.
	requestBytes, reserveBytes int64
	decoders                   int
}

// newBudget returns the budget of a process with a grant.
func newBudget(g Grant) budget {
	if g.MemoryMB <= 0 {
		g.MemoryMB = fallbackMemoryMB
	}
	memory := int64(g.MemoryMB) << 20
	connections := int(memory / connectionsShare / connectionBytes)
	if g.Descriptors > 0 {
		connections = min(connections, (g.Descriptors-fileDescriptors)/descriptorShare)
	}
	requests := memory / requestsShare
	return budget{
		connections:  max(connections, minConnections),
		requestBytes: requests, reserveBytes: requests / reserveShare,
		decoders: min(runtime.GOMAXPROCS(0), maxDecoders),
	}
}
