package request

import (
	"slices"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// service is what the entry keeps of one service. It outlives tables. The
// scheduler's lock guards all but the atomic fields.
type service struct {
	name string
	// class and queueLimit are those of the newest document.
	class      fleet.Class
	queueLimit int
	home       *pool
	// spare is the pool that takes bursts, nil without the right to spill.
	spare *pool
	queue *fairQueue
	// serviceTime is the moving mean time of a whole answer in seconds;
	// meanNS is the same for readers without the lock.
	serviceTime average
	meanNS      atomic.Int64
	budget      retryBudget
	usage       usage
	metrics     *serviceMetrics
}

func newService(name string) *service {
	return &service{name: name, queue: newFairQueue(), budget: newRetryBudget()}
}

// interactive says that the service's requests go first.
func (s *service) interactive() bool { return s.class != fleet.Batch }

// mean returns the moving mean time of an answer, 0 if none was seen.
func (s *service) mean() time.Duration { return time.Duration(s.meanNS.Load()) }

// answered counts the time of a whole answer.
func (s *service) answered(elapsed time.Duration) {
	s.serviceTime.add(elapsed.Seconds())
	s.meanNS.Store(int64(s.serviceTime.duration()))
}

// waitingChanged counts the home pool's waiters.
func (s *service) waitingChanged(change int) {
	if s.interactive() {
		s.home.interactiveWaiting += change
		return
	}
	s.home.batchWaiting += change
}

// idempotent says whether a request of the method may run more than once.
func idempotent(service *fleet.Service, method string) bool {
	return slices.Contains(service.IdempotentMethods, method)
}
