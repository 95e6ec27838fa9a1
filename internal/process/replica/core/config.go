package core

import "math/rand/v2"

// Config configures a core.
type Config struct {
	// ID identifies this process, DiskID its data directory.
	ID, DiskID string
	// ElectionTicks is the shortest election timeout in ticks; the longest
	// is twice that. HeartbeatTicks is the heartbeat interval in ticks.
	ElectionTicks, HeartbeatTicks int
	// OddVoters keeps the number of voters odd: a learner that would make
	// it even stays a learner, on standby.
	OddVoters bool
	// MaxAppendBytes limits the size of the entries in one message; a single
	// larger entry is sent alone.
	MaxAppendBytes int
	// BytesPerTick is the lowest expected transfer rate of an append. The
	// time after which an append counts as lost grows with its size at this
	// rate; with 0 it does not depend on the size.
	BytesPerTick int
	// Random is the source of the randomized election timeouts.
	Random *rand.Rand
}

// Persistent is the state that a process reads from its disk at start.
type Persistent struct {
	State HardState
	// Base is the position of the last entry before Entries.
	Base     Position
	Entries  []Entry
	Snapshot SnapshotMeta
}
