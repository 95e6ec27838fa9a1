package driver

import (
	"errors"
	"time"

	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/replica/snapshot"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// loop is the state of the goroutine that owns the core.
type loop struct {
	*Driver
	core *core.Core
	disk *disk

	applied uint64
	// waiting holds the calls whose entries are not applied yet, by index.
	waiting      map[uint64]*proposal
	pendingBytes int
	changing     map[uint64]*change
	reading      map[uint64][]*read
	lastRead     uint64

	// jobs wait for the disk.
	jobs []diskJob
	// received is the content of the snapshot that is being stepped.
	received *arrival

	// leadTerm is the term in which this process leads, or 0.
	leadTerm uint64
	// announce are the changes that LeaderChanges has not delivered yet.
	announce []bool
	members  []replica.Member
	// senders holds the link address that each sender named last.
	senders map[string]string

	lastTick time.Time
	// grown is the size of the log since the last snapshot.
	grown         int
	snapshotting  bool
	snapshotBytes int
	logBytes      int64
	transfers     uint64
	// handOverEnd bounds the hand-over once the replica is stopping.
	handOverEnd time.Time
}

func (d *Driver) newLoop() *loop {
	l := &loop{
		Driver: d, core: d.newCore(), disk: newDisk(d.storage.dir, d.storage.log),
		waiting: map[uint64]*proposal{}, changing: map[uint64]*change{}, reading: map[uint64][]*read{}, senders: map[string]string{},
		lastTick: time.Now(), logBytes: d.storage.log.Bytes(),
	}
	if d.storage.snapshot != nil {
		l.applied = d.storage.snapshot.Meta.Last.Index
		l.snapshotBytes = len(d.storage.snapshot.Data)
	}
	for i := range d.storage.contents.Entries {
		if e := &d.storage.contents.Entries[i]; e.Index > l.applied {
			l.grown += len(e.Data) + 1
		}
	}
	l.members = l.core.Members()
	return l
}

// run serves events until the replica stops.
func (l *loop) run() error {
	go l.disk.run()
	err := l.serve()
	l.failAll()
	close(l.disk.jobs)
	for result := range l.disk.done {
		err = errors.Join(err, result.err)
	}
	return err
}

func (l *loop) serve() error {
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	for !l.finished() {
		if err := l.serveOne(ticker.C); err != nil {
			return err
		}
		if err := l.advance(); err != nil {
			return err
		}
	}
	return nil
}

// serveOne takes one event.
func (l *loop) serveOne(ticks <-chan time.Time) error {
	select {
	case <-ticks:
		l.tick()
	case a := <-l.receiver.inbox:
		return l.step(a)
	case p := <-l.openProposals():
		l.propose(p)
	case r := <-l.Driver.reads:
		l.read(r)
	case c := <-l.Driver.changes:
		l.change(c)
	case id := <-l.snapshotsSent:
		l.core.SnapshotSent(id)
	case l.openDisk() <- l.jobs:
		l.jobs = nil
	case result := <-l.disk.done:
		return l.synced(result)
	case l.openAnnounce() <- l.nextAnnounce():
		l.announce = l.announce[1:]
	case <-l.openStop():
		l.beginStop()
	}
	return nil
}

// openProposals takes no more while too much waits for a majority.
func (l *loop) openProposals() <-chan *proposal {
	if l.pendingBytes > maxPendingBytes {
		return nil
	}
	return l.proposals
}

func (l *loop) openDisk() chan<- []diskJob {
	if len(l.jobs) == 0 {
		return nil
	}
	return l.disk.jobs
}

func (l *loop) openAnnounce() chan<- bool {
	if len(l.announce) == 0 {
		return nil
	}
	return l.leaderChanges
}

func (l *loop) nextAnnounce() bool { return len(l.announce) > 0 && l.announce[0] }

func (l *loop) openStop() <-chan struct{} {
	if !l.handOverEnd.IsZero() {
		return nil
	}
	return l.stopping.Done()
}

// beginStop hands the leadership over, if there is somebody to take it.
func (l *loop) beginStop() {
	l.handOverEnd = time.Now()
	if l.core.HandOver() {
		l.handOverEnd = time.Now().Add(handOverTimeout)
	}
}

func (l *loop) finished() bool {
	if l.handOverEnd.IsZero() {
		return false
	}
	return l.core.Role() != core.Leader || time.Now().After(l.handOverEnd)
}

// tick passes the time since the last tick. A process that was suspended
// passes it all at once, so that it notices what it missed.
func (l *loop) tick() {
	elapsed := int(time.Since(l.lastTick) / tickTime)
	l.lastTick = l.lastTick.Add(time.Duration(elapsed) * tickTime)
	for range min(elapsed, 3*electionTicks) {
		l.core.Tick()
	}
}

func (l *loop) step(a arrival) error {
	l.senders[a.message.From] = a.message.FromLink
	if a.snapshot != nil {
		l.received = &a
	}
	err := l.core.Step(a.message)
	return logging.At(err, "step", a.message.From)
}

// propose appends the command, and those that wait behind it, to the log.
func (l *loop) propose(first *proposal) {
	batch := l.collect(first)
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
		l.waiting[index+uint64(i)] = p
		l.pendingBytes += len(p.command)
	}
}

