package integration

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

// The load and the length of the outages of the test below, and the target for
// the return of control.
const (
	outageClients   = 12
	outageLength    = 2 * time.Second
	outages         = 3
	returnOfControl = 800 * time.Millisecond
	outageTries     = 6
)

// outageClient submits one job like a caller who follows Retry-After.
type outageClient struct {
	h  *hosted
	id string
	// acceptedAt is when the job was accepted, answers the statuses of the tries.
	acceptedAt time.Time
	answers    []int
	// unhelpful is set if a refusal named no time to come back.
	unhelpful bool
}

func (c *outageClient) run(entry int) {
	body := `{"spec":"200ms","steps":[{"count":4,"cpu":1000,"mem_mb":1,"estimate_ms":200}]}`
	for try := range outageTries {
		response, err := c.h.send((entry+try)%len(c.h.entries), http.MethodPost, "/q/"+c.id, body)
		if err != nil {
			c.answers = append(c.answers, 0)
			return
		}
		_ = response.Body.Close()
		c.answers = append(c.answers, response.StatusCode)
		if response.StatusCode == http.StatusOK {
			c.acceptedAt = time.Now()
			return
		}
		after, err := strconv.Atoi(response.Header.Get("Retry-After"))
		if response.StatusCode != http.StatusServiceUnavailable || err != nil || after < 1 {
			c.unhelpful = true
			return
		}
		time.Sleep(time.Duration(after) * time.Second)
	}
}

// TestHostedCallersOutlastTheLossOfAllControl kills all control processes under
// load, several times. A submission that reached none of them is answered as not
// run, with a time to come back; callers who follow it are served, nothing that
// was accepted is lost or runs twice, and control takes submissions soon after it
// is back.
func TestHostedCallersOutlastTheLossOfAllControl(t *testing.T) {
	h := newHosted(t, 3, 3)
	h.configure()
	h.addWorker("w1", 64000)
	h.addWorker("w2", 64000)
	h.submit(jobID(1), 2, 50*time.Millisecond)
	h.awaitState(jobID(1), "succeeded", 20*time.Second)
	var returns []time.Duration
	for outage := range outages {
		returns = append(returns, h.playOutage(outage))
		time.Sleep(time.Second)
	}
	slices.Sort(returns)
	t.Logf("first accepted after %v", returns)
	if median := returns[len(returns)/2]; median > returnOfControl {
		t.Errorf("control took submissions %s after it was back in the median, wanted %s", median, returnOfControl)
	}
}

// playOutage kills all control processes for some time while clients submit jobs.
// It returns the time from their return to the first job that was accepted.
func (h *hosted) playOutage(outage int) time.Duration {
	for _, control := range h.controls {
		control.kill()
	}
	killedAt := time.Now()
	// Submissions that were on their way may have been taken; later ones were not.
	time.Sleep(200 * time.Millisecond)
	clients := make([]*outageClient, outageClients)
	var wait sync.WaitGroup
	for i := range clients {
		clients[i] = &outageClient{h: h, id: jobID(1000*(outage+1) + i)}
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 2 * outageLength / outageClients)
			clients[i].run(i)
		})
	}
	time.Sleep(outageLength - time.Since(killedAt))
	for _, control := range h.controls {
		control.start()
	}
	backAt := time.Now()
	probe := &outageClient{h: h, id: jobID(1000*(outage+1) + 999)}
	for probe.acceptedAt.IsZero() && time.Since(backAt) < 10*time.Second {
		if status, _ := h.request(0, http.MethodPost, "/q/"+probe.id, `{"spec":"10ms","steps":[{"count":1,"cpu":1000,"mem_mb":1,"estimate_ms":10}]}`); status == http.StatusOK {
			probe.acceptedAt = time.Now()
		}
	}
	wait.Wait()
	first := probe.acceptedAt
	for _, c := range clients {
		if c.acceptedAt.IsZero() || c.unhelpful {
			h.t.Errorf("outage %d: job %s was answered %v", outage, c.id, c.answers)
			continue
		}
		if c.acceptedAt.After(backAt) && c.acceptedAt.Before(first) {
			first = c.acceptedAt
		}
		h.awaitState(c.id, "succeeded", 20*time.Second)
	}
	return first.Sub(backAt)
}
