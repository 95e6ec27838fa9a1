package admit

import (
	"slices"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
)

const (
	// memory is how long refused attempts and proposals without a result are remembered.
	// A copy of a call arrives later only if its sender gave up long ago.
	memory = 10 * time.Second
	// maxRemembered limits the number of each.
	maxRemembered = 65_536
)

// Gate makes sure that a submission that is refused never takes effect. Its decisions
// exclude each other: a job is either being proposed or refused. The zero value is ready
// for use.
type Gate struct {
	mu sync.Mutex
	// proposals holds the proposals in flight by the job's id.
	proposals map[string][]*Proposal
	// refused holds the attempts that were refused, uncertain the ids of jobs whose
	// proposal has ended without a result.
	refused, uncertain recent
}

// Proposal is a submission that is being proposed.
type Proposal struct {
	gate *Gate
	id   string
	done chan struct{}
	// response and err are set when done is closed.
	response workcall.SubmitResponse
	err      error
}

// Begin returns a new proposal for a job, or nil if the attempt was refused before. An
// empty attempt is never remembered.
func (g *Gate) Begin(id, attempt string, now time.Time) *Proposal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if attempt != "" && g.refused.has(attempt, now) {
		return nil
	}
	if g.proposals == nil {
		g.proposals = map[string][]*Proposal{}
	}
	p := &Proposal{gate: g, id: id, done: make(chan struct{})}
	g.proposals[id] = append(g.proposals[id], p)
	return p
}

// End records the answer to a proposal. Uncertain is set if the proposal may take effect
// later.
func (p *Proposal) End(response workcall.SubmitResponse, err error, uncertain bool, now time.Time) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	if uncertain {
		p.gate.uncertain.add(p.id, now)
	}
	p.gate.remove(p)
	p.response, p.err = response, err
	close(p.done)
}

// remove removes a proposal that has ended. The caller holds g.mu.
func (g *Gate) remove(p *Proposal) {
	left := slices.DeleteFunc(g.proposals[p.id], func(other *Proposal) bool { return other == p })
	if len(left) == 0 {
		delete(g.proposals, p.id)
		return
	}
	g.proposals[p.id] = left
}

// Done is closed when the proposal has ended.
func (p *Proposal) Done() <-chan struct{} { return p.done }

// Answer returns the answer to a proposal that has ended.
func (p *Proposal) Answer() (workcall.SubmitResponse, error) { return p.response, p.err }

// Refusal is the result of Refuse.
type Refusal struct {
	// InFlight is the job's proposal whose answer counts, or nil.
	InFlight *Proposal
	// Accepted is set if the job is accepted, or may be by a proposal without a result.
	Accepted bool
}

// Refuse refuses an attempt, unless the job is being proposed or may have been
// accepted. The state must be current; known reports whether it has the job, and is
// called while no proposal begins or ends.
func (g *Gate) Refuse(id, attempt string, known func() bool, now time.Time) Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if inFlight := g.proposals[id]; len(inFlight) > 0 {
		return Refusal{InFlight: inFlight[0]}
	}
	if g.uncertain.has(id, now) || known() {
		return Refusal{Accepted: true}
	}
	if attempt != "" {
		g.refused.add(attempt, now)
	}
	return Refusal{}
}

// WasRefused reports whether an attempt was refused a moment ago.
func (g *Gate) WasRefused(attempt string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return attempt != "" && g.refused.has(attempt, now)
}
