package catalog

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrInvalid says that a catalog can't come into force.
var ErrInvalid = errors.New("the configuration is invalid")

// Catalog is one version of the configuration.
type Catalog struct {
	// Version is the operator's number; higher ones replace lower ones.
	Version  int64     `cbor:"1,keyasint"`
	Queues   []Queue   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	// Source is the document as the operator sent it, to be read back.
	Source []byte `cbor:"4,keyasint"`
}

// Queue takes the jobs whose host and path match.
type Queue struct {
	Name       string `cbor:"1,keyasint"`
	Host       string `cbor:"2,keyasint"`
	PathPrefix string `cbor:"3,keyasint"`
	// Service names the workers that run the tasks.
	Service string `cbor:"4,keyasint"`
	// Timeout bounds one client request.
	Timeout time.Duration `cbor:"5,keyasint"`
	// TargetLatency and Stretch give a job's objective: Stretch times its
	// longest chain of work, and TargetLatency more.
	TargetLatency time.Duration `cbor:"6,keyasint,omitempty"`
	Stretch       float64       `cbor:"7,keyasint,omitempty"`
	// Priority 0 comes first.
	Priority int `cbor:"8,keyasint,omitempty"`
	// MaxAttempts is the number of failures of a task that fail its job.
	MaxAttempts int `cbor:"9,keyasint,omitempty"`
	// Advice is set if only an outside adviser knows which workers may run
	// the queue's steps.
	Advice *Advice `cbor:"10,keyasint,omitempty"`
}

// Advice tells what an adviser takes and gives.
type Advice struct {
	// Decide and PerWorker are how long a call takes, and more for each
	// worker that it asks about.
	Decide    time.Duration `cbor:"1,keyasint,omitempty"`
	PerWorker time.Duration `cbor:"2,keyasint,omitempty"`
	// Validity is how long a ticket lasts.
	Validity time.Duration `cbor:"3,keyasint,omitempty"`
}

// Key identifies the queue across versions.
func (q *Queue) Key() string { return q.Host + q.PathPrefix }

// Service is a pool of workers.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// EnforcesCapacity says that workers reject what does not fit.
	EnforcesCapacity bool `cbor:"2,keyasint,omitempty"`
	// Standby pools hold VMs that are switched off.
	Standby bool `cbor:"3,keyasint,omitempty"`
}

// Validate returns an error that wraps ErrInvalid and names the entry at
// fault.
func (c *Catalog) Validate() error {
	if c.Version < 1 {
		return fmt.Errorf("%w: version %d, expected 1 or more", ErrInvalid, c.Version)
	}
	services := map[string]bool{}
	for i := range c.Services {
		name := c.Services[i].Name
		if name == "" || services[name] {
			return fmt.Errorf("%w: service %q is unnamed or stands twice", ErrInvalid, name)
		}
		services[name] = true
	}
	places := map[string]string{}
	for i := range c.Queues {
		q := &c.Queues[i]
		if err := q.validate(services); err != nil {
			return err
		}
		if other, taken := places[q.Key()]; taken {
			return fmt.Errorf("%w: queues %q and %q share host %q and path prefix %q", ErrInvalid, other, q.Name, q.Host, q.PathPrefix)
		}
		places[q.Key()] = q.Name
	}
	return nil
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

// Match returns the queue with the longest path prefix that the path begins
// with, and what follows the prefix.
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

// Service returns the service with a name, or nil.
func (c *Catalog) Service(name string) *Service {
	at := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if at < 0 {
		return nil
	}
	return &c.Services[at]
}
