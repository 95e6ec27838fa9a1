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
	// refusalSpan is the time before now that the refusals page shows.
	refusalSpan = time.Hour
	// maxRefusals bounds the refusals that are listed one by one.
	maxRefusals = 200
	// minRefresh and maxRefresh bound the seconds between reloads of a
	// page, where its reader asked for them.
	minRefresh = 5
	maxRefresh = 300
)

// fleetPage shows versions, entries, pools and the plots.
type fleetPage struct {
	Error     string
	Status    control.Status
	Behind    []control.EntryStatus
	Pools     []poolSummary
	Out       []view.VM
	Plots     []ServicePlot
	NoSamples string
}

// poolSummary counts the VMs of a pool.
type poolSummary struct {
	Pool                       string
	VMs, Serving, ServingSlots int
}

func (s *Server) getFleet(c *gin.Context) {
	var page fleetPage
	status, err := current(c).client.Status(c.Request.Context())
	if err != nil {
		page.Error = err.Error()
	} else {
		page.fill(status)
	}
	s.samples.sampleIfEmpty(c.Request.Context())
	page.Plots, page.NoSamples = s.samples.plots()
	s.render(c, http.StatusOK, "fleet", "Fleet", page)
}

func (p *fleetPage) fill(status control.Status) {
	p.Status = status
	for _, entry := range status.Entries {
		if !entry.InForce {
			p.Behind = append(p.Behind, entry)
		}
	}
	places := map[string]int{}
	for _, vm := range status.VMs {
		place, known := places[vm.Pool]
		if !known {
			place = len(p.Pools)
			places[vm.Pool] = place
			p.Pools = append(p.Pools, poolSummary{Pool: vm.Pool})
		}
		p.Pools[place].VMs++
		if vm.Phase == view.Serving {
			p.Pools[place].Serving++
			p.Pools[place].ServingSlots += vm.Slots
			continue
		}
		p.Out = append(p.Out, vm)
	}
}

// wavesPage shows the declared waves and their runs.
type wavesPage struct {
	Error     string
	Declared  []fleet.Wave
	Runs      *adminclient.Waves
	RunsError string
	Events    []timeline.Event
	Missing   []report.Unreachable
}

func (s *Server) getWaves(c *gin.Context) {
	client := current(c).client
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
	collection := client.Collect(ctx, timeline.Filter{From: time.Now().Add(-refusalSpan)})
	page.Missing = collection.Unreachable
	for _, event := range newest(timeline.Merge(collection.Pages)) {
		if event.Wave != "" {
			page.Events = append(page.Events, event)
		}
	}
	s.render(c, http.StatusOK, "waves", "Waves", page)
}

// maxWaiting bounds the VMs that are named for one reason.
const maxWaiting = 12

// waiting is the VMs that wait for one reason.
type waiting struct {
	Reason      string
	Shown       []string
	Count, More int
}

// groupWaits groups what waits by its reason.
func groupWaits(blocked []adminclient.Blocked) []waiting {
	places := map[string]int{}
	var groups []waiting
	for _, one := range blocked {
		place, known := places[one.Reason]
		if !known {
			place = len(groups)
			places[one.Reason] = place
			groups = append(groups, waiting{Reason: one.Reason})
		}
		group := &groups[place]
		group.Count++
		if len(group.Shown) < maxWaiting {
			group.Shown = append(group.Shown, one.VM)
		} else {
			group.More++
		}
	}
	return groups
}

// newest returns the events, the newest first.
func newest(events []timeline.Event) []timeline.Event {
	slices.Reverse(events)
	return events
}

// refusalsPage shows the refusals of the last hour.
type refusalsPage struct {
	Error   string
	Report  report.Report
	Newest  []report.RequestEvent
	Changes []report.RefusedChange
}

func (s *Server) getRefusals(c *gin.Context) {
	now := time.Now().UTC()
	collection := current(c).client.Collect(c.Request.Context(), timeline.Filter{From: now.Add(-refusalSpan)})
	page := refusalsPage{Report: report.Build(report.Input{From: now.Add(-refusalSpan), To: now, Collected: now,
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

// refreshSeconds returns the time between reloads that the reader asked
// for with ?refresh=; 0 for none.
func refreshSeconds(c *gin.Context) int {
	seconds, err := strconv.Atoi(c.Query("refresh"))
	if err != nil || seconds <= 0 {
		return 0
	}
	return min(max(seconds, minRefresh), maxRefresh)
}
