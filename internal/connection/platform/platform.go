// Package platform calls the platform that runs the VMs. See
// docs/platform-protocol.md.
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
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 10
	// orderHeader carries the idempotency key of an order.
	orderHeader = "Idempotency-Key"
)

// State is the platform's word on a VM.
type State string

// States of a VM.
const (
	Running   State = "running"
	Rebooting State = "rebooting"
	Off       State = "off"
)

// VM is the platform's answer about a VM.
type VM struct {
	VM    string `json:"vm"`
	State State  `json:"state"`
	// Boots counts the starts of the VM.
	Boots int `json:"boots"`
	// LastOrder is the idempotency key of the newest order carried out.
	LastOrder string `json:"last_order,omitempty"`
}

// Client is what the system asks of the platform. Orders are idempotent by
// their key: one that was carried out is not carried out again.
type Client interface {
	// Get returns the state of a VM.
	Get(ctx context.Context, vm string) (VM, error)
	// Reboot restarts a VM.
	Reboot(ctx context.Context, vm, order string) (VM, error)
	// PowerOff ends a VM until it is started by hand.
	PowerOff(ctx context.Context, vm, order string) (VM, error)
}

// RefusedError is an answer of the platform that is no success.
type RefusedError struct {
	Status int
	Body   string
}

// Error formats the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the platform answered %d: %s", e.Status, e.Body)
}

// HTTP is a client over HTTP. It is safe for concurrent use.
type HTTP struct {
	base string
	http *http.Client
}

// NewHTTP returns a client for the base URL of the platform's API.
func NewHTTP(base string) *HTTP {
	return &HTTP{base: strings.TrimSuffix(base, "/"), http: &http.Client{Timeout: callTimeout}}
}

// Get returns the state of a VM.
func (h *HTTP) Get(ctx context.Context, vm string) (VM, error) {
	return h.call(ctx, http.MethodGet, vm, "", "")
}

// Reboot restarts a VM.
func (h *HTTP) Reboot(ctx context.Context, vm, order string) (VM, error) {
	return h.call(ctx, http.MethodPost, vm, "/reboot", order)
}

// PowerOff ends a VM.
func (h *HTTP) PowerOff(ctx context.Context, vm, order string) (VM, error) {
	return h.call(ctx, http.MethodPost, vm, "/power-off", order)
}

func (h *HTTP) call(ctx context.Context, method, vm, action, order string) (VM, error) {
	answer, err := h.exchange(ctx, method, h.base+"/platform/v1/vms/"+url.PathEscape(vm)+action, order)
	if err != nil {
		return VM{}, logging.Wrap(err, "platform "+method+" "+vm+action, h.base)
	}
	return answer, nil
}

func (h *HTTP) exchange(ctx context.Context, method, address, order string) (VM, error) {
	req, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return VM{}, err
	}
	if order != "" {
		req.Header.Set(orderHeader, order)
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
