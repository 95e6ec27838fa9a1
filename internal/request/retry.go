package request

// Rules of retries.
const (
	// retryShare is the part of a retry that each success earns.
	retryShare = 0.1
	// maxRetryCredit bounds the retries saved up.
	maxRetryCredit = 10
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// maxUnsentAttempts bounds attempts of which no byte left.
	maxUnsentAttempts = 4
)

// retryBudget bounds retries to a share of the successes, so that a
// failing service is not loaded further. The scheduler's lock guards it.
type retryBudget struct{ credit float64 }

func newRetryBudget() retryBudget { return retryBudget{credit: maxRetryCredit} }

// earn counts a success.
func (b *retryBudget) earn() { b.credit = min(maxRetryCredit, b.credit+retryShare) }

// spend pays for a retry; false if there is no credit.
func (b *retryBudget) spend() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// mayRetry pays for a retry of the service.
func (s *scheduler) mayRetry(svc *service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return svc.budget.spend()
}
