package driver

import (
	"errors"

	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/replica/datadir"
	"arbutusward.example/arbutusward/internal/process/replica/snapshot"
	"arbutusward.example/arbutusward/internal/process/replica/wal"
)

// storage is the locked data directory of a replica.
type storage struct {
	dir      string
	lock     *datadir.Lock
	identity *datadir.Identity
	log      *wal.Log
	contents *wal.Contents
	// snapshot is nil if the data directory has none yet.
	snapshot *snapshot.Snapshot
}

// openStorage locks and reads a data directory.
func openStorage(dir, id string) (*storage, error) {
	lock, err := datadir.Acquire(dir)
	if err != nil {
		return nil, err
	}
	s := &storage{dir: dir, lock: lock}
	if err := s.read(id); err != nil {
		return nil, errors.Join(err, lock.Release())
	}
	return s, nil
}

func (s *storage) read(id string) error {
	var err error
	if s.identity, err = datadir.LoadOrCreateIdentity(s.dir, id); err != nil {
		return err
	}
	s.snapshot, err = snapshot.Load(s.dir)
	if err != nil && !errors.Is(err, snapshot.ErrNoSnapshot) {
		return err
	}
	s.log, s.contents, err = wal.Open(s.dir)
	if err != nil {
		return err
	}
	return s.alignLog()
}

// alignLog completes the work that a crash between saving a snapshot and
// shortening the log has left unfinished: a log that does not reach the
// snapshot is rewritten to start after it.
func (s *storage) alignLog() error {
	if s.snapshot == nil || s.logContains(s.snapshot.Meta.Last) {
		return nil
	}
	last := s.snapshot.Meta.Last
	s.contents.Base = last
	s.contents.Entries = nil
	return s.log.Rewrite(last, nil)
}

// writeInitialSnapshot writes the first snapshot, with the empty state and
// the initial members.
func (s *storage) writeInitialSnapshot(members []replica.Member, machine replica.StateMachine) error {
	data, err := machine.Snapshot()
	if err != nil {
		return err
	}
	first := &snapshot.Snapshot{Data: data, Meta: core.SnapshotMeta{Last: core.Position{Index: 1, Term: 1}, Members: members}}
	encoded, err := snapshot.Encode(first)
	if err != nil {
		return err
	}
	if err := snapshot.Save(s.dir, encoded); err != nil {
		return err
	}
	s.snapshot = first
	return s.alignLog()
}

// persistent returns the state from which the core starts.
func (s *storage) persistent() core.Persistent {
	p := core.Persistent{State: s.contents.State, Base: s.contents.Base, Entries: s.contents.Entries}
	if s.snapshot != nil {
		p.Snapshot = s.snapshot.Meta
	}
	return p
}

// logContains reports whether the log contains the entry at the position.
func (s *storage) logContains(at core.Position) bool {
	if s.contents.Base == at {
		return true
	}
	offset := int64(at.Index) - int64(s.contents.Base.Index) - 1
	if offset < 0 || offset >= int64(len(s.contents.Entries)) {
		return false
	}
	return s.contents.Entries[offset].Term == at.Term
}

func (s *storage) close() error {
	return errors.Join(s.log.Close(), s.lock.Release())
}
