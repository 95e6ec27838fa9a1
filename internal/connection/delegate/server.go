package delegate

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/batcher"
	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/connection/link"
)

const (
	// maxOpenCalls bounds the calls that a delegate makes at once.
	maxOpenCalls = 4096
	// senderIdle is how long a former leader's process is remembered, longer
	// than any of its messages is on its way.
	senderIdle = time.Minute
)

// Metrics of the delegates.
var (
	delegatedCalls = metrics.NewCounter(`arbutus_delegated_calls_total`)
	staleBatches   = metrics.NewCounter(`arbutus_delegated_batches_stale_total`)
)

// Server makes calls to workers for the leader.
type Server struct {
	ctx     context.Context
	node    *link.Node
	self    string
	workers execution.Workers
	log     *slog.Logger
	open    atomic.Int64

	mu      sync.Mutex
	senders map[uint64]*freshness
	replies map[string]*batcher.Batcher[answer]
}

// Serve makes this process a delegate until the context ends. Its link address
// is self, and it calls workers through workers.
func Serve(ctx context.Context, node *link.Node, self string, workers execution.Workers, log *slog.Logger) *Server {
	s := &Server{ctx: ctx, node: node, self: self, workers: workers, log: log, senders: map[uint64]*freshness{}, replies: map[string]*batcher.Batcher[answer]{}}
	link.Handle(node, callsKind, s.handleCalls)
	return s
}

// handleCalls acknowledges a batch and starts its calls.
func (s *Server) handleCalls(_ context.Context, peer link.Peer, batch callBatch) (struct{}, error) {
	fresh := s.isFresh(batch.Session, batch.SentMS, clockMS())
	reply := s.replyTo(batch.ReplyTo)
	reply.Add(acknowledgement(), batcher.Patient)
	if !fresh {
		staleBatches.Inc()
		s.log.Warn("delegated calls arrived late and were not made", "leader", batch.ReplyTo, "peer", peer.ID, "calls", len(batch.Calls))
	}
	for i := range batch.Calls {
		c := &batch.Calls[i]
		switch {
		case c.Forget:
			s.workers.Forget(c.Worker.Address)
		case !fresh || s.open.Add(1) > maxOpenCalls:
			if fresh {
				s.open.Add(-1)
			}
			reply.Add(failedAnswer(c.Number, execution.ErrNoAnswer), batcher.Prompt)
		default:
			go s.serve(c, reply)
		}
	}
	return struct{}{}, nil
}

// isFresh reports whether a batch of a leader's process arrived in time.
func (s *Server) isFresh(session uint64, sentMS, receivedMS int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.senders[session] == nil {
		s.removeIdleSenders(receivedMS)
		s.senders[session] = &freshness{}
	}
	return s.senders[session].fresh(sentMS, receivedMS)
}

// removeIdleSenders forgets processes that have not led for some time.
func (s *Server) removeIdleSenders(nowMS int64) {
	for session, f := range s.senders {
		if nowMS-f.windowStartMS > senderIdle.Milliseconds() {
			delete(s.senders, session)
		}
	}
}

// replyTo returns the batcher of the answers to a leader.
func (s *Server) replyTo(leader string) *batcher.Batcher[answer] {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.replies[leader]
	if b == nil {
		b = batcher.New(s.ctx, func(ctx context.Context, answers []answer) {
			err := link.Send(ctx, s.node, leader, answersKind, answerBatch{From: s.self, Answers: answers})
			if err != nil && s.ctx.Err() == nil {
				s.log.Warn("answers of delegated calls not sent", "leader", leader, "answers", len(answers), "error", err.Error())
			}
		})
		s.replies[leader] = b
	}
	return b
}

// serve makes one call and queues its answer.
func (s *Server) serve(c *call, reply *batcher.Batcher[answer]) {
	defer s.open.Add(-1)
	delegatedCalls.Inc()
	ctx, cancel := context.WithTimeout(s.ctx, time.Duration(c.TimeoutMS)*time.Millisecond)
	defer cancel()
	a, err := s.make(ctx, c)
	if err != nil {
		a = failedAnswer(c.Number, err)
	}
	a.Number = c.Number
	reply.Add(a, a.urgency(c.Watch != nil && c.Watch.WaitMS == 0))
}

// make calls the worker.
func (s *Server) make(ctx context.Context, c *call) (answer, error) {
	var order execution.Answer
	var err error
	switch {
	case c.Watch != nil:
		report, err := s.workers.Watch(ctx, c.Worker, *c.Watch)
		if c.Watch.EndsOnly && len(report.Ended) > 0 {
			report.Running, report.EndsOnly = nil, true
		}
		return answer{Report: &report}, err
	case c.Start != nil:
		order, err = s.workers.Start(ctx, c.Worker, *c.Start)
	case c.Stop != nil:
		order, err = s.workers.Stop(ctx, c.Worker, c.Stop.Task, c.Stop.Run, c.Stop.FencingToken)
	case c.Throttle != nil:
		order, err = s.workers.Throttle(ctx, c.Worker, c.Throttle.Task, c.Throttle.Run, c.Throttle.Percent, c.Throttle.FencingToken)
	default:
		err = execution.ErrMalformedAnswer
	}
	return answer{Order: &order}, err
}
