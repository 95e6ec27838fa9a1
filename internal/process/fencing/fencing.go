// Package fencing numbers the calls that a leader makes to workers, so that a worker
// refuses the late calls of a former leader and those for a former incarnation.
package fencing

// Parts of a fencing token. It travels as a JSON number, of which a receiver may
// keep 53 bits, so that 37 bits are left for the term.
const (
	generationBits = 16
	maxGeneration  = 1<<generationBits - 1
	// maxRaised is the generation from which on Raise leaves the others to Next.
	maxRaised = maxGeneration / 2
)

// Token orders the calls to the workers of one id: by the leader's term, and
// within a term by generation. A worker does nothing for a token lower than one
// that it has seen, so that once a leader has called an incarnation, that accepts
// neither calls of former leaders nor late calls for former incarnations.
type Token uint64

// NewToken returns the token of a term and a generation. Beyond
// maxGeneration the generations share the last token of the term.
func NewToken(term, generation uint64) Token {
	return Token(term<<generationBits | min(generation, maxGeneration))
}

// Generations numbers the incarnations of each worker id that a leader has learned
// of in its term, from 0, and the times that it got no answer from one. The ids are
// kept until the term ends: one that is removed may be registered again.
type Generations map[string]uint64

// Next returns the generation of a newly learned incarnation, which may be one that
// was removed before.
func (g Generations) Next(id string) uint64 {
	generation, known := g[id]
	if known {
		generation++
	}
	g[id] = generation
	return generation
}

// Raise returns the token of the calls that follow one with the given token, which got
// no answer and may arrive after them, at the same incarnation or at the next one.
// Whatever answers a later call then refuses it. The result is the present token if that is
// higher already, or if too few generations are left.
func (g Generations) Raise(id string, present, unanswered Token) Token {
	if unanswered < present || g[id] >= maxRaised {
		return present
	}
	g[id]++
	return present + 1
}
