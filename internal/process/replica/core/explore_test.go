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
	firstSeed = flag.Uint64("replica.seed", 0, "first seed of the exploration; also ARBUTUS_SEED")
	schedules = flag.Int("replica.schedules", 4000, "number of schedules of the exploration")
)

// stepsPerSchedule is the number of random actions in one schedule.
const stepsPerSchedule = 700

// TestExploreSchedules runs random schedules of faults. On a failure, run
// it with -replica.seed=N -replica.schedules=1.
func TestExploreSchedules(t *testing.T) {
	first := *firstSeed
	if text := os.Getenv("ARBUTUS_SEED"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		first = parsed
	}
	acks, reads, replaced, snapshots := 0, 0, 0, 0
	for seed := first; seed < first+uint64(*schedules); seed++ {
		m := newModel(seed)
		m.explore()
		if m.failure != "" {
			t.Fatalf("seed %d: %s", seed, m.failure)
		}
		acks += m.acks
		reads += m.reads
		replaced += len(m.ids) - founders
		for _, n := range m.nodes {
			snapshots += min(1, int(n.durable.meta.Last.Index-min(n.durable.meta.Last.Index, 1)))
		}
	}
	t.Logf("%d commands acknowledged, %d reads confirmed, %d members added, %d processes with snapshots", acks, reads, replaced, snapshots)
}

func (m *model) explore() {
	defer func() {
		if cause := recover(); cause != nil {
			m.fail("panic: %v", cause)
		}
	}()
	for range stepsPerSchedule {
		m.act()
		if m.failure != "" {
			return
		}
	}
	m.settle()
}

// act does one random thing.
func (m *model) act() {
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
		m.cutOrHeal()
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
	case !n.lost:
		m.start(n)
	}
}

func (m *model) cutOrHeal() {
	if len(m.cut) > 0 && m.random.IntN(3) > 0 {
		clear(m.cut)
		return
	}
	// One process is cut off from all others, or two from each other.
	a := m.ids[m.random.IntN(len(m.ids))]
	all := m.random.IntN(2) == 0
	for _, b := range m.ids {
		if b != a && (all || m.random.IntN(2) == 0) {
			m.cut[pair(a, b)] = true
		}
	}
}

// newestMembers is the newest membership that a majority has committed.
func (m *model) newestMembers() []replica.Member {
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

// canLose says that every membership in use, committed or not, keeps a
// majority without the process and has lost nobody else.
func (m *model) canLose(id string) bool {
	for _, n := range m.nodes {
		if n.core == nil && !n.lost {
			return false
		}
		if n.core == nil || len(n.core.Members()) == 0 {
			continue
		}
		left := 0
		for _, voter := range n.core.voters() {
			if m.nodes[voter].lost {
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

// loseDisk loses one disk for good, if the memberships can bear it, and may
// start an empty one under the same id.
func (m *model) loseDisk(n *node) {
	if n.lost || !m.canLose(n.id) {
		return
	}
	id := n.id
	n.core, n.jobs, n.lost = nil, nil, true
	if m.random.IntN(2) == 0 {
		empty := m.newNode(id, "empty-"+id)
		m.start(empty)
		empty.lost = true
	}
}

// changeMembers takes a lost member out, or adds one.
func (m *model) changeMembers(n *node) {
	if n.core == nil || n.frozen || n.core.Role() != Leader {
		return
	}
	defer m.advance(n)
	// A refusal is fine: another change may be pending.
	for _, member := range n.core.Members() {
		if m.nodes[member.ID].lost {
			_, _ = n.core.RemoveMember(member.ID)
			return
		}
	}
	if len(n.core.Members()) > founders {
		_, _ = n.core.RemoveMember(n.core.Members()[m.random.IntN(len(n.core.Members()))].ID)
		return
	}
	id := fmt.Sprintf("n%d", len(m.ids)+1)
	if _, err := n.core.AddLearner(replica.Member{ID: id, Link: id, Disk: "disk-" + id}); err == nil {
		m.start(m.newNode(id, "disk-"+id))
	}
}

// settle ends all faults and checks that the members agree and go on.
func (m *model) settle() {
	m.calm = true
	clear(m.cut)
	for _, id := range m.ids {
		n := m.nodes[id]
		n.frozen = false
		if n.core == nil && !n.lost {
			m.start(n)
		}
	}
	m.rounds(60)
	before := m.acks
	for range 10 {
		for _, id := range m.ids {
			m.propose(m.nodes[id])
		}
		m.rounds(10)
	}
	if m.acks == before {
		m.fail("no command is accepted after all faults ended")
	}
	m.checkAgreement()
}

// rounds passes time without faults.
func (m *model) rounds(count int) {
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

// checkAgreement compares the states of all members that live.
func (m *model) checkAgreement() {
	var longest []uint64
	for _, member := range m.newestMembers() {
		if n := m.nodes[member.ID]; n.core != nil && len(n.machine) > len(longest) {
			longest = n.machine
		}
	}
	for _, member := range m.newestMembers() {
		n := m.nodes[member.ID]
		if n.lost {
			continue
		}
		if n.applied < m.acknowledged {
			m.fail("%s has applied %d, but %d was acknowledged", n.id, n.applied, m.acknowledged)
		}
		if !slices.Equal(n.machine, longest[:len(n.machine)]) {
			m.fail("the state of %s is no prefix of another", n.id)
		}
	}
}
