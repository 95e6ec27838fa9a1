package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"arbutusward.example/arbutusward/internal/process/replica"
)

// model is a set of cores with simulated disks and a simulated network that
// loses, duplicates, delays and reorders messages. All random choices come
// from one seed.
type model struct {
	// oddVoters is Config.OddVoters of all cores; it is set for every second
	// seed.
	oddVoters bool
	random    *rand.Rand
	nodes     map[string]*node
	ids       []string
	network   []packet
	// unreachable holds the pairs of ids that cannot exchange messages.
	unreachable map[[2]string]bool
	// reliable disables loss, duplication and reordering of messages.
	reliable bool

	commands int
	// history maps each index to the entry that was first applied there.
	history map[uint64]Entry
	// leaders maps each term to the process that led in it.
	leaders map[uint64]string
	// acknowledged is the highest index of an acknowledged command or
	// confirmed read.
	acknowledged uint64
	failure      string
	acks, reads  int
}

// packet is a message in transit. A snapshot message carries the state.
type packet struct {
	message Message
	state   []uint64
}

const initialMembers = 3

func newModel(seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), oddVoters: seed%2 == 0, nodes: map[string]*node{}, unreachable: map[[2]string]bool{},
		history: map[uint64]Entry{}, leaders: map[uint64]string{}}
	var members []replica.Member
	for i := range initialMembers {
		id := fmt.Sprintf("n%d", i+1)
		members = append(members, replica.Member{ID: id, Link: id, Disk: "disk-" + id})
	}
	for _, member := range members {
		n := m.newNode(member.ID, member.Disk)
		n.durable.base = Position{Index: 1, Term: 1}
		n.durable.meta = SnapshotMeta{Last: n.durable.base, Members: members}
		m.start(n)
	}
	return m
}

func (m *model) fail(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf(format, args...)
	}
}

func (m *model) step(n *node, p packet) {
	if n.core == nil {
		return
	}
	n.received = p.state
	if err := n.core.Step(p.message); err != nil {
		n.core = nil
		if !strings.HasPrefix(n.disk, "empty-") {
			m.fail("%s rejected its own disk", n.id)
		}
		return
	}
	m.advance(n)
}

// advance does the work that the core's Ready lists, as the driver does, and
// checks it.
func (m *model) advance(n *node) {
	ready := n.core.Ready()
	if ready.Install != nil {
		n.jobs = append(n.jobs, job{state: ready.State, meta: ready.Install, machine: n.received, base: ready.Install.Last})
		if ready.Install.Last.Index < n.applied {
			m.fail("the state of %s reverted from %d to %d", n.id, n.applied, ready.Install.Last.Index)
		}
		n.machine = slices.Clone(n.received)
		n.applied = ready.Install.Last.Index
	}
	if ready.State != nil || len(ready.Entries) > 0 || len(ready.AfterSync) > 0 {
		n.jobs = append(n.jobs, job{state: ready.State, entries: ready.Entries, messages: ready.AfterSync})
	}
	for _, message := range ready.Messages {
		m.network = append(m.network, packet{message: message})
	}
	for _, entry := range ready.Committed {
		m.apply(n, entry)
	}
	for _, read := range ready.Reads {
		m.reads++
		if read.Index < n.minReadIndex[read.ID] || n.applied < read.Index {
			m.fail("%s confirmed a read at %d, but %d was acknowledged before", n.id, read.Index, n.minReadIndex[read.ID])
		}
		m.acknowledged = max(m.acknowledged, read.Index)
	}
	for _, id := range ready.SendSnapshot {
		envelope := n.core.Envelope(id)
		meta := n.durable.meta
		envelope.Snapshot = &meta
		m.network = append(m.network, packet{message: envelope, state: n.durable.machine})
	}
	m.checkLeader(n)
}

func (m *model) apply(n *node, entry Entry) {
	if entry.Index != n.applied+1 {
		m.fail("%s applies %d after %d", n.id, entry.Index, n.applied)
	}
	n.applied = entry.Index
	first, known := m.history[entry.Index]
	if !known {
		m.history[entry.Index] = entry
	} else if first.Term != entry.Term || string(first.Data) != string(entry.Data) {
		m.fail("%s applies %d of term %d, another process applied term %d", n.id, entry.Index, entry.Term, first.Term)
	}
	if entry.Kind == Command {
		n.machine = append(n.machine, entry.Index)
	}
	if term, ok := n.proposed[entry.Index]; ok && term == entry.Term && n.core.Role() == Leader {
		m.acks++
		m.acknowledged = max(m.acknowledged, entry.Index)
	}
}

// checkLeader checks that each term has at most one leader.
func (m *model) checkLeader(n *node) {
	if n.core.Role() != Leader {
		return
	}
	name := fmt.Sprintf("%s incarnation %d", n.id, n.incarnation)
	if known := m.leaders[n.core.Term()]; known != "" && known != name {
		m.fail("%s and %s lead in term %d", known, name, n.core.Term())
	}
	m.leaders[n.core.Term()] = name
}

// deliver takes a packet from the network and delivers or drops it.
func (m *model) deliver() {
	if len(m.network) == 0 {
		return
	}
	at := 0
	if !m.reliable {
		at = m.random.IntN(min(len(m.network), 12))
	}
	p := m.network[at]
	chance := m.random.IntN(100)
	if m.reliable || chance >= 4 {
		m.network = slices.Delete(m.network, at, at+1)
	}
	if sender := m.nodes[p.message.From]; p.message.Snapshot != nil && sender.core != nil {
		sender.core.SnapshotSent(p.message.To)
	}
	to := m.nodes[p.message.To]
	if m.unreachable[pair(p.message.From, p.message.To)] || !m.reliable && chance >= 95 || to == nil || to.frozen {
		return
	}
	m.step(to, p)
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (m *model) tick(n *node) {
	if n.core == nil || n.frozen {
		return
	}
	n.core.Tick()
	m.advance(n)
}

func (m *model) propose(n *node) {
	if n.core == nil || n.frozen || n.core.Role() != Leader {
		return
	}
	m.commands++
	index, err := n.core.Propose(fmt.Appendf(nil, "command %d", m.commands))
	if err == nil {
		n.proposed[index] = n.core.Term()
	}
	m.advance(n)
}

func (m *model) read(n *node) {
	if n.core == nil || n.frozen || n.core.Role() != Leader {
		return
	}
	n.lastReadID++
	n.minReadIndex[n.lastReadID] = m.acknowledged
	if err := n.core.ReadIndex(n.lastReadID); err != nil {
		m.fail("read: %v", err)
	}
	m.advance(n)
}

// snapshot saves a snapshot and compacts the log.
func (m *model) snapshot(n *node) {
	if n.core == nil || n.frozen || n.snapshotPending || n.applied <= n.durable.meta.Last.Index {
		return
	}
	term, _ := n.core.TermAt(n.applied)
	meta := SnapshotMeta{Last: Position{Index: n.applied, Term: term}, Members: n.core.MembersAt(n.applied)}
	keep := uint64(m.random.IntN(4))
	base, entries := n.core.Tail(max(n.core.Base().Index, n.applied-min(keep, n.applied)))
	n.jobs = append(n.jobs, job{meta: &meta, machine: slices.Clone(n.machine), base: base, entries: entries, localSnapshot: true})
	n.snapshotPending = true
}
