package scheduler

import (
	"context"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// leavingPoll is the interval at which the runs of a leaving worker are checked.
const leavingPoll = 20 * time.Millisecond

// Deregister removes a worker that has announced its end. The worker executes its
// runs until it has the answer, or for some seconds if the answer is lost, so
// they are stopped first.
func (s *Server) Deregister(ctx context.Context, r workcall.DeregisterRequest) (workcall.Done, error) {
	status := s.replica.Status()
	if status.Leader != status.ID {
		return workcall.Done{}, s.fault(notLeader(status))
	}
	incarnation, known, err := s.registeredIncarnation(ctx, r)
	if err != nil || !known {
		return workcall.Done{}, err
	}
	command := &workstate.Command{Deregister: &workstate.Deregister{ID: r.ID, Incarnation: incarnation, Announced: true}}
	result, err := s.propose(ctx, command)
	for err == nil && result.Code == workstate.Busy {
		if err = s.awaitNoRuns(ctx, r.ID, incarnation); err == nil {
			result, err = s.propose(ctx, command)
		}
	}
	s.log.Info("worker deregistered", "worker", r.ID, "incarnation", incarnation, "committed", err == nil)
	return workcall.Done{}, err
}

// registeredIncarnation returns the incarnation that is to be removed: the one
// that the request names or, if it names none, the registered one. It reports
// false if the worker is not registered.
func (s *Server) registeredIncarnation(ctx context.Context, r workcall.DeregisterRequest) (incarnation int64, known bool, err error) {
	incarnation = r.Incarnation
	look := func(v *workstate.View) {
		worker := v.Workers()[r.ID]
		known = worker != nil
		if known && incarnation == 0 {
			incarnation = worker.Incarnation
		}
	}
	s.machine.Read(look)
	if !known {
		// A process that lags behind does not know the worker or its runs yet.
		err = s.read(ctx, look)
	}
	return incarnation, known, err
}

// awaitNoRuns waits until no run is recorded on a leaving worker. The leader's
// loop stops them.
func (s *Server) awaitNoRuns(ctx context.Context, worker string, incarnation int64) error {
	runs := 0
	countRuns := func(v *workstate.View) { runs = v.RunsOn(worker) }
	s.machine.Read(countRuns)
	s.log.Info("worker leaving, its runs are stopped first", "worker", worker, "incarnation", incarnation, "runs", runs)
	ticker := time.NewTicker(leavingPoll)
	defer ticker.Stop()
	for runs > 0 {
		select {
		case <-ticker.C:
			s.machine.Read(countRuns)
		case <-ctx.Done():
			s.log.Warn("worker may not leave yet, its runs have not ended", "worker", worker, "incarnation", incarnation, "runs", runs)
			return &link.Fault{Code: workcall.CodeUnavailable, Message: "the worker's runs have not ended"}
		}
	}
	return nil
}
