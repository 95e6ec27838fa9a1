package placement

import (
	"fmt"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/fairshare"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// planBeyondQuota returns the least time of some plans of a full pool in which 2,000 groups of an account wait for its quota.
func planBeyondQuota(workers int, need workload.Resources) time.Duration {
	least := time.Hour
	for range 5 {
		accounts := fairshare.New([]catalog.Account{{Name: "a", Limit: cores(4)}})
		accounts.MayDrain = true
		accounts.Executes("a", cores(4))
		pool := make([]*Worker, workers)
		for i := range pool {
			pool[i] = &Worker{ID: fmt.Sprint(i), Service: "s"}
		}
		groups := make([]*Group, 2000)
		for i := range groups {
			groups[i] = &Group{Job: fmt.Sprint(i), Account: "a", Service: "s", Charge: need, Indexes: []int{0}, Total: 1}
		}
		start := time.Now()
		PlanForAccounts(groups, pool, accounts)
		least = min(least, time.Since(start))
	}
	return least
}

// TestGroupsBeyondAQuotaDoNotScanTheFleet guards against a plan whose cost is the product of the fleet and of the groups that a quota holds back. The larger fleet may cost what placing one group on it costs.
func TestGroupsBeyondAQuotaDoNotScanTheFleet(t *testing.T) {
	for name, need := range map[string]workload.Resources{"small": cores(1), "large": cores(3)} {
		few, many := planBeyondQuota(10, need), planBeyondQuota(2000, need)
		t.Logf("%s tasks: %s with 10 workers, %s with 2,000", name, few, many)
		if many > 4*few {
			t.Errorf("%s tasks: %s with 10 workers, %s with 2,000", name, few, many)
		}
	}
}

func cores(n int64) workload.Resources { return workload.Resources{MilliCPU: n * 1000} }
