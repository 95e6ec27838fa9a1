package jobmemory

// Tally is the memory that a set of jobs takes, in bytes. The zero value is that of no jobs.
type Tally struct {
	Total int64
	// byAccount holds what the jobs of each client account take. Jobs without an account
	// are only part of the total.
	byAccount map[string]int64
}

// Add adds the memory of a job of an account, "" for none. It is negative if the job takes
// less than before.
func (t *Tally) Add(account string, bytes int64) {
	t.Total += bytes
	if account == "" {
		return
	}
	if t.byAccount == nil {
		t.byAccount = map[string]int64{}
	}
	t.byAccount[account] += bytes
	if t.byAccount[account] == 0 {
		delete(t.byAccount, account)
	}
}

// Of returns what the jobs of an account take.
func (t *Tally) Of(account string) int64 { return t.byAccount[account] }
