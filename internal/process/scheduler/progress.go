package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/scheduler/progresslog"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// commit proposes progress to the replicated log. The result returns as an event.
func (l *loop) commit(progress *workstate.Progress) {
	l.committing = true
	packs := l.format >= workstate.FormatPacked
	go func() {
		start := time.Now()
		command := &workstate.Command{Progress: progress}
		if packs {
			command = &workstate.Command{Packed: workstate.Pack(progress)}
			// The result tells of the starts in this order.
			progress = command.Packed.Unpack()
		}
		result, err := propose(l.ctx, l.Replica, command, l.Now())
		commitSeconds.UpdateDuration(start)
		l.post(func(l *loop) {
			l.lastCommit = time.Since(start)
			l.loadLog.RecordCommit(l.lastCommit)
			l.committed(progress, start, result, err)
		})
	}()
}

// committed handles the result of a commit that was proposed at plannedAt, and sends the
// start orders of the runs that were recorded.
func (l *loop) committed(progress *workstate.Progress, plannedAt time.Time, result workstate.Result, err error) {
	l.committing = false
	l.dirty = true
	if err != nil {
		l.Log.Warn("commit of progress not confirmed", "starts", len(progress.Starts), "ends", len(progress.Ends), "error", err.Error())
		l.awaitOutcome()
		return
	}
	for _, end := range progress.Ends {
		l.dropEnd(runKey{end.Task, end.Run})
	}
	endedRuns.Add(len(progress.Ends))
	progresslog.Write(l.Log, progress, result.Started)
	l.Machine.Read(func(v *workstate.View) {
		l.logGivenUp(v, progress.Ends)
		l.dropCommittedEnds(progress.Ends)
		for i, ok := range result.Started {
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
