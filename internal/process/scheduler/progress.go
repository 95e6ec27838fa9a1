package scheduler

import (
	"fmt"
	"time"

	"arbutusward.example/arbutusward/internal/process/scheduler/progresslog"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// commit proposes progress to the replicated log, in one command or, if it names many runs,
// in several. The result returns as an event.
func (l *loop) commit(progress *workstate.Progress) {
	l.committing = true
	packs := l.format >= workstate.FormatPacked
	go func() {
		start := time.Now()
		done, err := l.proposeProgress(progress, packs)
		commitSeconds.UpdateDuration(start)
		l.post(func(l *loop) {
			l.lastCommit = time.Since(start)
			l.loadLog.RecordCommit(l.lastCommit)
			l.committed(done, start)
			if err != nil {
				l.Log.Warn("commit of progress not confirmed", "runs", progress.Runs()-done.Runs(), "confirmed", done.Runs(), "error", err.Error())
				l.awaitOutcome()
			}
		})
	}()
}

// committedProgress is the progress that was committed. started tells for each of its starts
// whether the run was recorded.
type committedProgress struct {
	workstate.Progress
	started []bool
}

// proposeProgress commits progress in commands of limited size, one after the other. It
// returns what is confirmed. After an error the rest may be committed too.
func (l *loop) proposeProgress(progress *workstate.Progress, packs bool) (done committedProgress, err error) {
	for _, part := range progress.Split() {
		command := &workstate.Command{Progress: part}
		if packs {
			command = &workstate.Command{Packed: workstate.Pack(part)}
			// The result tells of the starts in this order.
			part = command.Packed.Unpack()
		}
		result, err := propose(l.ctx, l.Replica, command, l.Now())
		if err != nil {
			return done, err
		}
		if len(result.Started) != len(part.Starts) {
			return done, fmt.Errorf("%w: it tells of %d of %d starts", errUnexpectedResult, len(result.Started), len(part.Starts))
		}
		done.Survivals = append(done.Survivals, part.Survivals...)
		done.Ends = append(done.Ends, part.Ends...)
		done.Starts = append(done.Starts, part.Starts...)
		done.started = append(done.started, result.Started...)
	}
	return done, nil
}

// committed handles progress that was committed and had been planned at a time, and sends
// the start orders of the runs that were recorded.
func (l *loop) committed(progress committedProgress, plannedAt time.Time) {
	l.committing = false
	l.dirty = true
	if progress.Runs() == 0 {
		return
	}
	for _, end := range progress.Ends {
		l.dropEnd(runKey{end.Task, end.Run})
	}
	endedRuns.Add(len(progress.Ends))
	progresslog.Write(l.Log, &progress.Progress, progress.started)
	l.Machine.Read(func(v *workstate.View) {
		l.logGivenUp(v, progress.Ends)
		l.dropCommittedEnds(progress.Ends)
		for i, ok := range progress.started {
			if ok {
				l.startRun(v, &progress.Starts[i], plannedAt)
			}
		}
	})
}

// awaitOutcome keeps the loop from starting runs until its state has all that was
// proposed before, or the leadership ends.
func (l *loop) awaitOutcome() {
	if l.unconfirmed {
		return
	}
	l.unconfirmed = true
	go func() {
		for l.Replica.ReadBarrier(l.ctx) != nil {
			// A former leader gets an error until its leadership ends.
			select {
			case <-l.ctx.Done():
				return
			case <-time.After(tickInterval):
			}
		}
		l.post(func(l *loop) { l.unconfirmed, l.dirty = false, true })
	}()
}

// dropCommittedEnds removes the runs whose ends were committed, which no longer execute.
func (l *loop) dropCommittedEnds(ends []workstate.End) {
	for i := range ends {
		l.runs.Remove(ends[i].Task, func(r *run) bool { return r.number == ends[i].Run })
	}
}