// collect takes the proposals that wait now, up to maxBatchBytes.
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

// read starts one confirmation for the call and those that wait behind it.
func (l *loop) read(first *read) {
	batch := []*read{first}
	for more := true; more; {
		select {
		case r := <-l.Driver.reads:
			batch = append(batch, r)
		default:
			more = false
		}
	}
	l.lastRead++
	l.reading[l.lastRead] = batch
	if err := l.core.Read(l.lastRead); err != nil {
		l.endReads(l.lastRead, l.notLeader())
	}
}

func (l *loop) endReads(id uint64, err error) {
	for _, r := range l.reading[id] {
		r.done <- outcome{err: err}
	}
	delete(l.reading, id)
}

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
	l.changing[index] = c
}

// notLeader names the leader.
func (l *loop) notLeader() error {
	leader := l.core.Leader()
	for _, m := range l.core.Members() {
		if m.ID == leader && leader != l.options.Self.ID {
			return &replica.NotLeaderError{ID: m.ID, Link: m.Link, Admin: m.Admin}
		}
	}
	return &replica.NotLeaderError{}
}

// synced sends what had to wait for the disk.
func (l *loop) synced(result diskResult) error {
	if result.err != nil {
		return result.err
	}
	l.logBytes = result.logBytes
	if result.snapshotBytes > 0 {
		l.snapshotBytes = result.snapshotBytes
	}
	if result.compacted > 0 {
		l.core.Compact(result.compacted)
		l.snapshotting = false
	}
	for _, m := range result.messages {
		if m.To != l.options.Self.ID {
			l.send(m)
			continue
		}
		if err := l.core.Step(m); err != nil {
			return logging.At(err, "step", m.From)
		}
	}
	return nil
}

// advance carries out what the core asks for until it asks for nothing.
func (l *loop) advance() error {
	ready := l.core.Ready()
	if err := l.install(&ready); err != nil {
		return err
	}
	l.store(&ready)
	for _, m := range ready.Messages {
		l.send(m)
	}
	for i := range ready.Committed {
		l.apply(&ready.Committed[i])
	}
	for _, confirmed := range ready.Reads {
		l.endReads(confirmed.ID, nil)
	}
	for _, id := range ready.SendSnapshot {
		l.sendSnapshot(id)
	}
	l.noteMembers()
	l.noteLeadership()
	l.publish()
	return l.maySnapshot()
}

// store queues what is to be synced and the messages that wait for it.
func (l *loop) store(ready *core.Ready) {
	for i := range ready.Entries {
		l.grown += len(ready.Entries[i].Data) + 1
	}
	if ready.State == nil && len(ready.Entries) == 0 && len(ready.AfterSync) == 0 {
		return
	}
	l.jobs = append(l.jobs, diskJob{state: ready.State, entries: ready.Entries, messages: ready.AfterSync})
}

// install replaces the state by a received snapshot.
func (l *loop) install(ready *core.Ready) error {
	received := l.received
	l.received = nil
	if ready.Install == nil {
		return nil
	}
	if ready.State != nil {
		// The term in which the snapshot came goes to the disk before it.
		l.jobs = append(l.jobs, diskJob{state: ready.State})
	}
	meta := &received.snapshot.Meta
	l.jobs = append(l.jobs, diskJob{snapshot: received.encoded, base: meta.Last})
	if err := l.options.Machine.Restore(meta.Last.Index, received.snapshot.Data); err != nil {
		return logging.At(err, "restore snapshot", received.message.From)
	}
	l.applied = meta.Last.Index
	l.grown = 0
	return nil
}

// apply applies one committed entry and answers its proposer.
func (l *loop) apply(entry *core.Entry) {
	l.applied = entry.Index
	var result []byte
	if entry.Kind == core.Command {
		result = l.options.Machine.Apply(entry.Index, entry.Data)
	}
	if p := l.waiting[entry.Index]; p != nil && p.term == entry.Term {
		delete(l.waiting, entry.Index)
		l.pendingBytes -= len(p.command)
		p.done <- outcome{result: result}
	}
	if c := l.changing[entry.Index]; c != nil && c.term == entry.Term {
		delete(l.changing, entry.Index)
		c.done <- outcome{}
	}
}

// noteLeadership notices the begin and the end of a leadership. The end
// leaves open what becomes of the proposals in flight.
func (l *loop) noteLeadership() {
	term := uint64(0)
	if l.core.Role() == core.Leader {
		term = l.core.Term()
	}
	if term == l.leadTerm {
		return
	}
	if l.leadTerm != 0 {
		l.failAll()
		l.announce = append(l.announce, false)
	}
	if term != 0 {
		l.announce = append(l.announce, true)
	}
	l.leadTerm = term
}

