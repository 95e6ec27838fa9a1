package core

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"arbutusward.example/arbutusward/internal/process/replica"
)

var (
	firstSeed = flag.Uint64("replica.seed", 0, "first seed of the random schedules; also ARBUTUS_SEED")
	schedules = flag.Int("replica.schedules", 4000, "number of random schedules")
)

// stepsPerSchedule is the number of random actions in one schedule.
const stepsPerSchedule = 700

// TestExploreSchedules runs random schedules of faults against a model of the
// network and the disks. To repeat a failed schedule, run it with
// -replica.seed=N -replica.schedules=1.
func TestExploreSchedules(t *testing.T) {
	first := *firstSeed
	if text := os.Getenv("ARBUTUS_SEED"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		first = parsed
	}
	acks, reads, added, snapshots := 0, 0, 0, 0
	for seed := first; seed < first+uint64(*schedules); seed++ {
		m := newModel(seed)
		m.explore()
		if m.failure != "" {
			t.Fatalf("seed %d: %s", seed, m.failure)
		}
		acks += m.acks
		reads += m.reads
		added += len(m.ids) - initialMembers
		for _, n := range m.nodes {
			snapshots += min(1, int(n.durable.meta.Last.Index-min(n.durable.meta.Last.Index, 1)))
		}
	}
	t.Logf("%d commands acknowledged, %d reads confirmed, %d members added, %d processes with snapshots", acks, reads, added, snapshots)
}

// explore runs one random schedule and then checks that the members recover.
func (m *model) explore() {
	defer func() {
		if cause := recover(); cause != nil {
			m.fail("panic: %v", cause)
		}
	}()
	for range stepsPerSchedule {
		m.randomAction()
		if m.failure != "" {
			return
		}
	}
	m.checkRecovery()
}

// randomAction performs one random action on a random process.
func (m *model) randomAction() {
	n := m.nodes[m.ids[m.random.IntN(len(m.ids))]]
	switch chance := m.random.IntN(1000); {
	case chance < 500:
		m.deliver()
	case chance < 640:
		m.tick(n)
	case chance < 850:
		m.sync(n)
	case chance < 900:
		m.propose(n)
	case chance < 950:
		m.read(n)
	case chance < 965:
		m.snapshot(n)
	case chance < 972:
		m.crashOrStart(n)
	case chance < 978:
		n.frozen = !n.frozen
	case chance < 986:
		m.partitionOrHeal()
	case chance < 989:
		m.loseDisk(n)
	case chance < 995:
		m.changeMembers(n)
	default:
		if n.core != nil && !n.frozen {
			n.core.TransferLeadership()
			m.advance(n)
		}
	}
}

func (m *model) crashOrStart(n *node) {
	switch {
	case n.core != nil:
		m.crash(n)
	case !n.diskLost:
		m.start(n)
	}
}

func (m *model) partitionOrHeal() {
	if len(m.unreachable) > 0 && m.random.IntN(3) > 0 {
		clear(m.unreachable)
		return
	}
	// Either all links of one process are cut, or a random subset of them.
	a := m.ids[m.random.IntN(len(m.ids))]
	all := m.random.IntN(2) == 0
	for _, b := range m.ids {
		if b != a && (all || m.random.IntN(2) == 0) {
			m.unreachable[pair(a, b)] = true
		}
	}
}

// committedMembers returns the newest committed membership that a process
// knows.
func (m *model) committedMembers() []replica.Member {
	var members []replica.Member
	newest := uint64(0)
	for _, n := range m.nodes {
		if n.core != nil && n.core.Commit() >= newest && len(n.core.MembersAt(n.core.Commit())) > 0 {
			newest = n.core.Commit()
			members = n.core.MembersAt(newest)
		}
	}
	return members
}

