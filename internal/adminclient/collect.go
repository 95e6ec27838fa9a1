package adminclient

import (
	"context"
	"net/http"
	"sort"
	"sync"

	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/report"
)

// maxConcurrentCalls is the largest number of processes that Collect calls at the
// same time.
const maxConcurrentCalls = 16

// Collection holds the timelines that the processes of a deployment returned.
type Collection struct {
	// Status is the status from the leader. It is nil if the leader could not be
	// reached; StatusErr is then the error, and only the control processes named
	// in the settings were called.
	Status    *control.Status
	StatusErr error
	// Pages holds one page for each process that answered, sorted by name.
	Pages []timeline.Page
	// Unreachable lists the processes that did not answer, sorted by name.
	Unreachable []report.Unreachable
}

// Collect calls all processes for the events that match the filter. A process that
// does not answer is listed in Unreachable and is not an error.
func (c *Client) Collect(ctx context.Context, filter timeline.Filter) Collection {
	collection := Collection{Pages: []timeline.Page{}}
	status, err := c.Status(ctx)
	addresses := map[string]string{}
	if err != nil {
		collection.StatusErr = err
		for _, address := range c.control {
			addresses[address] = address
		}
	} else {
		collection.Status = &status
		addresses = processAddresses(status)
	}
	c.collectFrom(ctx, addresses, filter, &collection)
	return collection
}

// processAddresses returns the operator addresses of the processes that control
// knows, by identifier.
func processAddresses(status control.Status) map[string]string {
	addresses := map[string]string{}
	for _, member := range status.Replica.Members {
		addresses[member.ID] = member.Admin
	}
	for _, entry := range status.Entries {
		addresses[entry.ID] = entry.Admin
	}
	return addresses
}

// collectFrom calls the processes at the addresses and adds their pages to the
// collection.
func (c *Client) collectFrom(ctx context.Context, addresses map[string]string, filter timeline.Filter, collection *Collection) {
	var mu sync.Mutex
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for id, address := range addresses {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			page, err := c.Timeline(ctx, address, filter)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				collection.Unreachable = append(collection.Unreachable, report.Unreachable{Process: id, Address: address, Reason: err.Error()})
				return
			}
			collection.Pages = append(collection.Pages, page)
		})
	}
	group.Wait()
	sort.Slice(collection.Pages, func(i, j int) bool { return collection.Pages[i].Process < collection.Pages[j].Process })
	sort.Slice(collection.Unreachable, func(i, j int) bool { return collection.Unreachable[i].Process < collection.Unreachable[j].Process })
}

// Timeline returns the events of the process at the address that match the filter.
func (c *Client) Timeline(ctx context.Context, address string, filter timeline.Filter) (timeline.Page, error) {
	var page timeline.Page
	err := c.DoAt(ctx, address, http.MethodGet, "/v1/timeline?"+filter.Query().Encode(), nil, &page)
	return page, err
}
