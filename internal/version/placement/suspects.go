package placement

import (
	"cmp"
	"slices"
)

// isolatedShare is the reciprocal of the share of a pool that may be isolated for
// suspects; one worker may always be.
const isolatedShare = 4

// Starting describes the runs of a worker that have not yet been seen to survive
// their start.
type Starting struct {
	Count int
	// Job is the job of the first run. Mixed is set if there are runs of others.
	Job   string
	Mixed bool
	// Suspect is set if one of them is a suspect, so that the worker is isolated.
	Suspect bool
}

// Add adds a run of a job.
func (s *Starting) Add(job string, suspect bool) {
	if s.Count == 0 {
		s.Job = job
	}
	s.Count++
	s.Mixed = s.Mixed || s.Job != job
	s.Suspect = s.Suspect || suspect
}

// onlyOf reports whether no run is of another job.
func (s *Starting) onlyOf(job string) bool {
	return s.Count == 0 || (!s.Mixed && s.Job == job)
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// compareForSuspects orders workers for suspects: those that are isolated for
// their job already, then those that have been up for some time, which avoids
// flapping workers, then those that lose the fewest runs by a crash, then the
// oldest ones.
func compareForSuspects(a, b *Worker) int {
	return cmp.Or(compareTrueFirst(a.Starting.Suspect, b.Starting.Suspect), compareTrueFirst(!a.Flapping, !b.Flapping),
		cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.ID, b.ID))
}

// compareForReservation orders workers by how soon they can take a suspect.
func compareForReservation(a, b *Worker) int {
	return cmp.Or(cmp.Compare(a.Starting.Count, b.Starting.Count), compareForSuspects(a, b))
}

// placeSuspects places the tasks of a suspect group on workers that no other
// group may use in this plan. If no worker can take them, it reserves one.
func (p *pool) placeSuspects(g *Group) []Placement {
	plan := placeOn(g, p.suspectCandidates(g))
	for _, placed := range plan {
		p.isolateFor(g, placed.Worker)
	}
	if len(plan) == 0 {
		p.reserveFor(g)
	}
	return plan
}

// suspectCandidates returns the workers that may take tasks of a suspect group.
func (p *pool) suspectCandidates(g *Group) []*Worker {
	var shared, free []*Worker
	for _, w := range p.isolated {
		if w.Starting.Suspect && w.Starting.onlyOf(g.Job) {
			shared = append(shared, w)
		}
	}
	for _, w := range p.workers {
		if w.Starting.onlyOf(g.Job) && eligible(g, w, nil) {
			free = append(free, w)
		}
	}
	slices.SortFunc(free, compareForSuspects)
	return append(shared, free[:min(len(free), p.isolable(g))]...)
}

// isolable returns how many more workers may be isolated for a group. A gang,
// which starts on all its workers or on none, may take any number if no other
// worker is isolated.
func (p *pool) isolable(g *Group) int {
	size := len(p.workers) + len(p.isolated)
	if g.Gang && len(p.isolated) == 0 {
		return size
	}
	return max(0, max(1, size/isolatedShare)-len(p.isolated))
}

// isolateFor records that a suspect task starts on a worker.
func (p *pool) isolateFor(g *Group, id string) {
	for _, w := range p.isolated {
		if w.ID == id {
			w.Starting.Add(g.Job, true)
			w.Runs++
			return
		}
	}
	for _, w := range p.workers {
		if w.ID == id {
			w.Starting.Add(g.Job, true)
			w.Runs++
			p.isolate(w)
			return
		}
	}
}

// isolate keeps all other groups off a worker.
func (p *pool) isolate(w *Worker) {
	p.isolated = append(p.isolated, w)
	p.workers = slices.DeleteFunc(p.workers, func(other *Worker) bool { return other == w })
}

// reserveFor isolates the workers that can take one task of a suspect group, or
// the whole gang, the soonest.
func (p *pool) reserveFor(g *Group) {
	wanted := 1
	if g.Gang {
		wanted = g.Total
	}
	if len(g.Indexes) < wanted || p.reserved[g.Job] {
		return
	}
	if workers := p.reservable(g, wanted); workers != nil {
		for _, w := range workers {
			p.isolate(w)
		}
		if p.reserved == nil {
			p.reserved = map[string]bool{}
		}
		p.reserved[g.Job] = true
	}
}

// reservable returns the workers whose whole capacity suffices for a number of
// tasks of a group, or nil if there are too few.
func (p *pool) reservable(g *Group, tasks int) []*Worker {
	var suited []*Worker
	for _, w := range p.workers {
		if suitable(g, w, nil) && w.Capacity.Fits(g.Charge) {
			suited = append(suited, w)
		}
	}
	slices.SortFunc(suited, compareForReservation)
	suited = suited[:min(len(suited), p.isolable(g))]
	for i, w := range suited {
		tasks -= p.slots(g, w, tasks)
		if tasks <= 0 {
			return suited[:i+1]
		}
	}
	return nil
}

// slots returns how many tasks of a group the whole capacity of a worker takes,
// up to a limit.
func (p *pool) slots(g *Group, w *Worker, limit int) int {
	free, placed := w.Capacity, map[string]int{}
	for placed[w.ID] < limit && free.Fits(g.Charge) && suitable(g, w, placed) {
		free = free.Sub(g.Charge)
		placed[w.ID]++
	}
	return placed[w.ID]
}
