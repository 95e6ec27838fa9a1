package core

// Ready lists the work that the caller has to do, in the order of its
// fields.
type Ready struct {
	// State, Install and Entries must be written to the disk in this order.
	State *HardState
	// Install is a received snapshot that replaces the log and the state.
	Install *SnapshotMeta
	// Entries must be appended to the log. The first one may replace an
	// earlier entry of the same index and all entries after it.
	Entries []Entry
	// Messages may be sent at once.
	Messages []Message
	// AfterSync must not be sent before the state, snapshot and entries of
	// this Ready and of all earlier ones are synced. Messages addressed to
	// this process itself must be passed to Step.
	AfterSync []Message
	// Committed entries must be applied in order.
	Committed []Entry
	// Reads are confirmed reads: each may be answered once its index is
	// applied.
	Reads []ConfirmedRead
	// SendSnapshot lists the peers that need the newest snapshot.
	SendSnapshot []string
}

// ConfirmedRead is a read for which a majority confirmed, after the read
// started, that this process leads.
type ConfirmedRead struct {
	ID, Index uint64
}

// Ready returns the work that has accumulated since the last call.
func (c *Core) Ready() Ready {
	out := c.ready
	c.ready = Ready{}
	if c.state != c.savedState {
		state := c.state
		out.State = &state
		c.savedState = state
	}
	if c.log.commit > c.delivered {
		out.Committed = c.log.between(c.delivered, c.log.commit)
		c.delivered = c.log.commit
	}
	return out
}
