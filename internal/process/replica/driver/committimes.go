package driver

import "time"

// batchTimes are the times of a batch of proposals of this leader. A time is zero
// until the step is done.
type batchTimes struct {
	// last is the index of the last entry of the batch.
	last uint64
	// submitted is when its first proposal was made.
	submitted, appended time.Time
	// synced is when the log of the leader was synced, acknowledged when the
	// followers had acknowledged that make a majority with the leader.
	synced, acknowledged time.Time
	// late is the lateness of the loop at the append.
	late time.Duration
}

// commitTimes measures the steps of commits.
type commitTimes struct {
	delays *delays
	slow   slowLine
	// pending holds the batches that are not committed, in the order of the log.
	pending []batchTimes
}

func (c *commitTimes) appended(last uint64, submitted, now time.Time, late time.Duration) {
	queued := now.Sub(submitted)
	queueSeconds.Update(queued.Seconds())
	c.delays.record(&c.delays.taken.Queue, queued)
	c.pending = append(c.pending, batchTimes{last: last, submitted: submitted, appended: now, late: late})
}

// synced records that this process has synced its log up to an index.
func (c *commitTimes) synced(index uint64, at time.Time) {
	for i := range c.pending {
		if b := &c.pending[i]; b.last <= index && b.synced.IsZero() {
			b.synced = at
		}
	}
}

// acknowledged records that the followers that a majority needs have synced their
// logs up to an index.
func (c *commitTimes) acknowledged(index uint64, now time.Time) {
	for i := range c.pending {
		b := &c.pending[i]
		if b.last > index || !b.acknowledged.IsZero() {
			continue
		}
		b.acknowledged = now
		took := now.Sub(b.appended)
		followerSeconds.Update(took.Seconds())
		c.delays.record(&c.delays.taken.Followers, took)
	}
}

// committed removes the batches up to the commit index and logs a slow one.
func (c *commitTimes) committed(index uint64, now time.Time, late time.Duration) {
	done := 0
	for done < len(c.pending) && c.pending[done].last <= index {
		b := &c.pending[done]
		if now.Sub(b.submitted) >= slowCommit {
			c.logSlow(b, now, late-b.late)
		}
		done++
	}
	c.pending = append(c.pending[:0], c.pending[done:]...)
}

// clear forgets the batches of a leader that has lost its leadership.
func (c *commitTimes) clear() { c.pending = c.pending[:0] }

func (c *commitTimes) logSlow(b *batchTimes, now time.Time, late time.Duration) {
	if b.synced.IsZero() {
		// The followers made a majority without the leader.
		b.synced = now
	}
	c.slow.warn("commit slow", "commit_ms", now.Sub(b.submitted).Milliseconds(), "held_by", b.heldBy(now, late),
		"queue_ms", b.appended.Sub(b.submitted).Milliseconds(), "sync_ms", b.synced.Sub(b.appended).Milliseconds(),
		"follower_ack_ms", b.acknowledged.Sub(b.appended).Milliseconds(), "late_ms", late.Milliseconds())
}

// heldBy returns the step that took the longest part of a commit.
func (b *batchTimes) heldBy(now time.Time, late time.Duration) string {
	total := now.Sub(b.submitted)
	switch {
	case late >= total/2:
		return "loop"
	case b.appended.Sub(b.submitted) >= total/2:
		return "queue"
	case b.synced.Before(b.acknowledged):
		return "followers"
	default:
		return "sync"
	}
}

// recordCommits records which batches were acknowledged and committed.
func (l *loop) recordCommits() {
	if len(l.commitTimes.pending) == 0 {
		return
	}
	now := time.Now()
	l.commitTimes.acknowledged(l.core.FollowersMatch(), now)
	l.commitTimes.committed(l.core.Commit(), now, l.lateness.upTo(now))
}