// canLoseDisk reports whether every membership in use, committed or not,
// keeps a majority without the process and contains no other voter with a
// lost disk. It is false while a process whose disk is intact is stopped,
// since its membership is not known then.
func (m *model) canLoseDisk(id string) bool {
	for _, n := range m.nodes {
		if n.core == nil && !n.diskLost {
			return false
		}
		if n.core == nil || len(n.core.Members()) == 0 {
			continue
		}
		left := 0
		for _, voter := range n.core.voters() {
			if m.nodes[voter].diskLost {
				return false
			}
			if voter != id {
				left++
			}
		}
		if left < n.core.quorum() {
			return false
		}
	}
	return true
}

// loseDisk loses a disk permanently, if every membership keeps a majority
// without it, and starts the process with an empty disk under the same ID in
// half of the cases.
func (m *model) loseDisk(n *node) {
	if n.diskLost || !m.canLoseDisk(n.id) {
		return
	}
	id := n.id
	n.core, n.jobs, n.diskLost = nil, nil, true
	if m.random.IntN(2) == 0 {
		empty := m.newNode(id, "empty-"+id)
		m.start(empty)
		empty.diskLost = true
	}
}

// changeMembers removes a member whose disk is lost, or a random one if there
// is a surplus, or adds a member.
func (m *model) changeMembers(n *node) {
	if n.core == nil || n.frozen || n.core.Role() != Leader {
		return
	}
	defer m.advance(n)
	// An error is fine: another change may be pending.
	for _, member := range n.core.Members() {
		if m.nodes[member.ID].diskLost {
			_, _ = n.core.RemoveMember(member.ID)
			return
		}
	}
	if len(n.core.Members()) > initialMembers {
		_, _ = n.core.RemoveMember(n.core.Members()[m.random.IntN(len(n.core.Members()))].ID)
		return
	}
	id := fmt.Sprintf("n%d", len(m.ids)+1)
	if _, err := n.core.AddLearner(replica.Member{ID: id, Link: id, Disk: "disk-" + id}); err == nil {
		m.start(m.newNode(id, "disk-"+id))
	}
}

// checkRecovery ends all faults and checks that the members accept commands
// again and agree on the state.
func (m *model) checkRecovery() {
	m.reliable = true
	clear(m.unreachable)
	for _, id := range m.ids {
		n := m.nodes[id]
		n.frozen = false
		if n.core == nil && !n.diskLost {
			m.start(n)
		}
	}
	m.runWithoutFaults(60)
	before := m.acks
	for range 10 {
		for _, id := range m.ids {
			m.propose(m.nodes[id])
		}
		m.runWithoutFaults(10)
	}
	if m.acks == before {
		m.fail("no command is accepted after all faults ended")
	}
	m.checkStatesAgree()
}

// runWithoutFaults advances all processes by the given number of ticks on a
// reliable network.
func (m *model) runWithoutFaults(count int) {
	for range count {
		for _, id := range m.ids {
			m.tick(m.nodes[id])
		}
		for range 4 {
			for range len(m.network) {
				m.deliver()
			}
			for _, id := range m.ids {
				for n := m.nodes[id]; n.core != nil && len(n.jobs) > 0 && m.failure == ""; {
					m.sync(n)
				}
			}
		}
	}
}

// checkStatesAgree checks that the state of every member with a disk is a
// prefix of the longest state and contains all acknowledged commands.
func (m *model) checkStatesAgree() {
	var longest []uint64
	for _, member := range m.committedMembers() {
		if n := m.nodes[member.ID]; n.core != nil && len(n.machine) > len(longest) {
			longest = n.machine
		}
	}
	for _, member := range m.committedMembers() {
		n := m.nodes[member.ID]
		if n.diskLost {
			continue
		}
		if n.applied < m.acknowledged {
			m.fail("%s has applied %d, but %d was acknowledged", n.id, n.applied, m.acknowledged)
		}
		if !slices.Equal(n.machine, longest[:len(n.machine)]) {
			m.fail("the state of %s is not a prefix of the longest state", n.id)
		}
	}
}
