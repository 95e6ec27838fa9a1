package adminclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// Comparison is control's plan for a document and the plan's cost.
type Comparison struct {
	Moves []struct {
		VM   string `json:"vm"`
		From string `json:"from"`
		To   string `json:"to"`
	} `json:"moves"`
	ReserveBefore int       `json:"reserve_before"`
	ReserveAfter  int       `json:"reserve_after"`
	Rounds        int       `json:"rounds"`
	EstimateS     float64   `json:"estimate_s"`
	Stuck         []Blocked `json:"stuck"`
	Cost          float64   `json:"cost"`
}

// Summary returns one line with the plan's moves, time, reserve and cost.
func (c Comparison) Summary() string {
	return fmt.Sprintf("%d VMs leave their pool in %d rounds, about %.0f s; reserve %d VMs, now %d; weighed cost %.1f",
		len(c.Moves), c.Rounds, c.EstimateS, c.ReserveAfter, c.ReserveBefore, c.Cost)
}

// Blocked is a VM that can't proceed and the reason why.
type Blocked struct {
	VM     string `json:"vm"`
	Reason string `json:"reason"`
}

// Capacity is the present margin of each service.
type Capacity struct {
	Margins []struct {
		Service       string `json:"service"`
		Pool          string `json:"pool"`
		PromisedSlots int    `json:"promised_slots"`
		ServingSlots  int    `json:"serving_slots"`
		MarginSlots   int    `json:"margin_slots"`
	} `json:"margins"`
	ReserveVMs int `json:"reserve_vms"`
}

// Waves is the list of maintenance wave runs, the newest first.
type Waves struct {
	Runs []struct {
		ID        string         `json:"id"`
		Wave      string         `json:"wave"`
		Status    string         `json:"status"`
		By        string         `json:"by"`
		StartedMS int64          `json:"started_ms"`
		EndedMS   int64          `json:"ended_ms"`
		Width     int            `json:"width"`
		Count     map[string]int `json:"count"`
		Blocked   []Blocked      `json:"blocked"`
	} `json:"runs"`
}

// ErrNotAvailable is returned when the control process does not have the call.
var ErrNotAvailable = errors.New("control does not offer this yet")

// Compare returns control's plan for a document.
func (c *Client) Compare(ctx context.Context, text []byte) (*Comparison, error) {
	return doOptional[Comparison](ctx, c, http.MethodPost, "/v1/plan", text)
}

// Capacity returns the margins of all services.
func (c *Client) Capacity(ctx context.Context) (*Capacity, error) {
	return doOptional[Capacity](ctx, c, http.MethodGet, "/v1/capacity", nil)
}

// Waves returns the runs of all waves.
func (c *Client) Waves(ctx context.Context) (*Waves, error) {
	return doOptional[Waves](ctx, c, http.MethodGet, "/v1/waves", nil)
}

// doOptional makes a call that older control processes don't have, for which it
// returns ErrNotAvailable.
func doOptional[T any](ctx context.Context, c *Client, method, path string, body []byte) (*T, error) {
	var value T
	err := c.Do(ctx, method, path, body, &value)
	var statusErr *StatusError
	if errors.As(err, &statusErr) && statusErr.Status == http.StatusNotFound {
		return nil, ErrNotAvailable
	}
	if err != nil {
		return nil, err
	}
	return &value, nil
}
