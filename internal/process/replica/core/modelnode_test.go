package core

import "slices"

// node is one process. Only its durable state survives a crash.
type node struct {
	id, disk    string
	core        *Core
	incarnation int
	frozen      bool
	// diskLost is set once the disk is lost permanently.
	diskLost bool

	durable durableState
	jobs    []job
	applied uint64
	// machine is the state: the indexes of the commands that were applied.
	machine         []uint64
	received        []uint64
	proposed        map[uint64]uint64
	minReadIndex    map[uint64]uint64
	lastReadID      uint64
	snapshotPending bool
}

// durableState is the content of a disk.
type durableState struct {
	state   HardState
	base    Position
	entries []Entry
	meta    SnapshotMeta
	machine []uint64
}

// job is one write to the disk and the messages to send after its sync.
type job struct {
	state         *HardState
	entries       []Entry
	meta          *SnapshotMeta
	machine       []uint64
	base          Position
	localSnapshot bool
	messages      []Message
}

func (m *model) newNode(id, disk string) *node {
	n := &node{id: id, disk: disk}
	m.nodes[id] = n
	if !slices.Contains(m.ids, id) {
		m.ids = append(m.ids, id)
	}
	return n
}

// start starts a process with the state on its disk.
func (m *model) start(n *node) {
	d := &n.durable
	if !d.contains(d.meta.Last) {
		d.base, d.entries = d.meta.Last, nil
	}
	n.incarnation++
	n.frozen, n.snapshotPending, n.jobs, n.received = false, false, nil, nil
	n.applied = d.meta.Last.Index
	n.machine = slices.Clone(d.machine)
	n.proposed, n.minReadIndex = map[uint64]uint64{}, map[uint64]uint64{}
	n.core = New(Config{ID: n.id, DiskID: n.disk, ElectionTicks: 5, HeartbeatTicks: 1, MaxAppendBytes: 128, OddVoters: m.oddVoters, Random: m.random},
		Persistent{State: d.state, Base: d.base, Entries: slices.Clone(d.entries), Snapshot: d.meta})
}

// contains reports whether the log on the disk contains the position.
func (d *durableState) contains(at Position) bool {
	if d.base == at {
		return true
	}
	offset := int64(at.Index) - int64(d.base.Index) - 1
	return offset >= 0 && offset < int64(len(d.entries)) && d.entries[offset].Term == at.Term
}

// store makes a job durable.
func (d *durableState) store(j *job) {
	if j.state != nil {
		d.state = *j.state
	}
	if j.meta != nil {
		d.meta, d.machine = *j.meta, j.machine
		d.base, d.entries = j.base, slices.Clone(j.entries)
		return
	}
	for _, e := range j.entries {
		d.entries = append(d.entries[:e.Index-d.base.Index-1:e.Index-d.base.Index-1], e)
	}
}

// sync makes the oldest job durable and releases its messages.
func (m *model) sync(n *node) {
	if n.core == nil || len(n.jobs) == 0 {
		return
	}
	j := n.jobs[0]
	n.jobs = n.jobs[1:]
	n.durable.store(&j)
	if j.localSnapshot {
		n.core.Compact(j.base.Index)
		n.snapshotPending = false
	}
	for _, message := range j.messages {
		if message.To == n.id {
			m.step(n, packet{message: message})
			continue
		}
		m.network = append(m.network, packet{message: message})
	}
}

// crash drops everything that is not synced. The oldest job may be written
// wholly or in part.
func (m *model) crash(n *node) {
	if len(n.jobs) > 0 && m.random.IntN(2) == 0 {
		j := n.jobs[0]
		if j.meta != nil && m.random.IntN(2) == 0 {
			n.durable.meta, n.durable.machine = *j.meta, j.machine
		} else {
			n.durable.store(&j)
		}
	}
	n.core = nil
	n.jobs = nil
}
