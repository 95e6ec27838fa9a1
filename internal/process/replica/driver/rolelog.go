package driver

import (
	"arbutusward.example/arbutusward/internal/process/replica/core"
)

// belief is what a process believes about the leadership of the group.
type belief struct {
	role   core.Role
	term   uint64
	leader string
}

// logBelief logs a change of role, term or leader, with the position of the log
// on which votes depend.
func (l *loop) logBelief() {
	now := belief{role: l.core.Role(), term: l.core.Term(), leader: l.core.Leader()}
	if now == l.logged {
		return
	}
	last := l.core.Last()
	l.options.Log.Info("replica role changed",
		"from", l.logged.role.String(), "to", now.role.String(), "former_term", l.logged.term, "term", now.term, "leader", now.leader,
		"last_index", last.Index, "last_term", last.Term, "commit", l.core.Commit())
	l.logged = now
}
