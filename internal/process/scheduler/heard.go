package scheduler

import (
	"context"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// heardInterval is the interval at which a follower tells the leader whose
// heartbeats it has acknowledged, a small part of lostAfter.
const heardInterval = time.Second

// relayHeard periodically tells the leader whose heartbeats this process has
// acknowledged, until the context ends.
func (s *Server) relayHeard(ctx context.Context, node *link.Node) {
	ticker := time.NewTicker(heardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.relayHeardOnce(ctx, node)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) relayHeardOnce(ctx context.Context, node *link.Node) {
	s.machine.Read(func(v *workstate.View) {
		s.heard.ForgetOthers(func(id string, incarnation int64) bool {
			w := v.Workers()[id]
			return w != nil && w.Incarnation == incarnation
		})
	})
	leader, status := s.Hello().Leader, s.replica.Status()
	if leader == "" || status.Leader == status.ID {
		return
	}
	heartbeats := s.heard.Take(leader)
	if len(heartbeats) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heardInterval)
	defer cancel()
	if err := link.Send(ctx, node, leader, workcall.HeardKind, workcall.HeardMessage{Heartbeats: heartbeats}); err != nil && ctx.Err() == nil {
		s.log.Warn("acknowledged heartbeats not told to the leader", "leader", leader, "workers", len(heartbeats), logging.Err(err))
	}
}
