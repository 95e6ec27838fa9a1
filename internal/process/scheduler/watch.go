package scheduler

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/fencing"
	"arbutusward.example/arbutusward/internal/process/workerlease"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/pacing"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// syncWorkers updates the table of workers from the registered workers, if these
// have changed.
func (l *loop) syncWorkers(v *workstate.View) {
	version, catalog := v.WorkersVersion(), v.Catalog().Version
	if version == l.syncedVersion && catalog == l.syncedCatalog {
		return
	}
	l.syncedVersion, l.syncedCatalog = version, catalog
	l.findCrashes(v, time.Now())
	for id, reg := range v.Workers() {
		w := l.workers[id]
		if w == nil || w.reg.Incarnation != reg.Incarnation || w.reg.Address != reg.Address {
			// What was known about an earlier incarnation does not apply to a
			// new one.
			if w != nil {
				w.removed = true
			}
			l.addWorker(&worker{reg: *reg, speed: pacing.Full}, time.Now())
			continue
		}
		w.reg = *reg
	}
	for id, w := range l.workers {
		if v.Workers()[id] == nil {
			w.removed = true
			delete(l.workers, id)
			l.Workers.Forget(w.reg.Address)
		}
	}
	l.workerList = slices.DeleteFunc(l.workerList, func(w *worker) bool { return w.removed })
	for _, w := range l.workerList {
		w.enforcesCapacity = serviceEnforces(v, w.reg.Service)
		w.rack = rackOf(w.reg.Labels)
	}
}

// addWorker adds a worker that this leader has just learned of to the table and to the
// list.
func (l *loop) addWorker(w *worker, now time.Time) {
	generation := l.generations.Next(w.reg.ID)
	w.token = fencing.NewToken(l.term, generation)
	w.lease = workerlease.NewBound(workerlease.Origin{IDReused: w.reg.Restarted || generation > 0, FirstClockMS: w.reg.FirstClockMS}, now)
	if heartbeat, known := l.heard.NewestOf(w.reg.ID); known && heartbeat.Incarnation == w.reg.Incarnation {
		w.lease.Heard(heartbeat.ClockMS)
	}
	l.workers[w.reg.ID] = w
	at, _ := slices.BinarySearchFunc(l.workerList, w.reg.ID, func(listed *worker, id string) int { return cmp.Compare(listed.reg.ID, id) })
	l.workerList = slices.Insert(l.workerList, at, w)
}

// watchWorkers requests a report from each worker, one at a time per worker. A
// worker that has reported ends is watched again once these are committed.
func (l *loop) watchWorkers(now time.Time) {
	for _, w := range l.workerList {
		if w.unresponsive && !w.deregistering && w.lost(now, l.Limits.LongestLease) {
			l.logLost(w, now)
			l.deregister(workerIncarnation{w.reg.ID, w.reg.Incarnation})
		}
		if w.watching || now.Before(w.nextWatch) || w.reportedEnd > w.ackedEnd {
			continue
		}
		l.watch(w, now)
	}
}

// watch requests a report from a worker. The answer returns as an event.
func (l *loop) watch(w *worker, now time.Time) {
	request := execution.Watch{FencingToken: uint64(w.token)}
	// The first report is wanted at once. An unresponsive worker may still
	// receive calls, and its lease must not be extended. It may also have
	// restarted, in which case the ends of the new incarnation must not be
	// acknowledged.
	if w.inTouch() && l.inContact() {
		request.LeaseUntilMS = w.lease.Grant(now)
		if w.ackedEnd > w.confirmedAck {
			request.AckedEnd = w.ackedEnd
		}
		request.WaitMS = int(l.watchWait(w).Milliseconds())
	}
	w.watchToken = w.token
	request.EndsOnly = w.report != nil && now.Sub(w.report.sentAt) < rowsAge
	request.Prompt = request.WaitMS == 0 || w.ackedEnd > w.requestedAck
	w.requestedAck = w.ackedEnd
	w.watching = true
	watchCalls.Inc()
	timeout := time.Duration(request.WaitMS)*time.Millisecond + callTimeout
	execution.WatchInBackground(l.ctx, l.Workers, w.address(), request, timeout, func(report execution.Report, err error) {
		l.post(func(l *loop) {
			hasEffect := request.LeaseUntilMS > 0 || request.AckedEnd > 0
			l.fenceOff(w, fencing.Token(request.FencingToken), hasEffect && err != nil)
			if err == nil && report.Refusal == execution.Accepted && report.Incarnation == w.reg.Incarnation {
				w.confirmedAck = max(w.confirmedAck, request.AckedEnd)
			}
			l.handleReport(w, now, report, err)
		})
	})
}

// fenceOff raises the token of a worker's later calls if one with the given token may
// still have an effect, since it got no answer.
func (l *loop) fenceOff(w *worker, called fencing.Token, open bool) {
	if open && !w.removed {
		w.token = l.generations.Raise(w.reg.ID, w.token, called)
	}
}

// inContact reports whether this process still leads in the loop's term and a
// majority has answered what it sent recently, so that no other process can have led
// for long. The loop ends a moment after its leadership.
func (l *loop) inContact() bool {
	status := l.Replica.Status()
	return status.InContact() && status.Term == l.term
}

