package catalog

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrInvalid is returned when a catalog is malformed.
var ErrInvalid = errors.New("the configuration is invalid")

// Catalog is one version of the configuration.
type Catalog struct {
	// Version is set by the operator. A catalog replaces those with a lower
	// version.
	Version  int64     `cbor:"1,keyasint"`
	Queues   []Queue   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	// Source is the document as the operator sent it, which is returned when the
	// configuration is read.
	Source []byte `cbor:"4,keyasint"`
	// Accounts lists the client accounts.
	Accounts []Account `cbor:"5,keyasint,omitempty"`
	// AccessControl is set if a call needs the key of an account, unless its queue is
	// open to anonymous callers. Without it keys are ignored.
	AccessControl bool `cbor:"6,keyasint,omitempty"`
	// Limits bounds the requests of clients.
	Limits Limits `cbor:"7,keyasint"`
}

// Limits bounds the requests of clients. A zero value means that the configuration
// states no limit.
type Limits struct {
	MaxHeaderBytes int64 `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes   int64 `cbor:"2,keyasint,omitempty"`
	// HeaderTimeout bounds the time in which the headers of a request arrive,
	// IdleTimeout the time that a connection is open without a request.
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty"`
}

func (l *Limits) validate() error {
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		return fmt.Errorf("%w: a limit is negative: %+v", ErrInvalid, *l)
	}
	return nil
}

// Queue accepts the jobs whose host and path match.
type Queue struct {
	Name       string `cbor:"1,keyasint"`
	Host       string `cbor:"2,keyasint"`
	PathPrefix string `cbor:"3,keyasint"`
	// Service names the service whose workers run the tasks.
	Service string `cbor:"4,keyasint"`
	// Timeout limits the duration of one client request.
	Timeout time.Duration `cbor:"5,keyasint"`
	// TargetLatency and Stretch define the latency objective of a job: Stretch
	// times the duration of its longest chain of steps, plus TargetLatency.
	TargetLatency time.Duration `cbor:"6,keyasint,omitempty"`
	Stretch       float64       `cbor:"7,keyasint,omitempty"`
	// Priority orders the queues; 0 is the highest priority.
	Priority int `cbor:"8,keyasint,omitempty"`
	// MaxAttempts is the number of failures of one task after which its job
	// fails; 0 means no limit.
	MaxAttempts int `cbor:"9,keyasint,omitempty"`
	// Advice is set if an external adviser decides which workers may run the
	// queue's steps.
	Advice *Advice `cbor:"10,keyasint,omitempty"`
	// Anonymous is set if calls without a key are allowed although the catalog has
	// access control.
	Anonymous bool `cbor:"11,keyasint,omitempty"`
}

// Advice holds the properties of an adviser.
type Advice struct {
	// A call to the adviser takes Decide plus PerWorker for each worker that it
	// asks about.
	Decide    time.Duration `cbor:"1,keyasint,omitempty"`
	PerWorker time.Duration `cbor:"2,keyasint,omitempty"`
	// Validity is how long a ticket is valid.
	Validity time.Duration `cbor:"3,keyasint,omitempty"`
}

// Key identifies the queue across versions.
func (q *Queue) Key() string { return q.Host + q.PathPrefix }

// Service is a pool of workers.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// EnforcesCapacity is set if workers reject tasks that exceed their free
	// capacity.
	EnforcesCapacity bool `cbor:"2,keyasint,omitempty"`
	// Standby marks a pool of powered-off VMs.
	Standby bool `cbor:"3,keyasint,omitempty"`
}

// Validate returns an error that wraps ErrInvalid and names the invalid entry,
// or nil if the catalog is valid.
func (c *Catalog) Validate() error {
	if c.Version < 1 {
		return fmt.Errorf("%w: version %d, expected 1 or more", ErrInvalid, c.Version)
	}
	services := map[string]bool{}
	for i := range c.Services {
		name := c.Services[i].Name
		if name == "" || services[name] {
			return fmt.Errorf("%w: service %q is unnamed or listed twice", ErrInvalid, name)
		}
		services[name] = true
	}
	queueNames := map[string]string{}
	for i := range c.Queues {
		q := &c.Queues[i]
		if err := q.validate(services); err != nil {
			return err
		}
		if other, taken := queueNames[q.Key()]; taken {
			return fmt.Errorf("%w: queues %q and %q share host %q and path prefix %q", ErrInvalid, other, q.Name, q.Host, q.PathPrefix)
		}
		queueNames[q.Key()] = q.Name
	}
	return errors.Join(c.validateAccounts(), c.Limits.validate())
}

func (q *Queue) validate(services map[string]bool) error {
	switch {
	case !services[q.Service]:
		return fmt.Errorf("%w: queue %q names the unknown service %q", ErrInvalid, q.Name, q.Service)
	case q.Host == "" || !strings.HasPrefix(q.PathPrefix, "/"):
		return fmt.Errorf("%w: queue %q has host %q and path prefix %q", ErrInvalid, q.Name, q.Host, q.PathPrefix)
	case q.Timeout <= 0:
		return fmt.Errorf("%w: queue %q has the timeout %s, expected more than 0", ErrInvalid, q.Name, q.Timeout)
	}
	return nil
}

// Match returns the queue of the host with the longest prefix of the path, and
// the rest of the path after that prefix. It returns nil if no queue matches.
func (c *Catalog) Match(host, path string) (queue *Queue, rest string) {
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if queue == nil || len(q.PathPrefix) > len(queue.PathPrefix) {
			queue = q
		}
	}
	if queue == nil {
		return nil, ""
	}
	return queue, path[len(queue.PathPrefix):]
}

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name string) *Service {
	at := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if at < 0 {
		return nil
	}
	return &c.Services[at]
}
