package explain

import (
	"arbutusward.example/arbutusward/internal/process/scheduler/admit"
	"arbutusward.example/arbutusward/internal/version/jobmemory"
	"arbutusward.example/arbutusward/internal/version/overload"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// admission tells what a submission would be answered, or nil if no job was given.
func (s *Snapshot) admission() *Admission {
	if s.Known != nil {
		return &Admission{Outcome: AcceptedAgain, LoadAgeMS: noLoad}
	}
	if s.Spec == nil {
		return nil
	}
	a := &Admission{Outcome: Accepted, LoadAgeMS: noLoad}
	if s.Malformed {
		return &Admission{Outcome: Refused, Reason: workload.InvalidJobID, LoadAgeMS: noLoad}
	}
	if s.IDInUse {
		return &Admission{Outcome: Refused, Reason: "a job at another location has the id", LoadAgeMS: noLoad}
	}
	if s.Memory.Refused != "" {
		return s.memoryRefusal()
	}
	if s.Spec.Repeat > 0 && s.Candidate(s.At.UnixMilli()) == nil {
		a.Outcome = Scheduled
	}
	if s.Load == nil || s.Load.Pools[s.Queue.Service] == nil {
		return a
	}
	pool := s.Load.Pools[s.Queue.Service]
	job := overload.Job{ID: s.ID, Account: s.AccountName(), Weight: s.Account.ShareWeight(), Priority: s.Queue.Priority, OverRate: s.OverRate}
	job.Assess(s.Spec, s.Queue, s.Load.Durations[s.Queue.Key()], pool.Room)
	verdict := overload.Decide(pool, &job)
	if verdict.Refused != "" {
		a.Outcome, a.Reason, a.RetryAfterMS = Refused, string(verdict.Refused), verdict.RetryAfter.Milliseconds()
	}
	a.BacklogCoreS, a.WaitMS, a.ObjectiveMS = verdict.Backlog, verdict.Wait.Milliseconds(), job.Objective.Milliseconds()
	a.LoadAgeMS = s.At.Sub(s.Load.At).Milliseconds()
	return a
}

// memoryRefusal tells that there is no memory for the job.
func (s *Snapshot) memoryRefusal() *Admission {
	a := &Admission{Outcome: Refused, Reason: string(s.Memory.Refused), LoadAgeMS: noLoad}
	if s.Memory.Refused != jobmemory.TooLarge {
		a.RetryAfterMS = admit.MemoryRetryAfter(s.ID).Milliseconds()
	}
	return a
}
