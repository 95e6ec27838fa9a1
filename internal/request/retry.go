package request

// Limits of retries.
const (
	// retryShare is the fraction of a retry that each success adds to the budget.
	retryShare = 0.1
	// maxRetryCredit bounds the number of retries in the budget.
	maxRetryCredit = 10
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 3
	// maxUnsentAttempts bounds the attempts of one request that sent no byte.
	maxUnsentAttempts = 4
)

// retryBudget limits retries to a fraction of the successes, so that retries do
// not add load to a failing service. The scheduler's lock guards it.
type retryBudget struct{ credit float64 }

func newRetryBudget() retryBudget { return retryBudget{credit: maxRetryCredit} }

// earn adds the credit of one success.
func (b *retryBudget) earn() { b.credit = min(maxRetryCredit, b.credit+retryShare) }

// spend takes one retry from the budget. It returns false if the budget is
// exhausted.
func (b *retryBudget) spend() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// spendRetry takes one retry from the budget of the service.
func (s *scheduler) spendRetry(svc *service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return svc.budget.spend()
}
