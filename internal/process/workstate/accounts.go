package workstate

import "arbutusward.example/arbutusward/internal/version/workload"

// accountUse holds what each client account has executing. It is derived from the tasks.
type accountUse map[string]workload.Resources

// add counts a run that was recorded. Jobs without an account are not counted.
func (u accountUse) add(account string, need workload.Resources) {
	if account != "" {
		u[account] = u[account].Add(need)
	}
}

// remove counts a run that has ended.
func (u accountUse) remove(account string, need workload.Resources) {
	if account == "" {
		return
	}
	left := u[account].Sub(need)
	if left == (workload.Resources{}) {
		delete(u, account)
		return
	}
	u[account] = left
}

// AccountUse returns what each client account has executing: the needs of all its tasks
// with a recorded run that has not ended, by the account's name.
func (v *View) AccountUse() map[string]workload.Resources { return v.m.accountUse }
