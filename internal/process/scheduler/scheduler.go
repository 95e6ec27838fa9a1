package scheduler

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
)

// Scheduler runs the loop while this process leads.
type Scheduler struct {
	options Options
	server  *Server
	// current is the loop of the present leadership, nil in a follower.
	current atomic.Pointer[loop]
}

// New returns a scheduler and the server that answers calls in its process.
// Workers and operators reach the process at address.
func New(options Options, address string, node *link.Node) *Scheduler {
	s := &Scheduler{options: options}
	s.server = &Server{
		replica: options.Replica, machine: options.Machine, log: options.Log, address: address,
		wake: s.wake, heard: s.heard, arrived: s.arrived, now: options.Now,
	}
	workcall.Register(node, s.server)
	link.Handle(node, workcall.HelloKind, func(context.Context, link.Peer, workcall.HelloRequest) (workcall.HelloResponse, error) {
		return s.server.Hello(), nil
	})
	link.Handle(node, workcall.JoinKind, s.server.join)
	return s
}

// Server answers calls in this process.
func (s *Scheduler) Server() *Server { return s.server }

// wake lets the loop plan.
func (s *Scheduler) wake() {
	if l := s.current.Load(); l != nil {
		l.post(func(l *loop) { l.dirty = true })
	}
}

// heard tells the loop of a worker's heartbeat.
func (s *Scheduler) heard(id string) {
	if l := s.current.Load(); l != nil {
		l.post(func(l *loop) { l.heartbeat(id, time.Now()) })
	}
}

// arrived tells the loop of a new job.
func (s *Scheduler) arrived(id string) {
	if l := s.current.Load(); l != nil {
		l.post(func(l *loop) { l.arrived(id, time.Now()) })
	}
}

// Run follows the leadership until the context ends.
func (s *Scheduler) Run(ctx context.Context) {
	end := func() {}
	defer func() { end() }()
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

// lead starts a loop and returns what ends it.
func (s *Scheduler) lead(ctx context.Context) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	l := newLoop(ctx, s.options, s.options.Replica.Status().Term)
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
	}
}

// catchUp waits until the state holds all that former leaders accepted.
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

// shortRun formats a task's run for a log line as INDEX#RUN@WORKER.
func shortRun(index, run int, worker string) string {
	text := fmt.Sprintf("%d#%d", index, run)
	if worker != "" {
		text += "@" + worker
	}
	return text
}
