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

// collectAtOnce bounds the processes that are asked at the same time.
const collectAtOnce = 16

// Collection is what the processes of a deployment told of themselves.
type Collection struct {
	// Status is the leader's; nil with StatusErr if there was none. Then
	// only the control processes named in the settings were asked.
	Status    *control.Status
	StatusErr error
	// Pages holds one page for each process that answered, by name.
	Pages       []timeline.Page
	Unreachable []report.Unreachable
}

// Collect asks all processes for the events that a filter picks. Those
// that do not answer are listed, not an error.
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

// processAddresses maps the processes that control knows to their
// operator addresses.
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

func (c *Client) collectFrom(ctx context.Context, addresses map[string]string, filter timeline.Filter, into *Collection) {
	var mu sync.Mutex
	var group sync.WaitGroup
	tickets := make(chan struct{}, collectAtOnce)
	for id, address := range addresses {
		group.Go(func() {
			tickets <- struct{}{}
			defer func() { <-tickets }()
			page, err := c.Timeline(ctx, address, filter)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				into.Unreachable = append(into.Unreachable, report.Unreachable{Process: id, Address: address, Reason: err.Error()})
				return
			}
			into.Pages = append(into.Pages, page)
		})
	}
	group.Wait()
	sort.Slice(into.Pages, func(i, j int) bool { return into.Pages[i].Process < into.Pages[j].Process })
	sort.Slice(into.Unreachable, func(i, j int) bool { return into.Unreachable[i].Process < into.Unreachable[j].Process })
}

// Timeline returns the events of one process that a filter picks.
func (c *Client) Timeline(ctx context.Context, address string, filter timeline.Filter) (timeline.Page, error) {
	var page timeline.Page
	err := c.DoAt(ctx, address, http.MethodGet, "/v1/timeline?"+filter.Query().Encode(), nil, &page)
	return page, err
}
