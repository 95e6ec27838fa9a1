package entry

import (
	"context"
	"errors"
	"log/slog"
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
	watchTimeout = watchWait + 1500*time.Millisecond
	retryPause   = 200 * time.Millisecond
)

// Follower keeps the entry's view up to date. The view only ever gets newer.
type Follower struct {
	self     view.Entry
	node     *link.Node
	control  []string
	recorder *timeline.Recorder
	log      *slog.Logger
	onChange func()

	current atomic.Pointer[view.View]
	// leader indexes control: the process that is asked next.
	leader int
}

// NewFollower returns a follower with an empty view.
func NewFollower(self view.Entry, node *link.Node, control []string, recorder *timeline.Recorder, log *slog.Logger, onChange func()) *Follower {
	f := &Follower{self: self, node: node, control: control, recorder: recorder, log: log, onChange: onChange}
	f.current.Store(view.Empty())
	return f
}

// View returns the newest view.
func (f *Follower) View() *view.View { return f.current.Load() }

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.watchOnce(ctx); err != nil && ctx.Err() == nil {
			f.log.Warn("watch failed", logging.Err(err))
			f.turn(err)
			pause(ctx, retryPause)
		}
	}
}

func (f *Follower) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	current := f.View()
	watch := message.Watch{Entry: f.self, Revision: current.Revision, Version: current.Version, WaitMS: int(watchWait.Milliseconds())}
	answer, err := link.Call[message.Watch, message.WatchAnswer](ctx, f.node, f.control[f.leader], message.WatchKind, watch)
	if err != nil {
		return err
	}
	if answer.Delta != nil {
		f.apply(*answer.Delta)
	}
	return nil
}

func (f *Follower) apply(delta view.Delta) {
	before := f.View()
	next, newer := before.Apply(delta)
	if !newer {
		return
	}
	f.current.Store(next)
	if next.Version != before.Version {
		f.recorder.Record(timeline.Event{Kind: timeline.VersionInForce, Version: next.Version})
	}
	f.onChange()
}

// turn picks the control process to ask next: the leader that the fault
// names, or else the next in the settings.
func (f *Follower) turn(err error) {
	var fault *link.Fault
	if errors.As(err, &fault) && fault.Leader != "" {
		for i, address := range f.control {
			if address == fault.Leader {
				f.leader = i
				return
			}
		}
	}
	f.leader = (f.leader + 1) % len(f.control)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
