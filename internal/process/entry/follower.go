package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Times of the follower.
const (
	watchWait    = time.Second
	watchTimeout = watchWait + 700*time.Millisecond
	retryPause   = 100 * time.Millisecond
	// StartHoldOff is the time after its start at which an entry that
	// cannot reach control begins to use the view of its disk or of a zone
	// peer. It is above ConfirmLife, so that no drain that an earlier run of
	// the entry confirmed can still be counted by then.
	StartHoldOff = 4 * time.Second
	// ConfirmLife is the time for which control may count a confirmation of
	// a drain after the report that carried it.
	ConfirmLife = 3 * time.Second
)

// Follower keeps the entry's view up to date. The view only ever gets newer.
type Follower struct {
	self     view.Entry
	controls *controls
	file     viewFile
	recorder *timeline.Recorder
	log      *slog.Logger
	onChange func()
	started  time.Time

	// mu guards the steps from one view to the next.
	mu sync.Mutex
	// newest is the newest view known, trusted or not.
	newest *view.View
	// trusted says that newest may be used: it was confirmed by the leader,
	// or control was out of reach for the hold-off time.
	trusted bool
	// current is the view in force: newest once it is trusted.
	current atomic.Pointer[view.View]
	// registered says that this run has been in a view.
	registered atomic.Bool
	// watchedAt is when control last answered a watch, in Unix nanoseconds.
	watchedAt atomic.Int64
	// at indexes the control processes: the one that is watched.
	at int
	// failedAt is when a watch last failed.
	failedAt time.Time
	// unsaved says that the disk may hold an older view than was in force.
	unsaved atomic.Bool
}

// newFollower returns a follower that starts from the view on the disk, if any.
func newFollower(self view.Entry, c *controls, file viewFile, recorder *timeline.Recorder, log *slog.Logger, onChange func()) *Follower {
	f := &Follower{self: self, controls: c, file: file, recorder: recorder, log: log, onChange: onChange, started: time.Now()}
	saved, err := file.load()
	if err != nil {
		log.Warn("saved view is not used", logging.Err(err))
	}
	f.newest = saved
	f.current.Store(view.Empty())
	return f
}

// View returns the newest view that may be used.
func (f *Follower) View() *view.View { return f.current.Load() }

// Removed says that this run of the entry was registered and is no more:
// control counts it as powered off, so it must not dispatch.
func (f *Follower) Removed() bool {
	_, listed := f.View().Entries[f.self.ID]
	return f.registered.Load() && !listed
}

// CutOff says that no control process answered for the time given.
func (f *Follower) CutOff(limit time.Duration) bool {
	return time.Now().UnixNano()-f.watchedAt.Load() > int64(limit)
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.watchOnce(ctx); err != nil && ctx.Err() == nil {
			f.log.Warn("watch failed", logging.Err(err))
			f.failedAt = time.Now()
			watchesFailed.Inc()
			f.at = (f.at + 1) % len(f.controls.addresses)
			pause(ctx, retryPause)
		} else if leader, known := f.controls.leaderSince(f.failedAt); known {
			// The leader is watched first, but not while it fails watches.
			f.at = leader
		}
	}
}

func (f *Follower) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	answer, err := link.Call[message.Watch, message.WatchAnswer](ctx, f.controls.node, f.controls.addresses[f.at], message.WatchKind, f.watch())
	if err != nil {
		return err
	}
	f.watchedAt.Store(time.Now().UnixNano())
	f.advance(answer.Delta, answer.Confirmed)
	if !f.isTrusted() {
		// A process that cannot confirm its lead answers at once.
		f.at = (f.at + 1) % len(f.controls.addresses)
		pause(ctx, retryPause)
	}
	return nil
}

func (f *Follower) watch() message.Watch {
	f.mu.Lock()
	defer f.mu.Unlock()
	return message.Watch{Entry: f.self, Revision: f.newest.Revision, Version: f.View().Version,
		WaitMS: int(watchWait.Milliseconds()), Confirm: !f.trusted, Registered: f.registered.Load()}
}

func (f *Follower) isTrusted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.trusted
}

// advance takes a delta, which may be nil, and makes the newest view the
// one in force if it may be trusted. The view is on the disk before that.
func (f *Follower) advance(delta *view.Delta, trust bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if delta != nil {
		if next, newer := f.newest.Apply(*delta); newer {
			f.save(next)
			f.newest = next
		}
	}
	f.trusted = f.trusted || trust
	before := f.View()
	if !f.trusted || f.newest.Revision <= before.Revision {
		return
	}
	f.current.Store(f.newest)
	revisionGauge.Set(float64(f.newest.Revision))
	if _, listed := f.newest.Entries[f.self.ID]; listed {
		f.registered.Store(true)
	}
	if f.newest.Version != before.Version {
		f.recorder.Record(timeline.Event{Kind: timeline.VersionInForce, Version: f.newest.Version})
	}
	f.onChange()
}

func (f *Follower) save(v *view.View) {
	err := f.file.save(v)
	f.unsaved.Store(err != nil)
	if err != nil {
		f.log.Error("view was not saved", logging.Err(err))
	}
}

// MayConfirm says that a restart could not bring back an older view than
// the one in force, so that a drain may be confirmed.
func (f *Follower) MayConfirm() bool { return !f.unsaved.Load() }

// newestView returns the newest view known, which may not be in force yet.
func (f *Follower) newestView() *view.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

func (f *Follower) newestRevision() uint64 { return f.newestView().Revision }

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
