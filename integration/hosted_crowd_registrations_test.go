package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Figures of the messages of a crowd at the port of workers and operators.
const (
	crowdCallers      = 100
	crowdMessagesEach = 4
	// crowdElements are the VMs of a wave, or the labels of a worker.
	crowdElements = 20_000
)

// registrationShape is a legal message that stays in the state.
type registrationShape struct {
	name string
	// path and body return those of the message with a number.
	path, body func(number int) string
}

var crowdRegistrations = []registrationShape{
	{
		name: "waves",
		path: func(int) string { return "/wave-start" },
		body: func(number int) string {
			vms := strings.Repeat(`"m-0000000000000000",`, crowdElements)
			return fmt.Sprintf(`{"wave":%d,"machines":[%s"m"],"deadline_s":20,"cap":1}`, number, vms)
		},
	},
	{
		name: "workers",
		path: func(number int) string { return fmt.Sprintf("/instances/i-%d/heartbeat", number) },
		body: func(number int) string {
			labels := strings.Repeat(`,"r1-0000000000000000"`, crowdElements)
			return fmt.Sprintf(`{"service":"svc","address":"127.0.0.1:%d","machine":"m-%d","zone":"z","state":"ready","capacity":{"cpu":1},"labels":["a"%s],"seq":4,"born":1796609241551}`, number+1000, number, labels)
		},
	},
}

// TestHostedRegistrationsDoNotExhaustAProcess guards against the loss of a control process by legal waves and registrations that are sent whole to its port: each that is accepted stays in the replicated state.
func TestHostedRegistrationsDoNotExhaustAProcess(t *testing.T) {
	for _, shape := range crowdRegistrations {
		t.Run(shape.name, func(t *testing.T) {
			h := newCrowded(t)
			h.awaitServed(t, 0)
			control := watchDescriptors(h.controls[0].cmd.Process.Pid)
			h.sendRegistrations(t, shape)
			h.awaitServed(t, 1)
			h.checkGrant(t, h.controls[0], control, h.controlGrant)
		})
	}
}

// sendRegistrations lets a crowd send messages of a shape, and logs how many were answered
// how.
func (h *hosted) sendRegistrations(t *testing.T, shape registrationShape) {
	t.Helper()
	client := &http.Client{Timeout: crowdAnswerLimit}
	defer client.CloseIdleConnections()
	address := "http://" + h.controlAddresses()[0]
	var c crowd
	statuses := map[int]int{}
	c.each(crowdCallers, func(i int) {
		for k := range crowdMessagesEach {
			number := 1 + i*crowdMessagesEach + k
			status := 0
			response, err := client.Post(address+shape.path(number), "application/json", strings.NewReader(shape.body(number)))
			if err == nil {
				status = response.StatusCode
				_ = response.Body.Close()
			}
			c.mu.Lock()
			statuses[status]++
			c.mu.Unlock()
		}
	})
	t.Logf("messages by status: %v", statuses)
}
