package control

import (
	"maps"
	"slices"
	"sort"
	"time"

	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

const (
	// reportLifetime is the time for which a report is valid.
	reportLifetime = 3 * time.Second
	// lossTimeout is the time after which a target that is not live counts as
	// lost.
	lossTimeout = 10 * time.Second
)

// livenessTracker records since when each VM has been live, or not live. It
// belongs to one goroutine.
type livenessTracker struct {
	live    map[string]time.Time
	missing map[string]time.Time
}

func newLivenessTracker() *livenessTracker {
	return &livenessTracker{live: map[string]time.Time{}, missing: map[string]time.Time{}}
}

// observe records whether a VM is live now, and returns since when it has
// been live or missing. The other time is zero.
func (t *livenessTracker) observe(vm string, live bool, now time.Time) (liveSince, missingSince time.Time) {
	if live {
		delete(t.missing, vm)
		if t.live[vm].IsZero() {
			t.live[vm] = now
		}
	} else {
		delete(t.live, vm)
		if t.missing[vm].IsZero() {
			t.missing[vm] = now
		}
	}
	return t.live[vm], t.missing[vm]
}

// planInput builds the input of the planners.
func (s *Server) planInput(f *state.Fleet, liveness *livenessTracker, calls *platformCalls, now time.Time) plan.Input {
	reports := freshReports(s.observations.all(), f, now)
	in := plan.Input{NowMS: now.UnixMilli(), Document: f.Document, Zones: zoneStatuses(f, reports), Moves: f.Moves, BusySlots: busySlots(reports)}
	desired := map[string]string{}
	for _, vm := range f.Document.VMs {
		desired[vm.Name] = vm.Pool
	}
	live := liveTargets(reports)
	in.VMs = make([]plan.VM, 0, len(f.VMs))
	for _, name := range slices.Sorted(maps.Keys(f.VMs)) {
		owned := f.VMs[name]
		vm := plan.VM{VM: owned.VM, Desired: desired[name], SinceMS: owned.SinceMS}
		liveSince, missingSince := liveness.observe(name, live[name], now)
		vm.Health = health(live[name], in.Zones[vm.Zone], missingSince, now)
		if !liveSince.IsZero() {
			vm.LiveSinceMS = liveSince.UnixMilli()
		}
		if vm.Phase == view.Draining {
			vm.Unconfirmed = append(unconfirmedEntries(f, owned, reports), s.remainingTasks(name)...)
			vm.Drained = len(vm.Unconfirmed) == 0
		}
		if calls != nil {
			vm.Platform = calls.status(name)
		}
		in.VMs = append(in.VMs, vm)
	}
	for _, run := range f.Runs {
		in.Runs = append(in.Runs, run)
	}
	sort.Slice(in.Runs, func(i, j int) bool { return in.Runs[i].ID < in.Runs[j].ID })
	return in
}

// freshReports returns the newest report of each registered entry whose last
// report is at most reportLifetime old.
func freshReports(observed map[string]observation, f *state.Fleet, now time.Time) map[string]message.Report {
	fresh := map[string]message.Report{}
	for id := range f.Entries {
		last := observed[id]
		if last.report.Incarnation != "" && now.Sub(last.reportedAt) <= reportLifetime {
			fresh[id] = last.report
		}
	}
	return fresh
}

// zoneStatuses returns the number of entries and the unresponsive entries of
// each zone.
func zoneStatuses(f *state.Fleet, reports map[string]message.Report) map[string]plan.ZoneStatus {
	zones := map[string]plan.ZoneStatus{}
	for id, entry := range f.Entries {
		zone := zones[entry.Zone]
		zone.Entries++
		if _, reported := reports[id]; !reported {
			zone.Unresponsive = append(zone.Unresponsive, id)
		}
		zones[entry.Zone] = zone
	}
	for _, zone := range zones {
		sort.Strings(zone.Unresponsive)
	}
	return zones
}

// liveTargets returns the VMs that at least one entry reports as live and no
// entry reports as suspected or leaving.
func liveTargets(reports map[string]message.Report) map[string]bool {
	live := map[string]bool{}
	var suspected []string
	for _, report := range reports {
		for _, target := range report.Targets {
			switch {
			case target.Suspected || target.Leaving:
				suspected = append(suspected, target.VM)
			case target.Live:
				live[target.VM] = true
			}
		}
	}
	for _, vm := range suspected {
		delete(live, vm)
	}
	return live
}

// health returns Up or Down only in a zone whose entries are responsive, and
// Down only after lossTimeout.
func health(live bool, zone plan.ZoneStatus, missingSince, now time.Time) plan.Health {
	switch {
	case live && zone.Responsive():
		return plan.Up
	case !live && zone.Responsive() && now.Sub(missingSince) >= lossTimeout:
		return plan.Down
	}
	return plan.Unknown
}

// busySlots returns the busy slots of each service, summed over all entries.
func busySlots(reports map[string]message.Report) map[string]float64 {
	busy := map[string]float64{}
	for _, report := range reports {
		for _, usage := range report.Usage {
			busy[usage.Service] += usage.BusySlots
		}
	}
	return busy
}
