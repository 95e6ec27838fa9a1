// Package platform is a client of the platform that runs the VMs. The protocol
// is described in docs/platform-protocol.md.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"arbutusward.example/arbutusward/internal/process/logging"
)

const (
	// callTimeout bounds one call.
	callTimeout = 5 * time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 64 << 10
	// keyHeader is the header with the idempotency key of an order.
	keyHeader = "Idempotency-Key"
)

// State is the state of a VM as the platform reports it.
type State string

// States of a VM.
const (
	Running   State = "running"
	Rebooting State = "rebooting"
	Off       State = "off"
)

// VM is a VM as the platform reports it.
type VM struct {
	VM    string `json:"vm"`
	State State  `json:"state"`
	// Boots is the number of times the VM has booted.
	Boots int `json:"boots"`
	// LastOrder is the idempotency key of the last order that was executed.
	LastOrder string `json:"last_order,omitempty"`
}

// Client calls the platform. Orders are idempotent by their key: the platform
// does not execute an order again that it has executed before.
type Client interface {
	// Get returns the state of a VM.
	Get(ctx context.Context, vm string) (VM, error)
	// Reboot reboots a VM. The parameter order is the idempotency key.
	Reboot(ctx context.Context, vm, order string) (VM, error)
	// PowerOff powers off a VM until it is started manually. The parameter order
	// is the idempotency key.
	PowerOff(ctx context.Context, vm, order string) (VM, error)
}

// RefusedError is returned when the platform answers with a status other than
// 200 OK.
type RefusedError struct {
	Status int
	Body   string
}

// Error formats the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the platform answered %d: %s", e.Status, e.Body)
}

// HTTP is a Client over HTTP. It is safe for concurrent use.
type HTTP struct {
	base string
	http *http.Client
}

// NewHTTP returns a client for the base URL of the platform's API.
func NewHTTP(base string) *HTTP {
	return &HTTP{base: strings.TrimSuffix(base, "/"), http: &http.Client{Timeout: callTimeout}}
}

// Get implements Client.
func (h *HTTP) Get(ctx context.Context, vm string) (VM, error) {
	return h.call(ctx, http.MethodGet, vm, "", "")
}

// Reboot implements Client.
func (h *HTTP) Reboot(ctx context.Context, vm, order string) (VM, error) {
	return h.call(ctx, http.MethodPost, vm, "/reboot", order)
}

// PowerOff implements Client.
func (h *HTTP) PowerOff(ctx context.Context, vm, order string) (VM, error) {
	return h.call(ctx, http.MethodPost, vm, "/power-off", order)
}

func (h *HTTP) call(ctx context.Context, method, vm, action, order string) (VM, error) {
	answer, err := h.roundTrip(ctx, method, h.base+"/platform/v1/vms/"+url.PathEscape(vm)+action, order)
	if err != nil {
		return VM{}, logging.Wrap(err, "platform "+method+" "+vm+action, h.base)
	}
	return answer, nil
}

func (h *HTTP) roundTrip(ctx context.Context, method, address, order string) (VM, error) {
	req, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return VM{}, err
	}
	if order != "" {
		req.Header.Set(keyHeader, order)
	}
	resp, err := h.http.Do(req)
	if err != nil {
		return VM{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return VM{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return VM{}, &RefusedError{Status: resp.StatusCode, Body: string(body)}
	}
	var answer VM
	return answer, json.Unmarshal(body, &answer)
}
