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
	// planInterval is the interval between plans while a move or a wave is
	// active, idleInterval the interval otherwise.
	planInterval = 250 * time.Millisecond
	idleInterval = time.Second
	// reserveInterval is the interval between plans of the reserve.
	reserveInterval = 30 * time.Second
	// proposeTimeout limits the time of one command of the executor.
	proposeTimeout = 3 * time.Second
)

// executor runs the planners while this process leads and proposes their
// steps. It keeps nothing across a change of leader: what must survive is in
// the replicated state, the rest is observed again.
type executor struct {
	server   *Server
	liveness *livenessTracker
	platform *platformCalls
	// revision and plannedAt are the revision and the time of the last plan.
	revision  uint64
	plannedAt time.Time
	// reserveAt is the time of the last plan of the reserve.
	reserveAt time.Time
	// load is the smoothed use of the pools.
	load   moves.Load
	cancel context.CancelFunc
	done   chan struct{}
}

// startExecutor starts an executor.
func (s *Server) startExecutor() *executor {
	ctx, cancel := context.WithCancel(context.Background())
	e := &executor{server: s, liveness: newLivenessTracker(), cancel: cancel, done: make(chan struct{})}
	if s.settings.Platform != "" {
		e.platform = newPlatformCalls(platform.NewHTTP(s.settings.Platform), s.log)
	}
	go e.run(ctx)
	return e
}

// stop stops the executor. No further step is proposed after it returns. It
// does nothing on a nil executor.
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

// tick takes a snapshot, plans on it and proposes the steps.
func (e *executor) tick(ctx context.Context, now time.Time) {
	f := e.server.machine.Fleet()
	if f.Version == 0 || !e.isDue(f, now) {
		return
	}
	in := e.server.planInput(f, e.liveness, e.platform, now)
	e.server.snapshot.Store(&in)
	gate := plan.NewGate(&in)
	setPlanGauges(&in, gate)
	movePlan := moves.Plan(&in, gate)
	wavePlan := wave.Plan(&in, gate)
	e.load = e.load.Observe(&in)
	e.server.planOutcome.Store(&planOutcome{moves: movePlan.Blocked, waves: wavePlan.Blocked, proposals: moves.Propose(&in, e.load)})
	if now.Sub(e.reserveAt) >= reserveInterval {
		e.reserveAt = now
		setReserveGauges(capacity.Plan(&in))
	}
	e.proposeMoves(ctx, movePlan.Steps)
	e.proposeWaves(ctx, wavePlan)
	e.orderReboots(ctx)
}

// isDue reports whether to plan now: at once after a change, at every tick
// while a move or a wave is active, and every idleInterval otherwise. If so,
// it records the revision and the time as those of the last plan.
func (e *executor) isDue(f *state.Fleet, now time.Time) bool {
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
			e.logProposalError("move "+string(step.Kind), step.VM, err)
			continue
		}
		e.recordMove(step)
	}
}

func (e *executor) proposeWaves(ctx context.Context, wavePlan wave.Result) {
	for _, losses := range wavePlan.Losses {
		if err := e.propose(ctx, state.RecordLosses, losses); err != nil {
			e.logProposalError("record losses", losses.Run, err)
			continue
		}
		e.recordLosses(losses)
	}
	for _, step := range wavePlan.Steps {
		if err := e.propose(ctx, state.StepWave, step); err != nil {
			e.logProposalError("wave "+string(step.To), step.VM, err)
			continue
		}
		e.recordStep(step)
	}
	for _, run := range wavePlan.Ended {
		if err := e.propose(ctx, state.EndWave, state.WaveEnd{Run: run}); err != nil {
			e.logProposalError("end wave", run, err)
			continue
		}
		e.server.recorder.Record(timeline.Event{Kind: timeline.WaveEnded, Wave: run, Cause: "every VM is done"})
	}
}

// propose replicates one command. It fails if this process does not lead.
func (e *executor) propose(ctx context.Context, kind state.Kind, body any) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := propose[any](ctx, e.server, kind, body)
	return err
}

// logProposalError logs a step whose proposal failed: the step was rejected, for
// example because the state has changed since the plan, or its result is
// unknown. The next plan starts from the newer state.
func (e *executor) logProposalError(step, item string, err error) {
	e.server.log.Info("step proposal failed", "step", step, "item", item, logging.Err(err))
}

// orderReboots has the platform execute the reboots that the state requires.
func (e *executor) orderReboots(ctx context.Context) {
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
