package explain

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// interval is the least time between two explanations, each of which costs the leader
	// as much as up to three rounds.
	interval = 250 * time.Millisecond
	// maxWait bounds how long a query waits for its turn.
	maxWait = 2 * time.Second
)

// ErrBusy is returned if too many queries wait.
var ErrBusy = errors.New("too many explanations were asked for, ask again later")

// Pacer limits the rate of explanations. The zero value is ready.
type Pacer struct {
	mu   sync.Mutex
	next time.Time
}

// Wait waits for the turn of a query. The error is ErrBusy or that of the context.
func (p *Pacer) Wait(ctx context.Context) error {
	wait, err := p.reserve(time.Now())
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

func (p *Pacer) reserve(now time.Time) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := max(0, p.next.Sub(now))
	if wait > maxWait {
		return 0, ErrBusy
	}
	p.next = now.Add(wait + interval)
	return wait, nil
}
