package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
)

// announceTimeout is the timeout of one announcement.
const announceTimeout = 500 * time.Millisecond

// announceTo announces the target to one entry, at the interval that the entry
// asks for, until the context ends.
func (t *Target) announceTo(ctx context.Context, entry string) {
	defer t.announcers.Done()
	for ctx.Err() == nil {
		interval := announce.NextInterval
		if lease, err := t.announceOnce(ctx, entry); err == nil {
			interval = time.Duration(lease.NextMS) * time.Millisecond
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// announceOnce sends one announcement to an entry and returns the lease that
// the entry grants.
func (t *Target) announceOnce(ctx context.Context, entry string) (announce.Lease, error) {
	var lease announce.Lease
	address := t.config.Advertise
	if address == "" {
		address = t.Address()
	}
	t.mu.Lock()
	leaving := t.leaving
	t.mu.Unlock()
	body, err := json.Marshal(announce.Announcement{VM: t.config.VM, Address: address, Services: t.config.Services, Incarnation: t.incarnation, StartedMS: t.startedMS, Leaving: leaving})
	if err != nil {
		return lease, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/targets", bytes.NewReader(body))
	if err != nil {
		return lease, err
	}
	req.Header.Set("Authorization", "Bearer "+t.config.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err != nil {
		return lease, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return lease, fmt.Errorf("entry %s responded with status %s", entry, resp.Status)
	}
	return lease, json.NewDecoder(resp.Body).Decode(&lease)
}
