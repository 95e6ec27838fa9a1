package admit

import (
	"errors"
	"slices"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
)

const (
	// memory is how long refused attempts and proposals without a result are remembered.
	// A copy of a call arrives later only if its sender gave up long ago.
	memory = 10 * time.Second
	// maxRemembered limits the number of each.
	maxRemembered = 65_536
)

// gate makes sure that a submission that is refused never takes effect. Its decisions
// exclude each other: a job is either being proposed or refused. The zero value is ready
// for use.
type gate struct {
	mu sync.Mutex
	// proposals holds the proposals in flight by the job's id.
	proposals map[string][]*Proposal
	// refused holds the attempts that were refused, uncertain the ids of jobs whose
	// proposal has ended without a result.
	refused, uncertain recent
}

// Proposal is a submission that is being proposed.
type Proposal struct {
	gate *gate
	id   string
	// claim is the memory of the job, or nil.
	claim *claim
	done  chan struct{}
	// response and err are set when done is closed.
	response workcall.SubmitResponse
	err      error
}

// begin returns a new proposal for a job, or nil if the attempt was refused before. An
// empty attempt is never remembered.
func (g *gate) begin(id, attempt string, now time.Time) *Proposal {
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

// End records the answer to a proposal, which may take effect later if the error does
// not say otherwise.
func (p *Proposal) End(response workcall.SubmitResponse, err error, now time.Time) {
	p.claim.release()
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	if err != nil && !certainlyRefused(err) {
		p.gate.uncertain.add(p.id, now)
	}
	p.gate.remove(p)
	p.response, p.err = response, err
	close(p.done)
}

// certainlyRefused reports whether a proposal with an error never takes effect.
func certainlyRefused(err error) bool {
	var fault *link.Fault
	return errors.As(err, &fault) && (fault.Code == workcall.CodeUnavailable || fault.Code == link.CodeNotLeader)
}

// refused reports whether the proposal, which has ended, has not been accepted.
func (p *Proposal) refused() bool {
	if p.err != nil {
		return certainlyRefused(p.err)
	}
	return p.response.Status != workcall.OK
}

// remove removes a proposal that has ended. The caller holds g.mu.
func (g *gate) remove(p *Proposal) {
	left := slices.DeleteFunc(g.proposals[p.id], func(other *Proposal) bool { return other == p })
	if len(left) == 0 {
		delete(g.proposals, p.id)
		return
	}
	g.proposals[p.id] = left
}

// refuseResult is the result of refuse.
type refuseResult struct {
	// inFlight is the job's proposal whose answer counts, or nil.
	inFlight *Proposal
	// accepted is set if the job is accepted, or may be by a proposal without a result.
	accepted bool
}

// refuse refuses an attempt, unless the job is being proposed or may have been
// accepted. The state must be current; known reports whether it has the job, and is
// called while no proposal begins or ends.
func (g *gate) refuse(id, attempt string, known func() bool, now time.Time) refuseResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	if inFlight := g.proposals[id]; len(inFlight) > 0 {
		return refuseResult{inFlight: inFlight[0]}
	}
	if g.uncertain.has(id, now) || known() {
		return refuseResult{accepted: true}
	}
	if attempt != "" {
		g.refused.add(attempt, now)
	}
	return refuseResult{}
}

// wasRefused reports whether an attempt was refused a moment ago.
func (g *gate) wasRefused(attempt string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return attempt != "" && g.refused.has(attempt, now)
}
