package scheduler

import (
	"context"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/scheduler/admit"
	"arbutusward.example/arbutusward/internal/process/scheduler/explain"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/access"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Explain tells what would happen to a call now. It has no effect. The error is
// explain.ErrBusy, that of the context, or a *link.Fault, which names the leader if
// another process leads.
func (s *Scheduler) Explain(ctx context.Context, q explain.Query) (*explain.Answer, error) {
	if err := s.explanations.Wait(ctx); err != nil {
		return nil, err
	}
	if err := s.server.read(ctx, func(*workstate.View) {}); err != nil {
		return nil, err
	}
	l := s.current.Load()
	if l == nil {
		return nil, &link.Fault{Code: workcall.CodeUnavailable, Message: "the leader has not begun to schedule"}
	}
	collected := make(chan *explain.Snapshot, 1)
	collect := func(l *loop) { collected <- l.explainSnapshot(q, time.Now()) }
	select {
	case l.events <- collect:
	case <-l.ctx.Done():
	case <-ctx.Done():
	}
	select {
	case snapshot := <-collected:
		return explain.Explain(snapshot), nil
	case <-l.ctx.Done():
		return nil, &link.Fault{Code: workcall.CodeUnavailable, Message: "the leadership has ended"}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// explainSnapshot collects what an explanation needs. It is called between two rounds.
func (l *loop) explainSnapshot(q explain.Query, now time.Time) *explain.Snapshot {
	s := &explain.Snapshot{Term: l.term, At: now, Closed: map[string]string{}, AnsweredAt: map[string]time.Time{}}
	l.Machine.Read(func(v *workstate.View) {
		at := planTime{now: now, wallMS: l.Now().UnixMilli()}
		s.Subject = explain.Examine(v, q, at.wallMS)
		s.Malformed = s.ID != "" && !workload.ValidJobID(s.ID)
		if s.Denied != access.Allowed || s.Queue == nil {
			return
		}
		s.Groups = l.waitingGroups(v, now)
		if job := s.Candidate(at.wallMS); job != nil {
			s.Groups = l.appendWaiting(s.Groups, v, job, 0, at)
		}
		if s.Spec != nil && l.admission.memory != nil {
			s.Memory = l.admission.memory.Decide(v, s.Spec, s.AccountName(), now)
		}
		u := &usage{round: l.roundNumber}
		l.countStarting(v, u)
		s.Accounts = l.accounts(v, u, s.Groups, now)
		l.addWorkers(s, v, u, now)
		s.Advised = l.Adviser != nil && s.Queue.Advice != nil
		if l.admission.board != nil && admit.RefusesForBacklog(v.Catalog()) {
			s.Load = l.admission.board.Newest(now)
		}
	})
	return s
}

// addWorkers adds the workers to a snapshot. What runs were recorded on them since the
// last round is not free, nor what was in use in that round.
func (l *loop) addWorkers(s *explain.Snapshot, v *workstate.View, u *usage, now time.Time) {
	recorded := map[string]workload.Resources{}
	for _, job := range v.Active() {
		job.EachExecuting(func(id workload.TaskID, task *workstate.Task) {
			recorded[task.Worker] = recorded[task.Worker].Add(job.Spec.Steps[id.Step].Charge())
		})
	}
	open := map[string]bool{}
	for _, w := range l.schedulableWorkers(u, now) {
		// The next round uses the memory of w again.
		worker := *w
		left := l.workers[w.ID].reg.Capacity.Sub(recorded[w.ID])
		worker.Free = workload.Resources{
			MilliCPU: min(w.Free.MilliCPU, left.MilliCPU), MemoryMB: min(w.Free.MemoryMB, left.MemoryMB), GPU: min(w.Free.GPU, left.GPU),
		}
		s.Open = append(s.Open, &worker)
		open[w.ID] = true
	}
	for _, w := range l.workerList {
		if w.reg.Service != s.Queue.Service {
			continue
		}
		s.AnsweredAt[w.reg.ID] = w.answeredAt
		if !open[w.reg.ID] {
			s.Closed[w.reg.ID] = l.closedReason(w, now)
		}
	}
}

// closedReason tells why schedulableWorkers leaves out a worker.
func (l *loop) closedReason(w *worker, now time.Time) string {
	switch {
	case !w.contacted:
		return "not reached by this leader yet"
	case w.unresponsive || now.Sub(w.answeredAt) >= maxAnswerAge:
		return "do not answer"
	case w.reg.Draining:
		return "drain"
	case !w.mayGetOrders() || !w.mayGetStarts(&w.reg):
		return "are being replaced"
	case l.maintenance.isCordoned(w.reg.VM):
		return "await maintenance of their VM"
	case l.hasOpenOrder(w.reg.VM) || l.draining[w.reg.VM]:
		return "await a move of their VM"
	case !l.capacityKnown(w, now):
		return "have not stated their capacity lately"
	case w.startsLeft() <= 0:
		return "have as many orders in flight as they may"
	}
	return "paused after a refusal"
}
