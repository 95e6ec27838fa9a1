package request

import (
	"slices"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// service is the entry's state of one service. It outlives tables. The
// scheduler's lock guards all but the atomic fields.
type service struct {
	name string
	// class and queueLimit are those of the newest document.
	class      fleet.Class
	queueLimit int
	home       *pool
	// spare is the pool that the service may spill onto, or nil.
	spare *pool
	queue *fairQueue
	// serviceTime is the moving average of the service time in seconds, and
	// meanServiceNS the same in nanoseconds for readers without the lock.
	serviceTime   average
	meanServiceNS atomic.Int64
	budget        retryBudget
	usage         usage
	metrics       *serviceMetrics
}

func newService(name string) *service {
	return &service{name: name, queue: newFairQueue(), budget: newRetryBudget()}
}

// interactive reports whether the service's requests have priority over batch.
func (s *service) interactive() bool { return s.class != fleet.Batch }

// meanServiceTime returns the moving average of the service time, or 0 if there
// are no samples.
func (s *service) meanServiceTime() time.Duration { return time.Duration(s.meanServiceNS.Load()) }

// observeServiceTime adds a sample to the moving average of the service time.
func (s *service) observeServiceTime(elapsed time.Duration) {
	s.serviceTime.add(elapsed.Seconds())
	s.meanServiceNS.Store(int64(s.serviceTime.duration()))
}

// addWaiting changes the number of waiters of the home pool.
func (s *service) addWaiting(change int) {
	if s.interactive() {
		s.home.interactiveWaiting += change
		return
	}
	s.home.batchWaiting += change
}

// idempotent reports whether a request of the method may run more than once.
func idempotent(service *fleet.Service, method string) bool {
	return slices.Contains(service.IdempotentMethods, method)
}
