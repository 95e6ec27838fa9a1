package scheduler

import (
	"context"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/scheduler/explain"
)

// Scheduler runs the scheduling loop while this process is the leader.
type Scheduler struct {
	options Options
	node    *link.Node
	server  *Server
	// current is the loop of the current term of leadership; nil in a follower.
	current atomic.Pointer[loop]
	// explanations limits the rate of calls of Explain.
	explanations explain.Pacer
}

// New returns a scheduler and registers its server with the node. Workers and
// operators reach this process at address.
func New(options Options, address string, node *link.Node) *Scheduler {
	s := &Scheduler{options: options, node: node}
	s.server = &Server{
		replica: options.Replica, machine: options.Machine, log: options.Log, address: address, zone: options.Zone, directWorkers: options.DirectWorkers,
		wake: s.wake, onHeartbeats: s.heartbeatsReceived, onJobAccepted: s.jobAccepted, now: options.Now,
	}
	s.server.admission.Memory.SetOwn(options.Limits.JobMemory)
	workcall.Register(node, s.server)
	link.Handle(node, workcall.HelloKind, func(context.Context, link.Peer, workcall.HelloRequest) (workcall.HelloResponse, error) {
		return s.server.Hello(), nil
	})
	link.Handle(node, workcall.JoinKind, s.server.join)
	link.Handle(node, workcall.HeardKind, func(_ context.Context, _ link.Peer, m workcall.HeardMessage) (struct{}, error) {
		s.server.heard.AddAll(m.Heartbeats)
		s.heartbeatsReceived(m.Heartbeats)
		return struct{}{}, nil
	})
	return s
}

// Server returns the server that answers calls in this process.
func (s *Scheduler) Server() *Server { return s.server }

// wake requests a round of the loop.
func (s *Scheduler) wake() {
	if l := s.current.Load(); l != nil {
		l.post(func(l *loop) { l.dirty = true })
	}
}

// heartbeatsReceived passes the heartbeats of workers to the loop.
func (s *Scheduler) heartbeatsReceived(heartbeats []workcall.HeardHeartbeat) {
	if l := s.current.Load(); l != nil {
		l.post(func(l *loop) { l.recordHeartbeats(heartbeats, time.Now()) })
	}
}

// jobAccepted passes a new job to the loop.
func (s *Scheduler) jobAccepted(id string) {
	if l := s.current.Load(); l != nil {
		l.post(func(l *loop) { l.handleJobArrival(id, time.Now()) })
	}
}

// Run starts and stops the loop as this process gains and loses leadership. It
// returns when the context ends.
func (s *Scheduler) Run(ctx context.Context) {
	end := func() {}
	defer func() { end() }()
	go s.server.relayHeard(ctx, s.node)
	for {
		select {
		case <-ctx.Done():
			return
		case leads := <-s.options.Replica.LeaderChanges():
			end()
			end = func() {}
			if leads {
				end = s.lead(ctx)
			}
		}
	}
}

// lead starts a loop and returns a function that stops it.
func (s *Scheduler) lead(ctx context.Context) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	l := newLoop(ctx, s.options, s.options.Replica.Status().Term)
	l.heard = &s.server.heard
	l.admission.board, l.admission.memory = &s.server.admission.Load, &s.server.admission.Memory
	done := make(chan struct{})
	go func() {
		defer close(done)
		if !l.catchUp() {
			return
		}
		s.current.Store(l)
		l.run()
	}()
	return func() {
		s.current.Store(nil)
		cancel()
		<-done
		s.server.admission.Load.Drop()
	}
}

// catchUp waits until the local state holds everything that former leaders
// committed. It returns false if the leadership ends before that.
func (l *loop) catchUp() bool {
	for l.ctx.Err() == nil {
		err := l.Replica.ReadBarrier(l.ctx)
		if err == nil {
			return true
		}
		l.Log.Warn("leadership not confirmed", "term", l.term, "error", err.Error())
	}
	return false
}
