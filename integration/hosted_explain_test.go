package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/lifecycle"
	"arbutusward.example/arbutusward/internal/process/scheduler/explain"
)

// explain asks arbutusctl about a job, with an API key or none if it is "". The first
// process that it asks does not lead.
func (h *hosted) explain(key, id string) explain.Answer {
	h.t.Helper()
	args := []string{"-o", "json", "explain", "--job", filepath.Join(h.dir, "job.json")}
	must(h.t, os.WriteFile(filepath.Join(h.dir, "job.json"), []byte(oneTask), 0o600))
	if key != "" {
		path := filepath.Join(h.dir, "key")
		must(h.t, os.WriteFile(path, []byte(key+"\n"), 0o600))
		args = append(args, "--key", path)
	}
	follower := (h.leader() + 1) % len(h.controls)
	args = append(args, "--metrics", fmt.Sprintf("%s:%d", h.controlIP(follower), hostedFirstPort+1), "h.example", "/q/"+id)
	result := runCLI(h.t, args...)
	var answer explain.Answer
	if result.code != lifecycle.ExitDone || json.Unmarshal([]byte(result.stdout), &answer) != nil {
		h.t.Errorf("explain: code %d\n%s%s", result.code, result.stdout, result.stderr)
	}
	if key != "" && strings.Contains(result.stdout+result.stderr, key) {
		h.t.Error("explain prints the key")
	}
	return answer
}

// TestHostedExplain guards against explanations that have an effect, that tell an unknown
// caller anything, or that differ from what then happens.
func TestHostedExplain(t *testing.T) {
	t.Parallel()
	h := newHosted(t, 3, 1)
	h.document = func(version int) string {
		return withAccounts(version, `[{"name":"a","api_keys":["key-a1"],"weight":50,"cap":{"cpu":1000}},{"name":"b","api_keys":["key-b1"],"weight":50}]`)
	}
	h.key = "key-a1"
	h.configure()
	h.addWorker("w1", 4000)
	h.submit(jobID(1), 1, 20*time.Second)
	h.awaitState(jobID(1), "running", 20*time.Second)

	var step explain.Step
	eventually(t, 10*time.Second, "a job of an account below its limit would start", func() error {
		answer := h.explain("key-b1", jobID(2))
		if len(answer.Steps) != 1 || answer.Admission == nil || answer.Admission.Outcome != explain.Accepted {
			return fmt.Errorf("%+v", answer)
		}
		if step = answer.Steps[0]; len(step.Starts) != 1 || step.Starts[0].Worker != "w1" || step.Waiting != 0 {
			return fmt.Errorf("%+v", step)
		}
		return nil
	})
	atLimit := h.explain("key-a1", jobID(2))
	if len(atLimit.Steps) != 1 || atLimit.Steps[0].Reason != explain.ReasonQuota || atLimit.Account == nil || atLimit.Account.Use.MilliCPU != 1000 {
		t.Errorf("an account at its limit: %+v", atLimit)
	}
	known := h.explain("key-a1", jobID(1))
	if known.Job == nil || known.Job.State != "running" || len(known.Steps) != 2 || len(known.Steps[0].Executing) != 1 {
		t.Errorf("a job that executes: %+v", known)
	}
	for key, reason := range map[string]string{"key-unknown": "unknown_key", "": "key_missing"} {
		if refused := h.explain(key, jobID(2)); refused.Access != reason || refused.Steps != nil || refused.Workers != nil || refused.Account != nil {
			t.Errorf("key %q: %+v", key, refused)
		}
	}
	h.checkNothingWasDone()
}

// checkNothingWasDone checks that no job came of the explanations, that no log has a key,
// and that without an answer the exit code says so.
func (h *hosted) checkNothingWasDone() {
	h.t.Helper()
	if state := h.state(0, jobID(2)); state != "gone" {
		h.t.Errorf("a job that was asked about is %q", state)
	}
	if status, body := h.request(0, http.MethodGet, "/q/", ""); status != http.StatusOK || !strings.Contains(string(body), `"pending":0`) {
		h.t.Errorf("the queue's count: %d %s", status, body)
	}
	for _, key := range []string{"key-a1", "key-b1", "key-unknown"} {
		h.checkLogsHaveNoKey(key)
	}
	result := runCLI(h.t, "explain", "--metrics", h.subnet+"240:9", "h.example", "/q/")
	if result.code != lifecycle.ExitNotReachable {
		h.t.Errorf("no process answers: code %d %s", result.code, result.stderr)
	}
}
