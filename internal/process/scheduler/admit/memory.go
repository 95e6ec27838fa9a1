package admit

import (
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/jobmemory"
	"arbutusward.example/arbutusward/internal/version/spread"
	"arbutusward.example/arbutusward/internal/version/workload"
)

const (
	// memberAge is the time after which the memory of a member that has not been heard
	// again no longer counts: several requests to join, of which each sends one a second.
	memberAge = 10 * time.Second
	// minMemoryRetryAfter is the shortest Retry-After of a job for which there is no memory.
	minMemoryRetryAfter = 3 * time.Second
	// memoryRetryPeriod is the time over which the callers that were refused return.
	memoryRetryPeriod = 4 * time.Second
)

// MemoryRetryAfter returns the Retry-After of a job for which there is no memory now.
func MemoryRetryAfter(id string) time.Duration {
	return minMemoryRetryAfter + spread.Within(id, memoryRetryPeriod)
}

// Refusals for lack of memory, by reason.
var refusedForMemory = map[jobmemory.Reason]*metrics.Counter{
	jobmemory.TooLarge:   metrics.NewCounter(`arbutus_submissions_refused_total{reason="too_large"}`),
	jobmemory.Full:       metrics.NewCounter(`arbutus_submissions_refused_total{reason="no_memory"}`),
	jobmemory.AboveShare: metrics.NewCounter(`arbutus_submissions_refused_total{reason="memory_share"}`),
}

// Memory limits the memory that the jobs of the state take to what the smallest control
// process has for them. The zero value has no limit.
type Memory struct {
	mu sync.Mutex
	// own is what this process has for jobs, in bytes; 0 means no limit.
	own int64
	// members holds what the other control processes have, by member id.
	members map[string]memberMemory
	// claimed holds what the jobs that are being proposed take.
	claimed jobmemory.Tally
}

type memberMemory struct {
	bytes   int64
	heardAt time.Time
}

// SetOwn sets what this process has for jobs, in bytes. It is called before the first job.
func (m *Memory) SetOwn(bytes int64) { m.own = bytes }

// SetMember records what another control process has for jobs, in bytes. One of a version
// before tells 0, which is ignored.
func (m *Memory) SetMember(id string, bytes int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if bytes <= 0 {
		return
	}
	if m.members == nil {
		m.members = map[string]memberMemory{}
	}
	m.members[id] = memberMemory{bytes: bytes, heardAt: now}
}

// limit returns what the smallest control process has. The caller holds m.mu.
func (m *Memory) limit(now time.Time) int64 {
	smallest := m.own
	for id, member := range m.members {
		if now.Sub(member.heardAt) > memberAge {
			delete(m.members, id)
			continue
		}
		smallest = min(smallest, member.bytes)
	}
	return smallest
}

// claim is the memory of a job that is being proposed. It counts beside that of the jobs in
// the state until it is released.
type claim struct {
	memory  *Memory
	account string
	bytes   int64
}

// claim claims the memory of a job, or returns why it is refused.
func (m *Memory) claim(machine *workstate.Machine, s *Submission, now time.Time) (claimed *claim, verdict jobmemory.Verdict) {
	machine.Read(func(v *workstate.View) {
		m.mu.Lock()
		defer m.mu.Unlock()
		verdict = m.decide(v, &s.Spec, s.Account, now)
		if verdict.Refused == "" && verdict.Limit > 0 {
			m.claimed.Add(s.Account, verdict.Need)
			claimed = &claim{memory: m, account: s.Account, bytes: verdict.Need}
		}
	})
	return claimed, verdict
}

// Decide decides about a job of an account, or of none, without a claim.
func (m *Memory) Decide(v *workstate.View, spec *workload.Spec, account string, now time.Time) jobmemory.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.decide(v, spec, account, now)
}

// decide is Decide while the caller holds m.mu. The lock of the state is taken before m.mu,
// never after it.
func (m *Memory) decide(v *workstate.View, spec *workload.Spec, account string, now time.Time) jobmemory.Verdict {
	limit := m.limit(now)
	if limit <= 0 {
		return jobmemory.Verdict{}
	}
	use := jobmemory.Use{Limit: limit, Need: workstate.Footprint(spec), Taken: v.JobMemory() + m.claimed.Total}
	if account != "" {
		use.OfAccount = v.AccountMemory(account) + m.claimed.Of(account)
		use.Share = shareOf(v.Catalog(), account)
	}
	return jobmemory.Decide(&use)
}

// release gives the memory back. It has no effect on nil.
func (c *claim) release() {
	if c == nil {
		return
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	c.memory.claimed.Add(c.account, -c.bytes)
}

// shareOf returns the part of an account in the weights of all accounts.
func shareOf(c *catalog.Catalog, account string) float64 {
	sum := 0.0
	for i := range c.Accounts {
		sum += c.Accounts[i].Weight
	}
	if a := c.Account(account); a != nil && sum > 0 {
		return a.Weight / sum
	}
	return 0
}

// memoryRejection returns the answer to a job for which there is no memory.
func memoryRejection(verdict jobmemory.Verdict, s *Submission) *rejection {
	response := refusal(string(verdict.Refused), MemoryRetryAfter(s.ID))
	if verdict.Refused == jobmemory.TooLarge {
		response = workcall.SubmitResponse{Status: workcall.Invalid, Reason: string(verdict.Refused)}
	}
	record := func(log *slog.Logger) {
		refusedForMemory[verdict.Refused].Inc()
		log.Info("job refused", "job", s.ID, "path", s.Path, "account", s.Account, "reason", verdict.Refused,
			"need_bytes", verdict.Need, "taken_bytes", verdict.Taken, "limit_bytes", verdict.Limit,
			"account_bytes", verdict.OfAccount, "share", verdict.Share, "retry_after_ms", response.RetryAfterMS)
	}
	return &rejection{response: response, record: record}
}