// failAll ends all calls that wait.
func (l *loop) failAll() {
	for _, p := range l.waiting {
		p.done <- outcome{err: replica.ErrUnknownResult}
	}
	for _, c := range l.changing {
		c.done <- outcome{err: replica.ErrUnknownResult}
	}
	for id := range l.reading {
		l.endReads(id, l.notLeader())
	}
	clear(l.waiting)
	clear(l.changing)
	l.pendingBytes = 0
}

// noteMembers records a change of the membership in use.
func (l *loop) noteMembers() {
	members := l.core.Members()
	for _, text := range membershipChanges(l.members, members) {
		l.options.Recorder.Record(timeline.Event{Kind: timeline.MemberChanged, Peer: text.id, Cause: text.what})
		l.options.Log.Info("member changed", "member", text.id, "change", text.what)
	}
	l.members = members
}

func (l *loop) publish() {
	status := replica.Status{
		ID: l.options.Self.ID, Role: l.role(), Term: l.core.Term(), Leader: l.core.Leader(),
		Commit: l.core.Commit(), Applied: l.applied, LogBytes: l.logBytes, Members: l.members,
	}
	l.status.Store(&status)
	termGauge.Set(float64(status.Term))
	commitGauge.Set(float64(status.Commit))
	logGauge.Set(float64(status.LogBytes))
	snapshotGauge.Set(float64(l.snapshotBytes))
}

// role names what this process is to an operator.
func (l *loop) role() string {
	if len(l.members) == 0 {
		return "joining"
	}
	for _, m := range l.members {
		if m.ID == l.options.Self.ID && m.Learner {
			return "learner"
		}
		if m.ID == l.options.Self.ID {
			return l.core.Role().String()
		}
	}
	return "removed"
}

func (l *loop) send(m core.Message) {
	m.FromLink = l.options.Self.Link
	l.transport.send(l.address(m.To), m)
}

// address returns the link address of a member. The membership of a process
// that is behind may lack a new candidate or leader; that one's own word
// serves until then.
func (l *loop) address(id string) string {
	for _, m := range l.members {
		if m.ID == id {
			return m.Link
		}
	}
	return l.senders[id]
}

// sendSnapshot sends the newest synced snapshot to a member.
func (l *loop) sendSnapshot(id string) {
	l.transfers++
	transfer := l.transfers
	address := l.address(id)
	envelope := l.core.Envelope(id)
	envelope.FromLink = l.options.Self.Link
	go func() {
		err := l.transferSnapshot(address, envelope, transfer)
		if err != nil {
			l.options.Log.Warn("snapshot was not taken", logging.Err(logging.At(err, "send snapshot", id)))
		}
		select {
		case l.snapshotsSent <- id:
		case <-l.ended.Done():
		}
	}()
}

func (l *loop) transferSnapshot(address string, envelope core.Message, transfer uint64) error {
	encoded, err := snapshot.Read(l.storage.dir)
	if err != nil {
		return err
	}
	return l.transport.sendSnapshot(address, envelope, snapshot.Cut(transfer, encoded))
}

// maySnapshot takes a snapshot once the log has grown by twice the size of
// the last one: the cost stays in proportion to the traffic.
func (l *loop) maySnapshot() error {
	limit := max(minLogBytes, 2*l.snapshotBytes)
	if l.grown < limit || l.snapshotting {
		return nil
	}
	encoded, err := l.takeSnapshot()
	if err != nil {
		return logging.At(err, "take snapshot", l.options.Self.ID)
	}
	base, entries := l.core.Tail(l.compactIndex(limit / 2))
	l.jobs = append(l.jobs, diskJob{snapshot: encoded, base: base, entries: entries, own: true})
	l.grown = 0
	l.snapshotting = true
	return nil
}

func (l *loop) takeSnapshot() ([]byte, error) {
	data, err := l.options.Machine.Snapshot()
	if err != nil {
		return nil, err
	}
	term, _ := l.core.TermAt(l.applied)
	meta := core.SnapshotMeta{Last: core.Position{Index: l.applied, Term: term}, Members: l.core.MembersAt(l.applied)}
	return snapshot.Encode(&snapshot.Snapshot{Meta: meta, Data: data})
}

// compactIndex returns the index up to which the log can be dropped so that
// members that are a little behind need no snapshot.
func (l *loop) compactIndex(keepBytes int) uint64 {
	index := l.applied
	_, entries := l.core.Tail(l.core.Base().Index)
	kept := 0
	for index > l.core.Base().Index && kept < keepBytes {
		kept += len(entries[index-l.core.Base().Index-1].Data) + 1
		index--
	}
	return index
}
