package integration

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// jobShape is a legal job that a crowd submits whole. Nothing runs it.
type jobShape struct {
	name string
	body string
	// connections submit it, each so many jobs one after the other.
	connections, each int
}

// Figures of the jobs of a crowd, which keep to the limits of a job.
const (
	crowdSteps       = 1000
	crowdTasks       = 100_000
	crowdOccurrences = 100_000
	crowdPayload     = 3900
	crowdText        = 250_000
	// crowdDependencies are those of each step.
	crowdDependencies = 90
	// crowdIncarnations is how often a process is started with the state that a crowd has left.
	crowdIncarnations = 2
)

var crowdJobs = []jobShape{
	{name: "many steps", body: jobBody("x", strings.Repeat(crowdStep+",", crowdSteps-1)+crowdStep, ""), connections: crowdSize, each: 10},
	{name: "chained steps", body: jobBody("x", crowdStep+strings.Repeat(`,{"count":1,"cpu":1000000,"mem_mb":1,"depends_on":[0]}`, crowdSteps-1), ""), connections: crowdSize, each: 10},
	{name: "long payloads", body: jobBody(strings.Repeat("x", crowdPayload), crowdStep, ""), connections: crowdSize, each: 40},
	{name: "long texts", body: jobBody("x", fmt.Sprintf(`{"count":1,"cpu":1000000,"mem_mb":1,"image":%q}`, strings.Repeat("x", crowdText)), ""), connections: crowdSize, each: 4},
	{name: "many dependencies", body: jobBody("x", crowdStep+strings.Repeat(`,{"count":1,"cpu":1000000,"mem_mb":1,"depends_on":[0`+strings.Repeat(",0", crowdDependencies-1)+`]}`, crowdSteps-1), ""), connections: crowdSize, each: 4},
	{name: "many tasks", body: jobBody("x", fmt.Sprintf(`{"count":%d,"cpu":1000000,"mem_mb":1}`, crowdTasks), ""), connections: crowdSize, each: 4},
	{name: "many occurrences", body: jobBody("x", crowdStep, fmt.Sprintf(`,"repeat_count":%d,"start_at_ms":1,"interval_ms":1`, crowdOccurrences)), connections: 40, each: 1},
}

// crowdStep is a step that no worker has room for.
const crowdStep = `{"count":1,"cpu":1000000,"mem_mb":1}`

func jobBody(payload, steps, rest string) string {
	return fmt.Sprintf(`{"spec":%q,"steps":[%s]%s}`, payload, steps, rest)
}

// TestHostedAcceptedJobsDoNotExhaustAProcess guards against the loss of a control process by legal jobs that clients submit whole: each that is accepted stays in the replicated state. It fails if a process ends, exceeds its memory or descriptors, also when it starts again with that state, or serves no ordinary job.
func TestHostedAcceptedJobsDoNotExhaustAProcess(t *testing.T) {
	for _, shape := range crowdJobs {
		t.Run(shape.name, func(t *testing.T) {
			h := newCrowded(t)
			h.awaitServed(t, 0)
			entry := watchDescriptors(h.entries[0].cmd.Process.Pid)
			control := watchDescriptors(h.controls[0].cmd.Process.Pid)
			h.submitShape(t, shape)
			h.awaitServed(t, 1)
			h.checkGrant(t, h.entries[0], entry, h.entryGrant)
			h.checkGrant(t, h.controls[0], control, h.controlGrant)
			for incarnation := range crowdIncarnations {
				h.controls[0].kill()
				h.controls[0].start()
				control := watchDescriptors(h.controls[0].cmd.Process.Pid)
				h.awaitServed(t, 2+incarnation)
				h.checkGrant(t, h.controls[0], control, h.controlGrant)
			}
		})
	}
}

// submitShape lets a crowd submit jobs of a shape, and logs how many were answered how.
func (h *hosted) submitShape(t *testing.T, shape jobShape) {
	t.Helper()
	client := &http.Client{Timeout: crowdAnswerLimit, Transport: &http.Transport{MaxIdleConnsPerHost: shape.connections}}
	defer client.CloseIdleConnections()
	var c crowd
	statuses := map[int]int{}
	c.each(shape.connections, func(i int) {
		for k := range shape.each {
			status := h.submitBody(client, jobID(1<<42+i*shape.each+k), shape.body)
			c.mu.Lock()
			statuses[status]++
			c.mu.Unlock()
		}
	})
	t.Logf("jobs by status: %v", statuses)
}

// submitBody submits a job to the first entry and returns the status, 0 without an answer.
func (h *hosted) submitBody(client *http.Client, id, body string) int {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/q/%s", h.entryIP(0), hostedFront, id), strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "h.example"
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// checkGrant fails if a process has ended, or has used more than its grant.
func (h *hosted) checkGrant(t *testing.T, p *process, descriptors *descriptorWatch, granted grant) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatalf("%s has ended", p.id)
	default:
	}
	open, memory := descriptors.end(), peakMemoryMB(t, p.cmd.Process.Pid)
	t.Logf("%s: %d MB, %d descriptors", p.id, memory, open)
	if memory > granted.memoryMB || open > granted.descriptors {
		t.Errorf("%s: %d MB and %d descriptors, granted %d and %d", p.id, memory, open, granted.memoryMB, granted.descriptors)
	}
}
