package scheduler

import (
	"context"
	"math"
	"time"

	"arbutusward.example/arbutusward/internal/connection/ingress"
	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
)

// notLeader returns a NotLeaderError that names the leader, if it is known.
func notLeader(status replica.Status) error {
	for _, m := range status.Members {
		if m.ID == status.Leader && status.Leader != status.ID {
			return &replica.NotLeaderError{ID: m.ID, Link: m.Link, Admin: m.Admin}
		}
	}
	return &replica.NotLeaderError{}
}

// Hello returns the link addresses of the leader, the members, and those of them that
// entries call in place of the leader.
func (s *Server) Hello() workcall.HelloResponse {
	status := s.replica.Status()
	response := workcall.HelloResponse{LeaderSilenceMS: status.LeaderSilence.Milliseconds(), IsRelay: true, Zone: s.zone, Format: workstate.NewestFormat}
	workers := 0
	s.machine.Read(func(v *workstate.View) {
		response.CatalogVersion, workers = v.Catalog().Version, len(v.Workers())
		response.Limits = requestLimits(&v.Catalog().Limits)
	})
	for _, m := range status.Members {
		response.Members = append(response.Members, m.Link)
		switch {
		case m.ID == status.Leader:
			response.Leader = m.Link
		case workers > s.directWorkers:
			response.Relays = append(response.Relays, m.Link)
		}
	}
	return response
}

// requestLimits returns the limits of a catalog as the servers of requests enforce them.
func requestLimits(l *catalog.Limits) ingress.Limits {
	return ingress.Limits{
		MaxHeaderBytes: int(min(l.MaxHeaderBytes, math.MaxInt32)), MaxBodyBytes: l.MaxBodyBytes,
		HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
	}
}

// join adds a process with an empty disk as a member. A former member with the
// same link address has lost its disk and is removed first.
func (s *Server) join(ctx context.Context, peer link.Peer, r workcall.JoinRequest) (workcall.Done, error) {
	if peer.ID != r.ID {
		return workcall.Done{}, &link.Fault{Code: workcall.CodeUnavailable, Message: "the id is not the peer's"}
	}
	status := s.replica.Status()
	if status.Leader != status.ID {
		return workcall.Done{}, s.fault(notLeader(status))
	}
	if format := s.format(); r.Format < format {
		s.log.Warn("process not admitted, it can't read the commands of this deployment", "member", r.ID, "reads", r.Format, "needed", format)
		return workcall.Done{}, &link.Fault{Code: workcall.CodeUnavailable, Message: "the process can't read the commands of this deployment"}
	}
	s.admission.Memory.SetMember(r.ID, r.JobMemory, time.Now())
	for _, m := range status.Members {
		if m.ID == r.ID {
			return workcall.Done{}, nil
		}
		if m.Link != r.Link {
			continue
		}
		if err := s.replica.RemoveMember(ctx, m.ID); err != nil {
			return workcall.Done{}, s.fault(logging.Wrap(err, "remove the former member", m.ID))
		}
		s.log.Info("member with a lost disk removed", "member", m.ID, "link", m.Link)
	}
	member := replica.Member{ID: r.ID, Link: r.Link, Admin: r.Admin}
	if err := s.replica.AddMember(ctx, member); err != nil {
		return workcall.Done{}, s.fault(logging.Wrap(err, "add member", r.ID))
	}
	s.log.Info("member added", "member", r.ID, "link", r.Link)
	return workcall.Done{}, nil
}

// format returns the format of commands that members must be able to read.
func (s *Server) format() int {
	format := 0
	s.machine.Read(func(v *workstate.View) { format = v.Format() })
	return format
}
