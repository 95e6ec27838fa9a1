package replica

import (
	"context"
	"sync"
)

// Solo is a replica of one process without a disk, for trials and tests.
type Solo struct {
	member  Member
	machine StateMachine

	mu      sync.Mutex
	index   uint64
	changes chan bool
}

// NewSolo returns a replica that leads at once.
func NewSolo(member Member, machine StateMachine) *Solo {
	solo := &Solo{member: member, machine: machine, changes: make(chan bool, 1)}
	solo.changes <- true
	return solo
}

// Propose applies the command.
func (s *Solo) Propose(_ context.Context, command []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return s.machine.Apply(s.index, command), nil
}

// ReadBarrier returns at once.
func (s *Solo) ReadBarrier(context.Context) error { return nil }

// Status returns the state of a leader of one.
func (s *Solo) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{ID: s.member.ID, Role: "leader", Term: 1, Leader: s.member.ID, Commit: s.index, Applied: s.index, Members: []Member{s.member}}
}

// AddMember is refused.
func (s *Solo) AddMember(context.Context, Member) error { return ErrStopped }

// RemoveMember is refused.
func (s *Solo) RemoveMember(context.Context, string) error { return ErrStopped }

// LeaderChanges delivers true once.
func (s *Solo) LeaderChanges() <-chan bool { return s.changes }

// Stop does nothing.
func (s *Solo) Stop() error { return nil }
