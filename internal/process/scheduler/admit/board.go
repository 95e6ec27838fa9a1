package admit

import (
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/version/durations"
	"arbutusward.example/arbutusward/internal/version/overload"
)

// maxSnapshotAge is the age from which on nothing is known of the load.
const maxSnapshotAge = time.Second

// Snapshot is the load of all pools at a time. It must not change once published.
type Snapshot struct {
	At time.Time
	// Pools holds the pools by service, Durations what is learned of each queue by key.
	Pools     map[string]*overload.Pool
	Durations map[string]durations.Model
}

// Board holds the newest snapshot of the current term. The zero value holds none.
type Board struct{ newest atomic.Pointer[Snapshot] }

// Publish replaces the snapshot.
func (b *Board) Publish(s *Snapshot) { b.newest.Store(s) }

// Drop removes the snapshot, when the term ends or jobs are no longer refused.
func (b *Board) Drop() { b.newest.Store(nil) }

// Newest returns the newest snapshot, or nil if there is none or it is too old.
func (b *Board) Newest(now time.Time) *Snapshot {
	s := b.newest.Load()
	if s == nil || now.Sub(s.At) > maxSnapshotAge {
		return nil
	}
	return s
}
