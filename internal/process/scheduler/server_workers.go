package scheduler

import (
	"cmp"
	"context"
	"slices"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/rendezvous"
)

// Heartbeat handles the heartbeat of a worker. If it changes the registration
// of the worker, it is acknowledged after the change is committed.
func (s *Server) Heartbeat(ctx context.Context, r workcall.HeartbeatRequest) (workcall.HeartbeatResponse, error) {
	status := s.replica.Status()
	if status.Leader != status.ID {
		return workcall.HeartbeatResponse{}, s.fault(notLeader(status))
	}
	response := workcall.HeartbeatResponse{Status: workcall.OK, NextAddress: s.heartbeatAddress(r.Worker.ID, status)}
	r.Worker.Sequence, r.Worker.FirstClockMS = r.Sequence, r.ClockMS
	change := s.compareHeartbeat(&r)
	if change == unknownService {
		response.Status = workcall.Invalid
		return response, nil
	}
	if change == changed {
		result, err := s.propose(ctx, &workstate.Command{Register: &r.Worker})
		if err != nil {
			return response, err
		}
		s.logRegistered(&r, result)
	}
	heard := []workcall.HeardHeartbeat{heardFrom(&r)}
	s.heard.AddAll(heard)
	s.onHeartbeats(heard)
	return response, nil
}

// heartbeatAddress returns the address to which a worker of this leader sends its
// later heartbeats: that of a follower, which acknowledges those without news, or
// its own if no follower answers.
func (s *Server) heartbeatAddress(worker string, status replica.Status) string {
	var followers []string
	for _, m := range status.Members {
		if slices.Contains(status.Responsive, m.Link) {
			followers = append(followers, m.Admin)
		}
	}
	return cmp.Or(rendezvous.Choose(worker, followers), s.address)
}

// KnownHeartbeat acknowledges a heartbeat without news at a follower that hears
// the leader, so that the heartbeats of a large fleet are spread over the members.
// Everything else is for the leader.
func (s *Server) KnownHeartbeat(r workcall.HeartbeatRequest) (workcall.HeartbeatResponse, bool) {
	status := s.replica.Status()
	if status.Leader == "" || status.Leader == status.ID || status.LeaderSilence > workcall.MaxLeaderSilence {
		return workcall.HeartbeatResponse{}, false
	}
	r.Worker.Sequence = r.Sequence
	if s.compareHeartbeat(&r) != unchanged {
		return workcall.HeartbeatResponse{}, false
	}
	s.heard.Add(heardFrom(&r))
	return workcall.HeartbeatResponse{Status: workcall.OK, NextAddress: s.address}, true
}

// heardFrom returns what identifies a worker's heartbeat, when it was sent, and the
// capacity that it states.
func heardFrom(r *workcall.HeartbeatRequest) workcall.HeardHeartbeat {
	capacity := r.Worker.Capacity
	return workcall.HeardHeartbeat{Worker: r.Worker.ID, Incarnation: r.Worker.Incarnation, Sequence: r.Sequence, ClockMS: r.ClockMS, Capacity: &capacity}
}

// heartbeatChange is the effect of a heartbeat on the registration of a worker.
type heartbeatChange uint8

const (
	// unchanged means that the heartbeat has no new information, or that a
	// later heartbeat has replaced it.
	unchanged heartbeatChange = iota
	// changed means that the worker has to be registered with the new
	// information.
	changed
	// unknownService means that the configuration does not have the worker's
	// service.
	unknownService
)

// compareHeartbeat compares a heartbeat with the registered worker.
func (s *Server) compareHeartbeat(r *workcall.HeartbeatRequest) (change heartbeatChange) {
	w, late := &r.Worker, s.heard.IsLate(heardFrom(r))
	s.machine.Read(func(v *workstate.View) {
		if c := v.Catalog(); c.Version > 0 && c.Service(w.Service) == nil {
			change = unknownService
			return
		}
		known := v.Workers()[w.ID]
		switch {
		case known == nil:
			change = changed
		case late:
			change = unchanged
		case !w.Replaces(known) || sameWorker(known, w):
			change = unchanged
		case known.Incarnation == w.Incarnation && known.Draining:
			// Draining never ends within an incarnation: a heartbeat that
			// says otherwise was overtaken by a later one.
			change = unchanged
		default:
			change = changed
		}
	})
	return change
}

// sameWorker reports whether a heartbeat has no new information about a worker.
func sameWorker(a, b *workstate.Worker) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Zone == b.Zone && a.VM == b.VM && a.Incarnation == b.Incarnation &&
		a.Capacity == b.Capacity && a.Draining == b.Draining && slices.Equal(a.Labels, b.Labels)
}
