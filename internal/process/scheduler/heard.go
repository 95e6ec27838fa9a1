package scheduler

import (
	"context"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/logging"
)

// heardInterval is the interval at which a follower tells the leader whose
// heartbeats it has acknowledged, a small part of lostAfter.
const heardInterval = time.Second

// heardWorkers collects workers whose heartbeats were acknowledged. It is safe
// for concurrent use.
type heardWorkers struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (h *heardWorkers) add(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ids == nil {
		h.ids = map[string]bool{}
	}
	h.ids[id] = true
}

// take removes and returns the collected workers.
func (h *heardWorkers) take() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	ids := make([]string, 0, len(h.ids))
	for id := range h.ids {
		ids = append(ids, id)
	}
	h.ids = nil
	return ids
}

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
	ids := s.heard.take()
	leader := s.Hello().Leader
	if len(ids) == 0 || leader == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heardInterval)
	defer cancel()
	if err := link.Send(ctx, node, leader, workcall.HeardKind, workcall.HeardMessage{Workers: ids}); err != nil && ctx.Err() == nil {
		s.log.Warn("acknowledged heartbeats not told to the leader", "leader", leader, "workers", len(ids), logging.Err(err))
	}
}
