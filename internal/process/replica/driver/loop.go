package driver

import (
	"errors"
	"time"

	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/replica/core"
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
	if l.core.TransferLeadership() {
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
	return logging.Wrap(err, "step", a.message.From)
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
			return logging.Wrap(err, "step", m.From)
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
