// Package heartbeats holds the newest heartbeats of workers that a control process has
// acknowledged, and those of which it has not told the leader yet.
package heartbeats

import (
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
)

// Table holds the newest heartbeat of each worker that was acknowledged here
// or that a follower has told of. The zero value is empty. It is
// safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	newest map[string]Known
	// untold holds the workers of which the leader toldTo was not told yet.
	untold map[string]bool
	toldTo string
}

// Known is a heartbeat that is known to this process.
type Known struct {
	workcall.HeardHeartbeat
	// KnownAt is when it became known here.
	KnownAt time.Time
}

// Add records a heartbeat that the leader is to be told of.
func (h *Table) Add(heartbeat workcall.HeardHeartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record(heartbeat)
	if h.untold == nil {
		h.untold = map[string]bool{}
	}
	h.untold[heartbeat.Worker] = true
}

// AddAll records heartbeats at the leader.
func (h *Table) AddAll(heartbeats []workcall.HeardHeartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, heartbeat := range heartbeats {
		h.record(heartbeat)
	}
}

// record records a heartbeat unless a newer one is known. The caller holds h.mu.
func (h *Table) record(heartbeat workcall.HeardHeartbeat) {
	if h.newest == nil {
		h.newest = map[string]Known{}
	}
	if known, ok := h.newest[heartbeat.Worker]; !ok || heartbeat.Newer(known.HeardHeartbeat) {
		h.newest[heartbeat.Worker] = Known{heartbeat, time.Now()}
	}
}

// NewestOf returns the newest known heartbeat of a worker.
func (h *Table) NewestOf(worker string) (heartbeat Known, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	heartbeat, known = h.newest[worker]
	return heartbeat, known
}

// IsLate reports whether a newer heartbeat of the worker's incarnation is known. Which
// incarnation counts is up to the registration: the one that was heard last may have been
// removed, and its successor have the earlier start.
func (h *Table) IsLate(heartbeat workcall.HeardHeartbeat) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.newest[heartbeat.Worker]
	return ok && known.Incarnation == heartbeat.Incarnation && known.Newer(heartbeat)
}

// Take returns the heartbeats of which a leader was not told yet: all of them, if it
// is another leader than before.
func (h *Table) Take(leader string) []workcall.HeardHeartbeat {
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

// ForgetOthers forgets the heartbeats of incarnations that are not registered.
func (h *Table) ForgetOthers(registered func(id string, incarnation int64) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, heartbeat := range h.newest {
		if !registered(id, heartbeat.Incarnation) {
			delete(h.newest, id)
		}
	}
}
