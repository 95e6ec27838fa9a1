// Package workerapi speaks the protocol of the workers that run tasks; see
// docs/worker-protocol.md.
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
	// maxAnswerBytes bounds a worker's answer.
	maxAnswerBytes = 4 << 20
)

// TaskState is what a worker says of a task.
type TaskState string

// States of a task on a worker.
const (
	Running      TaskState = "runs"
	Checkpointed TaskState = "checkpointed"
	Done         TaskState = "done"
	Failed       TaskState = "failed"
	Stopped      TaskState = "stopped"
)

// Ended says that the task holds nothing any more.
func (s TaskState) Ended() bool { return s == Done || s == Failed || s == Stopped }

// TaskOrder is one task that the worker is to run under a lease.
type TaskOrder struct {
	Job string `json:"job"`
	// Epoch is the fencing number: a worker never runs a task under an
	// epoch below the highest it has seen for the job.
	Epoch       uint64          `json:"epoch"`
	Team        string          `json:"team"`
	Kind        string          `json:"kind"`
	Reservation fleet.Resources `json:"hold"`
	Payload     string          `json:"payload,omitempty"`
	Order       jobplan.Order   `json:"order,omitempty"`
	// Resume says that an earlier attempt saved its work.
	Resume bool `json:"resume,omitempty"`
}

// Stamp is a reading of a worker's monotonic clock.
type Stamp struct {
	// Boot differs between boots of the worker.
	Boot string `json:"boot"`
	// MS is the time since that boot, in milliseconds.
	MS int64 `json:"ms"`
}

// Sync is the body of a call: all tasks that the worker is to run. Tasks
// that it does not name run on until their lease ends.
type Sync struct {
	// AsOf is the newest stamp that the caller has of the worker. Leases
	// count from it, so that a call that arrives late extends nothing; the
	// worker ignores Tasks with a stamp of another boot.
	AsOf Stamp `json:"as_of"`
	// LeaseMS is how long after AsOf each named task may run.
	LeaseMS int64       `json:"lease_ms"`
	Tasks   []TaskOrder `json:"tasks"`
	// Forget lists ended tasks that were recorded.
	Forget []TaskRef `json:"forget,omitempty"`
}

// TaskRef names one attempt.
type TaskRef struct {
	Job   string `json:"job"`
	Epoch uint64 `json:"epoch"`
}

// TaskInfo is the worker's word on one attempt.
type TaskInfo struct {
	Job   string    `json:"job"`
	Epoch uint64    `json:"epoch"`
	State TaskState `json:"state"`
	// PeakUsage is the peak use so far; it may lag.
	PeakUsage fleet.Resources `json:"used"`
	RunMS     int64           `json:"run_ms"`
	Reason    string          `json:"reason,omitempty"`
}

// SyncAnswer lists all tasks the worker knows.
type SyncAnswer struct {
	// Now is the worker's clock as it answers.
	Now   Stamp      `json:"now"`
	Tasks []TaskInfo `json:"tasks"`
}

// Client calls workers.
type Client interface {
	// Sync renews the leases of the tasks and returns what the worker
	// knows. An error leaves open whether it was carried out.
	Sync(ctx context.Context, vm string, sync Sync) (SyncAnswer, error)
}

// HTTP calls workers through the platform's base URL.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns a client for a base URL.
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
