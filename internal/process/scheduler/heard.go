package scheduler

import (
	"context"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// heardInterval is the interval at which a follower tells the leader whose
// heartbeats it has acknowledged, a small part of lostAfter.
const heardInterval = time.Second

// heardWorkers holds the newest heartbeat of each worker that was acknowledged here
// or that a follower has told of. It is safe for concurrent use.
type heardWorkers struct {
	mu     sync.Mutex
	newest map[string]heardHeartbeat
	// untold holds the workers of which the leader toldTo was not told yet.
	untold map[string]bool
	toldTo string
}

// heardHeartbeat is a heartbeat and when it became known here.
type heardHeartbeat struct {
	workcall.HeardHeartbeat
	knownAt time.Time
}

// add records a heartbeat that the leader is to be told of.
func (h *heardWorkers) add(heartbeat workcall.HeardHeartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record(heartbeat)
	if h.untold == nil {
		h.untold = map[string]bool{}
	}
	h.untold[heartbeat.Worker] = true
}

// addAll records heartbeats at the leader.
func (h *heardWorkers) addAll(heartbeats []workcall.HeardHeartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, heartbeat := range heartbeats {
		h.record(heartbeat)
	}
}

// record records a heartbeat unless a newer one is known. The caller holds h.mu.
func (h *heardWorkers) record(heartbeat workcall.HeardHeartbeat) {
	if h.newest == nil {
		h.newest = map[string]heardHeartbeat{}
	}
	if known, ok := h.newest[heartbeat.Worker]; !ok || heartbeat.Newer(known.HeardHeartbeat) {
		h.newest[heartbeat.Worker] = heardHeartbeat{heartbeat, time.Now()}
	}
}

// newestOf returns the newest known heartbeat of a worker.
func (h *heardWorkers) newestOf(worker string) (heartbeat heardHeartbeat, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	heartbeat, known = h.newest[worker]
	return heartbeat, known
}

// isLate reports whether a newer heartbeat of the worker is known.
func (h *heardWorkers) isLate(heartbeat workcall.HeardHeartbeat) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.newest[heartbeat.Worker]
	return ok && known.Newer(heartbeat)
}

// take returns the heartbeats of which a leader was not told yet: all of them, if it
// is another leader than before.
func (h *heardWorkers) take(leader string) []workcall.HeardHeartbeat {
	h.mu.Lock()
	defer h.mu.Unlock()
	heartbeats := make([]workcall.HeardHeartbeat, 0, len(h.untold))
	for id, heartbeat := range h.newest {
		if h.untold[id] || leader != h.toldTo {
			heartbeats = append(heartbeats, heartbeat.HeardHeartbeat)
		}
	}
	h.untold, h.toldTo = nil, leader
	return heartbeats
}

// forgetOthers forgets the workers that are not registered.
func (h *heardWorkers) forgetOthers(registered func(id string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.newest {
		if !registered(id) {
			delete(h.newest, id)
		}
	}
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
	s.machine.Read(func(v *workstate.View) {
		s.heard.forgetOthers(func(id string) bool { return v.Workers()[id] != nil })
	})
	leader, status := s.Hello().Leader, s.replica.Status()
	if leader == "" || status.Leader == status.ID {
		return
	}
	heartbeats := s.heard.take(leader)
	if len(heartbeats) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heardInterval)
	defer cancel()
	if err := link.Send(ctx, node, leader, workcall.HeardKind, workcall.HeardMessage{Heartbeats: heartbeats}); err != nil && ctx.Err() == nil {
		s.log.Warn("acknowledged heartbeats not told to the leader", "leader", leader, "workers", len(heartbeats), logging.Err(err))
	}
}
