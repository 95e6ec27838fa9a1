package state

import (
	"slices"
	"sort"

	"arbutusward.example/arbutusward/internal/version/jobplan"
)

// JobCancellation is the body of a CancelJobs command. An empty selector
// matches no job; a team with an empty kind matches jobs of all kinds of the
// team.
type JobCancellation struct {
	IDs  []string `cbor:"1,keyasint,omitempty" json:"ids,omitempty"`
	Team string   `cbor:"2,keyasint,omitempty" json:"team,omitempty"`
	Kind string   `cbor:"3,keyasint,omitempty" json:"kind,omitempty"`
	By   string   `cbor:"4,keyasint" json:"-"`
}

// JobCancellationAnswer is the result body of a CancelJobs command.
type JobCancellationAnswer struct {
	// Cancelled counts the jobs that had not started. Stopping counts the
	// running jobs, which end when their tasks stop.
	Cancelled int `cbor:"1,keyasint" json:"cancelled"`
	Stopping  int `cbor:"2,keyasint" json:"stopping"`
}

func applyCancelJobs(m *Machine, pos position, c JobCancellation) Result {
	s := &m.data.Jobs
	var answer JobCancellationAnswer
	for _, job := range s.selected(c) {
		job.Reason = "cancelled by " + c.By
		if job.Phase == jobplan.Queued {
			s.end(pos, job, jobplan.Cancelled)
			answer.Cancelled++
			continue
		}
		job.Cancelling = true
		job.Order = jobplan.Stop
		job.OrderMS = pos.atMS
		answer.Stopping++
	}
	return okResult(answer)
}

// selected returns the active jobs that a cancellation matches, sorted by ID.
// Its cost is linear in the number of IDs, or in the number of active jobs if
// a team is selected.
func (s *jobState) selected(c JobCancellation) []*Job {
	var found []*Job
	for _, id := range c.IDs {
		if job := s.active[id]; job != nil {
			found = append(found, job)
		}
	}
	if c.Team != "" {
		for _, job := range s.active {
			if job.Spec.Team == c.Team && (c.Kind == "" || job.Spec.Kind == c.Kind) {
				found = append(found, job)
			}
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Spec.ID < found[j].Spec.ID })
	return slices.Compact(found)
}
