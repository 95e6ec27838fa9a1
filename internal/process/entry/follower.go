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

// Timing of the follower.
const (
	// watchWait bounds how long a control process may delay its answer to a
	// watch until the view changes.
	watchWait = time.Second
	// watchTimeout bounds a whole watch.
	watchTimeout = watchWait + 700*time.Millisecond
	// retryPause is the time to the next watch after one that failed or that the
	// process answered without being able to confirm that it leads.
	retryPause = 100 * time.Millisecond
	// StartHoldOff is the time after its start from which an entry that
	// can't reach control uses the view of its disk or of a zone peer. It is
	// longer than ConfirmationLifetime: by then control no longer counts any
	// drain that an earlier incarnation of the entry confirmed.
	StartHoldOff = 4 * time.Second
	// ConfirmationLifetime is how long after a report control may count the
	// confirmations of drains in it.
	ConfirmationLifetime = 3 * time.Second
)

// Follower keeps the entry's view up to date. It never replaces a view by an
// older one.
type Follower struct {
	self     view.Entry
	controls *controls
	file     viewFile
	recorder *timeline.Recorder
	log      *slog.Logger
	onChange func()
	started  time.Time

	// mu guards newest and trusted, and the replacement of current.
	mu sync.Mutex
	// newest is the newest known view, trusted or not.
	newest *view.View
	// trusted is set once newest may be used: the leader has confirmed it, or
	// control was unreachable for StartHoldOff.
	trusted bool
	// current is the view in force. It is empty until newest is trusted.
	current atomic.Pointer[view.View]
	// registered is set once a view has listed this incarnation of the entry.
	registered atomic.Bool
	// watchedAt is when control last answered a watch; nil before. Its reading of the
	// monotonic clock is kept, since the wall clock may be set.
	watchedAt atomic.Pointer[time.Time]
	// watched is the index of the control process that is watched.
	watched int
	// failedAt is when a watch last failed.
	failedAt time.Time
	// unsaved is set if the disk may hold an older view than was in force.
	unsaved atomic.Bool
}

// newFollower returns a follower that starts from the view on the disk, if any.
func newFollower(self view.Entry, c *controls, file viewFile, recorder *timeline.Recorder, log *slog.Logger, onChange func()) *Follower {
	f := &Follower{self: self, controls: c, file: file, recorder: recorder, log: log, onChange: onChange, started: time.Now()}
	saved, err := file.load()
	if err != nil {
		log.Warn("saved view unusable, starting without a view", logging.Err(err))
	}
	f.newest = saved
	f.current.Store(view.Empty())
	return f
}

// View returns the view in force.
func (f *Follower) View() *view.View { return f.current.Load() }

// Removed reports whether this incarnation of the entry was registered and has
// been removed. Control then counts it as powered off, so it must not dispatch
// requests.
func (f *Follower) Removed() bool {
	_, listed := f.View().Entries[f.self.ID]
	return f.registered.Load() && !listed
}

// CutOff reports whether no control process has answered a watch for the given
// time.
func (f *Follower) CutOff(limit time.Duration) bool {
	at := f.watchedAt.Load()
	return at == nil || time.Since(*at) > limit
}

// recordWatch records that control has answered a watch.
func (f *Follower) recordWatch() {
	now := time.Now()
	f.watchedAt.Store(&now)
}

// Run watches the control processes until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.watchOnce(ctx); err != nil && ctx.Err() == nil {
			f.log.Warn("watch failed", logging.Err(err))
			f.failedAt = time.Now()
			watchesFailed.Inc()
			f.watched = (f.watched + 1) % len(f.controls.addresses)
			pause(ctx, retryPause)
		} else if leader, known := f.controls.leaderSince(f.failedAt); known {
			// The leader is preferred unless a watch has failed since it last
			// answered a call.
			f.watched = leader
		}
	}
}

// watchOnce sends one watch to the watched control process and applies the
// answer.
func (f *Follower) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	answer, err := link.Call[message.Watch, message.WatchAnswer](ctx, f.controls.node, f.controls.addresses[f.watched], message.WatchKind, f.watch())
	if err != nil {
		return err
	}
	f.recordWatch()
	f.advance(answer.Delta, answer.Confirmed)
	if !f.isTrusted() {
		// The process could not confirm that it leads, and answered without
		// waiting for changes: watch the next one after a pause.
		f.watched = (f.watched + 1) % len(f.controls.addresses)
		pause(ctx, retryPause)
	}
	return nil
}

// watch returns the next watch message.
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

// advance applies a delta, which may be nil, to the newest view and saves the
// result to disk. Then it puts the newest view in force if it is or becomes
// trusted, even if saving it failed: see MayConfirm.
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

// save saves a view to disk, and records whether that failed.
func (f *Follower) save(v *view.View) {
	err := f.file.save(v)
	f.unsaved.Store(err != nil)
	if err != nil {
		f.log.Error("view save failed", logging.Err(err))
	}
}

// MayConfirm reports whether drains may be confirmed. They may not if a restart
// could bring back an older view than the one in force.
func (f *Follower) MayConfirm() bool { return !f.unsaved.Load() }

// newestView returns the newest known view, which may not be in force yet.
func (f *Follower) newestView() *view.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

func (f *Follower) newestRevision() uint64 { return f.newestView().Revision }

// pause blocks for the duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
