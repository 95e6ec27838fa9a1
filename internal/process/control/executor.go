package control

import (
	"context"
	"time"

	"arbutusward.example/arbutusward/internal/connection/platform"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/plan/capacity"
	"arbutusward.example/arbutusward/internal/version/plan/moves"
	"arbutusward.example/arbutusward/internal/version/plan/wave"
)

const (
	// planInterval is the time between two plans while something is under
	// way, idleInterval otherwise.
	planInterval = 250 * time.Millisecond
	idleInterval = time.Second
	// reserveInterval is the time between two plans of the reserve.
	reserveInterval = 30 * time.Second
	// proposeTimeout bounds one command of the executor.
	proposeTimeout = 3 * time.Second
)

// executor runs the planners while this process leads and proposes their
// steps. Nothing is kept across a change of leader: what matters is in the
// replicated state, the rest is observed anew.
type executor struct {
	server   *Server
	sights   *sights
	platform *platformCalls
	// revision and plannedAt are those of the last plan.
	revision  uint64
	plannedAt time.Time
	// reserveAt is when the reserve was last planned.
	reserveAt time.Time
	// load is the smoothed use of the pools.
	load   moves.Load
	cancel context.CancelFunc
	done   chan struct{}
}

// startExecutor begins to plan.
func (s *Server) startExecutor() *executor {
	ctx, cancel := context.WithCancel(context.Background())
	e := &executor{server: s, sights: newSights(), cancel: cancel, done: make(chan struct{})}
	if s.settings.Platform != "" {
		e.platform = newPlatformCalls(platform.NewHTTP(s.settings.Platform), s.log)
	}
	go e.run(ctx)
	return e
}

// stop ends the planning; when it returns no further step is proposed. A
// nil executor has nothing to end.
func (e *executor) stop() {
	if e == nil {
		return
	}
	e.cancel()
	<-e.done
}

func (e *executor) run(ctx context.Context) {
	defer close(e.done)
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.tick(ctx, now)
		}
	}
}

// tick takes one snapshot, plans on it and proposes the steps.
func (e *executor) tick(ctx context.Context, now time.Time) {
	f := e.server.machine.Fleet()
	if f.Version == 0 || !e.due(f, now) {
		return
	}
	in := e.server.planInput(f, e.sights, e.platform, now)
	e.server.snapshot.Store(&in)
	gate := plan.NewGate(&in)
	noteMetrics(&in, gate)
	moved := moves.Plan(&in, gate)
	waved := wave.Plan(&in, gate)
	e.load = e.load.Observe(&in)
	e.server.outlook.Store(&outlook{moves: moved.Blocked, waves: waved.Blocked, proposals: moves.Propose(&in, e.load)})
	if now.Sub(e.reserveAt) >= reserveInterval {
		e.reserveAt = now
		noteReserve(capacity.Plan(&in))
	}
	e.proposeMoves(ctx, moved.Steps)
	e.proposeWaves(ctx, waved)
	e.order(ctx)
}

// due says whether it is time to plan: at once after a change, often while
// something is under way, and now and then otherwise.
func (e *executor) due(f *state.Fleet, now time.Time) bool {
	busy := len(f.Moves) > 0
	for _, run := range f.Runs {
		busy = busy || run.Open()
	}
	if !busy && f.Revision == e.revision && now.Sub(e.plannedAt) < idleInterval {
		return false
	}
	e.revision, e.plannedAt = f.Revision, now
	return true
}

func (e *executor) proposeMoves(ctx context.Context, steps []plan.MoveStep) {
	for _, step := range steps {
		if err := e.propose(ctx, state.StepMove, step); err != nil {
			e.refused("move "+string(step.Kind), step.VM, err)
			continue
		}
		e.recordMove(step)
	}
}

func (e *executor) proposeWaves(ctx context.Context, waved wave.Result) {
	for _, losses := range waved.Losses {
		if err := e.propose(ctx, state.RecordLosses, losses); err != nil {
			e.refused("note losses", losses.Run, err)
			continue
		}
		e.recordLosses(losses)
	}
	for _, step := range waved.Steps {
		if err := e.propose(ctx, state.StepWave, step); err != nil {
			e.refused("wave "+string(step.To), step.VM, err)
			continue
		}
		e.recordStep(step)
	}
	for _, run := range waved.Ended {
		if err := e.propose(ctx, state.EndWave, state.WaveEnd{Run: run}); err != nil {
			e.refused("end wave", run, err)
			continue
		}
		e.server.recorder.Record(timeline.Event{Kind: timeline.WaveEnded, Wave: run, Cause: "every VM is done"})
	}
}

// propose replicates one command, as long as this process leads.
func (e *executor) propose(ctx context.Context, kind state.Kind, body any) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := propose[any](ctx, e.server, kind, body)
	return err
}

// refused logs a step that newer state does not allow; the next plan
// starts from that state.
func (e *executor) refused(step, item string, err error) {
	e.server.log.Info("step not taken", "step", step, "item", item, logging.Err(err))
}

// order has the platform carry out the reboots that the state asks for.
func (e *executor) order(ctx context.Context) {
	if e.platform == nil {
		return
	}
	for _, run := range e.server.machine.Fleet().Runs {
		for vm, progress := range run.VMs {
			if progress.State == plan.Rebooting || progress.State == plan.Lost {
				e.platform.ensure(ctx, vm, progress.Order)
			}
		}
	}
}