// handleReport handles the answer to a watch.
func (l *loop) handleReport(w *worker, sentAt time.Time, report execution.Report, err error) {
	now := time.Now()
	w.watching = false
	if w.removed {
		l.recordRefusal(w, "watch", report.Refusal)
		return
	}
	if err != nil || report.Refusal != execution.Accepted {
		l.dirty = true
		l.handleWatchFailure(w, now, report.Refusal, err)
		return
	}
	if report.Incarnation > 0 && report.Incarnation < w.reg.Incarnation {
		l.noteUnregistered(w, report.Incarnation, now)
		l.handleWatchFailure(w, now, execution.RefusedOtherWorker, nil)
		return
	}
	first := !w.contacted && report.Incarnation <= w.reg.Incarnation
	if !w.answering() {
		l.dirty = true
		if !first {
			l.Log.Info("worker responsive", "worker", w.reg.ID, "incarnation", w.reg.Incarnation, "running", len(report.Running), "ended", len(report.Ended))
		}
	}
	w.unresponsive, w.listedEnded = false, false
	w.answeredAt = now
	if report.Incarnation > w.reg.Incarnation {
		w.superseded = true
		l.registerRestart(w, &report)
		return
	}
	if !w.otherAnsweredAt.IsZero() && sentAt.After(w.otherAnsweredAt) {
		w.superseded = false
	}
	l.recordClock(w, &report, first, now)
	l.recordReport(w, sentAt, &report)
}

// recordClock records the worker's clock from a report of its incarnation, which may be the
// first contact with that.
func (l *loop) recordClock(w *worker, report *execution.Report, first bool, now time.Time) {
	w.lease.Record(report.ClockMS, now)
	if report.Incarnation == w.reg.Incarnation {
		w.reportClockMS = max(w.reportClockMS, report.ClockMS)
	}
	if first {
		w.contacted = true
		w.lease.Contact(l.Limits.LongestLease)
		l.logContact(w, report, now)
	}
}

// recordReport records what a report, which was requested at sentAt, lists.
func (l *loop) recordReport(w *worker, sentAt time.Time, report *execution.Report) {
	if report.UnreadableRows != w.unreadableRows {
		l.Log.Warn("rows of a report left out, they can't be read", "worker", w.reg.ID, "rows", report.UnreadableRows, "before", w.unreadableRows)
		w.unreadableRows = report.UnreadableRows
	}
	w.endsOnly = report.EndsOnly
	if report.EndsOnly && w.report != nil {
		w.report.addEnds(report)
	} else {
		w.report = newReportView(sentAt, report)
	}
	if end := newestEnd(report); end > w.reportedEnd {
		// The ends free capacity. Anything else in a report can wait for the
		// next tick.
		w.reportedEnd = end
		l.dirty = true
	}
}

// noteUnregistered notes that an incarnation answers which can't be registered in the place of
// the present one before that is found lost, since it is the lower one.
func (l *loop) noteUnregistered(w *worker, incarnation int64, now time.Time) {
	if w.unregistered == incarnation {
		return
	}
	w.unregistered = incarnation
	l.Log.Warn("worker restarted with an earlier clock, no use of its reports until it is registered", "worker", w.reg.ID, "registered", w.reg.Incarnation, "answers", incarnation)
	if !w.superseded || w.otherAnsweredAt.IsZero() {
		l.suspendCalls(w, now)
	}
}

// handleWatchFailure handles a failed or refused watch. The worker keeps its
// runs until its lease expires. The failure is expected if the worker's VM was
// ordered away: the next list of VMs then tells whether the worker has ended.
func (l *loop) handleWatchFailure(w *worker, now time.Time, refusal execution.Refusal, err error) {
	w.nextWatch = now.Add(watchRetry)
	expected := l.hasOpenOrder(w.reg.VM)
	if expected {
		w.nextWatch = now.Add(listIntervalBusy)
	}
	if !w.unresponsive && !expected {
		l.logUnresponsive(w, now, refusal, err)
	}
	if !w.unresponsive {
		w.failedAt = now
	}
	w.unresponsive = true
	if refusal == execution.RefusedFencingToken && w.watchToken == w.token {
		l.Log.Error("fencing token refused, a newer leader has called the worker", "worker", w.reg.ID, "term", l.term)
	}
}

// registerRestart registers the incarnation that has sent a report, as a worker that has
// restarted under the same id. Until its first heartbeat it is taken for like the former one,
// but it does not drain, it has no labels, since it may be of another kind, and if it
// starts whatever it is told, it has no capacity.
func (l *loop) registerRestart(w *worker, report *execution.Report) {
	reg := w.reg
	reg.Incarnation = report.Incarnation
	reg.FirstClockMS = report.ClockMS
	reg.Sequence = 0
	reg.Draining = false
	reg.Labels = nil
	l.Machine.Read(func(v *workstate.View) {
		if !serviceEnforces(v, reg.Service) {
			reg.Capacity = workload.Resources{}
		}
	})
	w.nextWatch = time.Now().Add(watchRetry)
	l.Log.Info("worker restarted", "worker", reg.ID, "from", w.reg.Incarnation, "to", report.Incarnation, "clock_ms", report.ClockMS)
	go func() {
		_, err := propose(l.ctx, l.Replica, &workstate.Command{Register: &reg}, l.Now())
		if err != nil && !errors.Is(err, context.Canceled) {
			l.Log.Warn("registration of a restarted worker not confirmed", "worker", reg.ID, "error", err.Error())
		}
		l.post(func(l *loop) { l.dirty = true })
	}()
}

// recordHeartbeats records that heartbeats of workers were received.
func (l *loop) recordHeartbeats(heartbeats []workcall.HeardHeartbeat, now time.Time) {
	for _, heartbeat := range heartbeats {
		w := l.workers[heartbeat.Worker]
		if w == nil || (heartbeat.Incarnation != 0 && heartbeat.Incarnation != w.reg.Incarnation) {
			continue
		}
		w.heartbeatAt = now
		if heartbeat.Incarnation != 0 {
			w.heartbeatClockMS = max(w.heartbeatClockMS, heartbeat.ClockMS)
			w.lease.Heard(heartbeat.ClockMS)
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
