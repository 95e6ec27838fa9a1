package console

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/report"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

const (
	// recentSpan is the span of time before now whose events the waves page and
	// the refusals page show.
	recentSpan = time.Hour
	// maxRefusals is the largest number of refused requests that a page lists.
	maxRefusals = 200
	// minRefresh and maxRefresh are the limits of the reload interval that a
	// reader may request, in seconds.
	minRefresh = 5
	maxRefresh = 300
)

// fleetPage is the data of the page that shows versions, entries, pools and plots.
type fleetPage struct {
	// Error is the reason why the status could not be read, or "".
	Error  string
	Status control.Status
	// Behind lists the entries in which the accepted version is not in force.
	Behind []control.EntryStatus
	Pools  []poolSummary
	// Out lists the VMs that are not in phase serving.
	Out   []view.VM
	Plots []ServicePlot
	// NoSamples is the reason why the newest sample failed, or "".
	NoSamples string
}

// poolSummary is the number of VMs and slots of a pool.
type poolSummary struct {
	Pool                       string
	VMs, Serving, ServingSlots int
}

func (s *Server) getFleet(c *gin.Context) {
	var page fleetPage
	status, err := currentSession(c).client.Status(c.Request.Context())
	if err != nil {
		page.Error = err.Error()
	} else {
		page.setStatus(status)
	}
	s.samples.sampleIfEmpty(c.Request.Context())
	page.Plots, page.NoSamples = s.samples.plots()
	s.render(c, http.StatusOK, "fleet", "Fleet", page)
}

// setStatus stores the status and derives Behind, Pools and Out from it.
func (p *fleetPage) setStatus(status control.Status) {
	p.Status = status
	for _, entry := range status.Entries {
		if !entry.InForce {
			p.Behind = append(p.Behind, entry)
		}
	}
	indexes := map[string]int{}
	for _, vm := range status.VMs {
		index, known := indexes[vm.Pool]
		if !known {
			index = len(p.Pools)
			indexes[vm.Pool] = index
			p.Pools = append(p.Pools, poolSummary{Pool: vm.Pool})
		}
		p.Pools[index].VMs++
		if vm.Phase == view.Serving {
			p.Pools[index].Serving++
			p.Pools[index].ServingSlots += vm.Slots
			continue
		}
		p.Out = append(p.Out, vm)
	}
}

// wavesPage is the data of the page that shows the declared waves and their runs.
type wavesPage struct {
	// Error is the reason why the document could not be read, or "".
	Error    string
	Declared []fleet.Wave
	Runs     *adminclient.Waves
	// RunsError is the reason why Runs could not be read, or "".
	RunsError string
	Events    []timeline.Event
	// Missing lists the processes whose events could not be collected.
	Missing []report.Unreachable
}

func (s *Server) getWaves(c *gin.Context) {
	client := currentSession(c).client
	ctx := c.Request.Context()
	var page wavesPage
	accepted, err := client.CurrentDocument(ctx)
	if err != nil {
		page.Error = err.Error()
	} else if accepted.Document != nil {
		page.Declared = accepted.Document.Waves
	}
	if page.Runs, err = client.Waves(ctx); err != nil {
		page.RunsError = err.Error()
	}
	collection := client.Collect(ctx, timeline.Filter{From: time.Now().Add(-recentSpan)})
	page.Missing = collection.Unreachable
	for _, event := range newestFirst(timeline.Merge(collection.Pages)) {
		if event.Wave != "" {
			page.Events = append(page.Events, event)
		}
	}
	s.render(c, http.StatusOK, "waves", "Waves", page)
}

// maxNamedVMs is the largest number of blocked VMs that are named for one reason.
const maxNamedVMs = 12

// waitingGroup is the set of VMs that are blocked for the same reason.
type waitingGroup struct {
	Reason string
	// Shown holds the names of the first maxNamedVMs VMs.
	Shown []string
	// Count is the number of all VMs, More the number that Shown leaves out.
	Count, More int
}

// groupByReason groups the blocked VMs by reason.
func groupByReason(blocked []adminclient.Blocked) []waitingGroup {
	indexes := map[string]int{}
	var groups []waitingGroup
	for _, vm := range blocked {
		index, known := indexes[vm.Reason]
		if !known {
			index = len(groups)
			indexes[vm.Reason] = index
			groups = append(groups, waitingGroup{Reason: vm.Reason})
		}
		group := &groups[index]
		group.Count++
		if len(group.Shown) < maxNamedVMs {
			group.Shown = append(group.Shown, vm.VM)
		} else {
			group.More++
		}
	}
	return groups
}

// newestFirst reverses the events in place and returns them.
func newestFirst(events []timeline.Event) []timeline.Event {
	slices.Reverse(events)
	return events
}

// refusalsPage is the data of the page that shows the refusals within recentSpan.
type refusalsPage struct {
	// Error is the reason why the entries could not be asked, or "".
	Error  string
	Report report.Report
	// Newest lists the newest maxRefusals refused requests, the newest first.
	Newest []report.RequestEvent
	// Changes lists the documents that were refused.
	Changes []report.RefusedChange
}

func (s *Server) getRefusals(c *gin.Context) {
	now := time.Now().UTC()
	collection := currentSession(c).client.Collect(c.Request.Context(), timeline.Filter{From: now.Add(-recentSpan)})
	page := refusalsPage{Report: report.Build(report.Input{From: now.Add(-recentSpan), To: now, Collected: now,
		Pages: collection.Pages, Unreachable: collection.Unreachable})}
	if collection.StatusErr != nil {
		page.Error = errors.Join(errors.New("the entries were not asked, since no leader names them"), collection.StatusErr).Error()
	}
	page.Newest = slices.Clone(page.Report.RefusedRequests)
	slices.Reverse(page.Newest)
	page.Newest = page.Newest[:min(len(page.Newest), maxRefusals)]
	page.Changes = page.Report.RefusedVersions
	s.render(c, http.StatusOK, "refusals", "Refusals", page)
}

// refreshSeconds returns the reload interval from the query parameter refresh,
// within its limits, or 0 if there is none.
func refreshSeconds(c *gin.Context) int {
	seconds, err := strconv.Atoi(c.Query("refresh"))
	if err != nil || seconds <= 0 {
		return 0
	}
	return min(max(seconds, minRefresh), maxRefresh)
}
