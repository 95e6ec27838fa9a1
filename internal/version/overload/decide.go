package overload

import (
	"time"

	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/spread"
)

const (
	// fullRatio is the share of the room in use from which on waiting tasks are taken to
	// wait for room.
	fullRatio = 0.6
	// lateMargin is the ratio by which the estimated end of a job must exceed its last
	// useful moment before the job is refused, because estimates are poor.
	lateMargin = 1.25
	// minDrainShare is the smallest share of the room that is taken to work off a backlog
	// while owed jobs keep coming.
	minDrainShare = 0.2
	// minRetryAfter is the shortest time for which a caller is sent away. Retry-After
	// counts whole seconds.
	minRetryAfter = time.Second
)

// Job is a submitted job.
type Job struct {
	// ID determines the place of the job's caller among those that are sent away.
	ID       string
	Account  string
	Weight   float64
	Priority int
	// OverRate is set if the job exceeds the rate that its account is owed.
	OverRate bool
	// Exempt is set for jobs that are never refused: long-running and scheduled ones.
	Exempt bool
	// Work is the expected work in dominant core seconds. Chain is the expected duration
	// of the longest chain of steps, Last that of the longest step that no other awaits.
	Work        float64
	Chain, Last time.Duration
	// Objective is the time within which the job should end; 0 if it has none.
	Objective time.Duration
}

// Reason tells why a job is refused.
type Reason string

// Reasons of a refusal.
const (
	// TooLate means that the job would end after its last useful moment.
	TooLate Reason = "too late"
	// OverRate means that the job exceeds its account's rate, and would not be in time
	// behind the jobs that do not.
	OverRate Reason = "over rate"
)

// Verdict is a decision about a job.
type Verdict struct {
	// Refused is "" if the job is accepted.
	Refused Reason
	// Backlog is the work that goes before the job in dominant core seconds, with what
	// executes, and Wait the time that the pool needs for it.
	Backlog float64
	Wait    time.Duration
	// RetryAfter is when a refused job may be submitted again.
	RetryAfter time.Duration
}

// Decide decides about a job. The pool may be nil if nothing is known of it.
func Decide(p *Pool, j *Job) Verdict {
	if p == nil || j.Exempt || j.Objective <= 0 || p.cores() <= 0 || !p.full() {
		return Verdict{}
	}
	if j.OverRate {
		return p.decideOverRate(j)
	}
	verdict := p.verdict(p.ownBacklog(j))
	late := p.end(j, verdict.Wait) - placement.Useful(j.Objective)
	if p.end(j, verdict.Wait) > time.Duration(lateMargin*float64(placement.Useful(j.Objective))) {
		verdict.Refused = TooLate
		verdict.RetryAfter = retryAfter(j, late, placement.Useful(j.Objective)-j.Objective)
	}
	return verdict
}

// decideOverRate decides about a job that goes behind all owed work. It must be in time
// for its objective behind that, and of use behind the work that is over the rate too.
func (p *Pool) decideOverRate(j *Job) Verdict {
	owed, overRate := p.backlogBefore(j)
	verdict := p.verdict(owed)
	late := p.end(j, verdict.Wait) - j.Objective
	// Owed jobs that are yet to come leave a share of the room to the others.
	verdict.Backlog += overRate
	verdict.Wait += time.Duration(float64(p.timeFor(overRate)) / p.drainShare())
	late = max(late, p.end(j, verdict.Wait)-placement.Useful(j.Objective))
	if late > 0 {
		verdict.Refused = OverRate
		verdict.RetryAfter = retryAfter(j, late, j.Objective)
	}
	return verdict
}

// end returns how long after its submission a job is expected to end. The backlog holds
// later steps of jobs that execute, so that the job's first steps run beside it.
func (p *Pool) end(j *Job, wait time.Duration) time.Duration {
	return max(j.Chain, wait+max(j.Last, p.timeFor(j.Work)))
}

// verdict returns the verdict for a job behind a backlog, with what executes.
func (p *Pool) verdict(backlog float64) Verdict {
	return Verdict{Backlog: p.Running + backlog, Wait: p.timeFor(p.Running + backlog)}
}

// backlogBefore returns the work that goes before a job if that is owed, and what goes
// before it besides if it is over the rate.
func (p *Pool) backlogBefore(j *Job) (owed, overRate float64) {
	for _, b := range p.Backlogs {
		switch {
		case b.Priority < j.Priority:
			owed += p.reachable(b.Account, b.Owed+b.OverRate, j)
		case b.Priority == j.Priority:
			reachable := p.reachable(b.Account, b.Owed, j)
			owed += reachable
			overRate += p.reachable(b.Account, b.Owed+b.OverRate, j) - reachable
		}
	}
	return owed, overRate
}

// ownBacklog returns the work that the pool does before it gets to an owed job. It is
// that of all accounts at most; an account with a small backlog has its fair share.
func (p *Pool) ownBacklog(j *Job) float64 {
	all, _ := p.backlogBefore(j)
	own, weights := 0.0, j.Weight
	higher := 0.0
	for _, b := range p.Backlogs {
		switch {
		case b.Priority < j.Priority:
			higher += p.reachable(b.Account, b.Owed+b.OverRate, j)
		case b.Priority > j.Priority || b.Owed == 0:
		case b.Account == j.Account:
			own += b.Owed
		default:
			weights += b.Weight
		}
	}
	if j.Weight <= 0 {
		return all
	}
	return min(all, higher+own*weights/j.Weight)
}

// timeFor returns how long the pool takes for some work.
func (p *Pool) timeFor(work float64) time.Duration {
	return time.Duration(work / p.cores() * float64(time.Second))
}

// retryAfter returns when a job may be submitted again: from when the pool will have
// worked off enough, spread over an interval by the job's id. It is never later than
// the job would be of use.
func retryAfter(j *Job, earliest, interval time.Duration) time.Duration {
	useful := placement.Useful(j.Objective)
	earliest = max(earliest, minRetryAfter)
	if earliest+interval > useful {
		// The callers return over at least the last third of the time.
		earliest = min(earliest, useful-j.Objective)
		interval = useful - earliest
	}
	return max(minRetryAfter, earliest+spread.Within(j.ID, interval))
}
