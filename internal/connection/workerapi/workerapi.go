// Package workerapi is a client of the workers that run tasks. The protocol is
// described in docs/worker-protocol.md.
package workerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
)

const (
	// callTimeout bounds one call to a worker.
	callTimeout = 2 * time.Second
	// maxAnswerBytes bounds the body of a worker's answer.
	maxAnswerBytes = 4 << 20
)

// TaskState is the state of a task as its worker reports it.
type TaskState string

// States of a task on a worker.
const (
	Running      TaskState = "runs"
	Checkpointed TaskState = "checkpointed"
	Done         TaskState = "done"
	Failed       TaskState = "failed"
	Stopped      TaskState = "stopped"
)

// Ended reports whether the task has ended and uses no resources any more.
func (s TaskState) Ended() bool { return s == Done || s == Failed || s == Stopped }

// TaskOrder orders a worker to run a task under a lease.
type TaskOrder struct {
	Job string `json:"job"`
	// Epoch is the fencing token. A worker never runs a task under an epoch
	// lower than the highest it has seen for the job.
	Epoch       uint64          `json:"epoch"`
	Team        string          `json:"team"`
	Kind        string          `json:"kind"`
	Reservation fleet.Resources `json:"hold"`
	Payload     string          `json:"payload,omitempty"`
	Order       jobplan.Order   `json:"order,omitempty"`
	// Resume means that the task resumes from the checkpoint of an earlier
	// attempt.
	Resume bool `json:"resume,omitempty"`
}

// Stamp is a reading of a worker's monotonic clock.
type Stamp struct {
	// Boot differs between boots of the worker.
	Boot string `json:"boot"`
	// MS is the time since that boot, in milliseconds.
	MS int64 `json:"ms"`
}

// Sync lists all tasks that the worker is to run. Tasks that are not listed
// continue to run until their lease expires.
type Sync struct {
	// AsOf is the newest stamp that the caller has received from the worker.
	// Leases count from it, so that the delay of a call does not extend them. If
	// the stamp is from another boot, the worker ignores Tasks.
	AsOf Stamp `json:"as_of"`
	// LeaseMS is the time after AsOf for which each listed task may run.
	LeaseMS int64       `json:"lease_ms"`
	Tasks   []TaskOrder `json:"tasks"`
	// Forget lists ended tasks whose end is recorded, so that the worker can
	// discard them.
	Forget []TaskRef `json:"forget,omitempty"`
}

// TaskRef identifies one attempt to run a job.
type TaskRef struct {
	Job   string `json:"job"`
	Epoch uint64 `json:"epoch"`
}

// TaskInfo is the state of one attempt as the worker reports it.
type TaskInfo struct {
	Job   string    `json:"job"`
	Epoch uint64    `json:"epoch"`
	State TaskState `json:"state"`
	// PeakUsage is the peak resource usage so far. The worker may report it with
	// a delay.
	PeakUsage fleet.Resources `json:"used"`
	RunMS     int64           `json:"run_ms"`
	Reason    string          `json:"reason,omitempty"`
}

// SyncAnswer lists all tasks that the worker knows.
type SyncAnswer struct {
	// Now is the worker's clock at the time of the answer.
	Now   Stamp      `json:"now"`
	Tasks []TaskInfo `json:"tasks"`
}

// Client calls workers.
type Client interface {
	// Sync orders the worker to run the tasks, renews their leases and returns
	// the state of the worker's tasks. After an error the worker may have
	// executed the call.
	Sync(ctx context.Context, vm string, sync Sync) (SyncAnswer, error)
}

// HTTP is a Client over HTTP that calls workers through the platform.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns a client for the base URL of the platform.
func NewHTTP(base string) *HTTP {
	return &HTTP{base: base, client: &http.Client{Timeout: callTimeout}}
}

// Sync implements Client.
func (h *HTTP) Sync(ctx context.Context, vm string, sync Sync) (SyncAnswer, error) {
	var answer SyncAnswer
	body, err := json.Marshal(sync)
	if err != nil {
		return answer, fmt.Errorf("encode sync: %w", err)
	}
	target := h.base + "/platform/v1/vms/" + url.PathEscape(vm) + "/tasks"
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return answer, logging.Wrap(err, "make task sync", vm)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.client.Do(req)
	if err != nil {
		return answer, logging.Wrap(err, "sync tasks", vm)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer, logging.Wrap(err, "read task sync", vm)
	}
	if resp.StatusCode != http.StatusOK {
		return answer, logging.Wrap(fmt.Errorf("status %s", resp.Status), "sync tasks", vm)
	}
	return answer, logging.Wrap(json.Unmarshal(data, &answer), "decode task sync", vm)
}
