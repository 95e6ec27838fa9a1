// Package workcall carries the calls of clients, workers and operators to
// the control leader of a hosted deployment.
package workcall

import (
	"context"

	"arbutusward.example/arbutusward/internal/connection/link"
)

// Kinds of link calls.
const (
	HelloKind      link.Kind = "work.hello"
	JoinKind       link.Kind = "work.join"
	submitKind     link.Kind = "work.submit"
	jobKind        link.Kind = "work.job"
	cancelKind     link.Kind = "work.cancel"
	pendingKind    link.Kind = "work.pending"
	accountsKind   link.Kind = "work.accounts"
	heartbeatKind  link.Kind = "work.heartbeat"
	HeardKind      link.Kind = "work.heard"
	deregisterKind link.Kind = "work.deregister"
	catalogKind    link.Kind = "work.catalog"
	readKind       link.Kind = "work.read"
	waveKind       link.Kind = "work.wave"
	waveStateKind  link.Kind = "work.wave_state"
)

// batchedKinds are the kinds of which a control process passes on so many to a busy
// leader that they share messages. None of them is large.
var batchedKinds = map[link.Kind]bool{submitKind: true, jobKind: true, cancelKind: true, pendingKind: true, heartbeatKind: true, deregisterKind: true}

// Fault codes of the calls.
const (
	// CodeUnavailable means that the call had no effect and can be retried.
	CodeUnavailable = "unavailable"
	// CodeUnknown means that the call may have taken effect.
	CodeUnknown = "unknown_result"
)

// Register makes the node serve the calls of Control.
func Register(node *link.Node, control Control) {
	handle(node, submitKind, control.Submit)
	handle(node, jobKind, control.Job)
	handle(node, cancelKind, control.Cancel)
	handle(node, pendingKind, control.Pending)
	handle(node, accountsKind, control.Accounts)
	handle(node, heartbeatKind, control.Heartbeat)
	handle(node, deregisterKind, control.Deregister)
	handle(node, catalogKind, control.ReplaceCatalog)
	handle(node, readKind, control.ReadCatalog)
	handle(node, waveKind, control.StartWave)
	handle(node, waveStateKind, control.Wave)
}

func handle[Req, Resp any](node *link.Node, kind link.Kind, serve func(context.Context, Req) (Resp, error)) {
	link.Handle(node, kind, func(ctx context.Context, _ link.Peer, r Req) (Resp, error) {
		ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		return serve(ctx, r)
	})
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, r SubmitRequest) (SubmitResponse, error) {
	return call(ctx, c, submitKind, Control.Submit, r)
}

// Job returns the state of a job.
func (c *Client) Job(ctx context.Context, r JobRequest) (JobResponse, error) {
	return call(ctx, c, jobKind, Control.Job, r)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, r JobRequest) (CancelResponse, error) {
	return call(ctx, c, cancelKind, Control.Cancel, r)
}

// Pending returns the number of jobs of a queue that have not started.
func (c *Client) Pending(ctx context.Context, r PendingRequest) (PendingResponse, error) {
	return call(ctx, c, pendingKind, Control.Pending, r)
}

// Accounts returns the keys that are known. It fails at once if the leader or the relay
// is of a version without the call.
func (c *Client) Accounts(ctx context.Context, r AccountsRequest) (AccountsResponse, error) {
	return call(ctx, c, accountsKind, Control.Accounts, r)
}

// Heartbeat acknowledges a worker's heartbeat if this process can, and otherwise
// forwards it to the leader.
func (c *Client) Heartbeat(ctx context.Context, r HeartbeatRequest) (HeartbeatResponse, error) {
	if c.local != nil {
		if answer, known := c.local.KnownHeartbeat(r); known {
			return answer, nil
		}
	}
	return call(ctx, c, heartbeatKind, Control.Heartbeat, r)
}

// Deregister forwards the deregistration of a worker.
func (c *Client) Deregister(ctx context.Context, r DeregisterRequest) (Done, error) {
	return call(ctx, c, deregisterKind, Control.Deregister, r)
}

// ReplaceCatalog proposes a new catalog.
func (c *Client) ReplaceCatalog(ctx context.Context, r CatalogRequest) (CatalogResponse, error) {
	return call(ctx, c, catalogKind, Control.ReplaceCatalog, r)
}

// ReadCatalog returns the catalog in force.
func (c *Client) ReadCatalog(ctx context.Context, r ReadRequest) (CatalogResponse, error) {
	return call(ctx, c, readKind, Control.ReadCatalog, r)
}

// StartWave starts a maintenance wave.
func (c *Client) StartWave(ctx context.Context, r WaveRequest) (Done, error) {
	return call(ctx, c, waveKind, Control.StartWave, r)
}

// Wave returns the state of a maintenance wave.
func (c *Client) Wave(ctx context.Context, r WaveStateRequest) (WaveStateResponse, error) {
	return call(ctx, c, waveStateKind, Control.Wave, r)
}
