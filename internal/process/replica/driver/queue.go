package driver

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/replica/core"
)

// proposalQueue returns the queue of proposals. It returns nil, so that the loop
// accepts no further ones, while too many bytes wait for a majority or the last
// batch is younger than Options.ProposeInterval.
func (l *loop) proposalQueue() <-chan *proposal {
	if l.pendingBytes > maxPendingBytes {
		return nil
	}
	if wait := l.options.ProposeInterval - time.Since(l.proposedAt); wait > 0 {
		l.proposeDue.Reset(wait)
		return nil
	}
	return l.proposals
}

// propose appends the command and the commands queued behind it to the log.
func (l *loop) propose(first *proposal) {
	batch := l.collect(first)
	l.proposedAt = time.Now()
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.command
	}
	index, err := l.core.Propose(commands...)
	if err != nil {
		for _, p := range batch {
			p.done <- outcome{err: l.notLeader()}
		}
		return
	}
	for i, p := range batch {
		p.term = l.core.Term()
		l.pendingProposals[index+uint64(i)] = p
		l.pendingBytes += len(p.command)
	}
	l.commitTimes.appended(index+uint64(len(batch))-1, first.submitted, l.proposedAt, l.lateness.upTo(l.proposedAt))
	batchCount.Inc()
}

// collect returns the proposal and the ones queued behind it, up to
// maxBatchBytes.
func (l *loop) collect(first *proposal) []*proposal {
	batch := []*proposal{first}
	size := len(first.command)
	for size < maxBatchBytes {
		select {
		case p := <-l.proposals:
			batch = append(batch, p)
			size += len(p.command)
		default:
			return batch
		}
	}
	return batch
}

// change starts a membership change.
func (l *loop) change(c *change) {
	var index uint64
	var err error
	if c.add != nil {
		index, err = l.core.AddLearner(*c.add)
	} else {
		index, err = l.core.RemoveMember(c.remove)
	}
	if l.core.Role() != core.Leader {
		err = l.notLeader()
	}
	if err != nil {
		c.done <- outcome{err: err}
		return
	}
	c.term = l.core.Term()
	l.pendingChanges[index] = c
}

// notLeader returns an error that names the leader, if one is known.
func (l *loop) notLeader() error {
	leader := l.core.Leader()
	for _, m := range l.core.Members() {
		if m.ID == leader && leader != l.options.Self.ID {
			return &replica.NotLeaderError{ID: m.ID, Link: m.Link, Admin: m.Admin}
		}
	}
	return &replica.NotLeaderError{}
}
