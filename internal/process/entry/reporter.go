package entry

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/request"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Times of reports.
const (
	reportInterval = time.Second
	// drainPoll is the time between looks for VMs that have drained.
	drainPoll     = 50 * time.Millisecond
	reportTimeout = 3 * time.Second
)

// reporter tells the leader what the entry sees.
type reporter struct {
	self        view.Entry
	incarnation string
	controls    *controls
	follower    *Follower
	targets     *announce.Table
	handler     *request.Handler
	log         *slog.Logger

	// told is the health of each target as the leader knows it.
	told map[string]message.TargetHealth
	// full asks for a report of all targets.
	full bool
	// drained is the confirmations in the last report.
	drained []message.DrainedVM
	// usage is what could not be reported yet.
	usage []message.ServiceUsage
}

// run reports once an interval, and at once when a VM has drained.
func (r *reporter) run(ctx context.Context) {
	r.full = true
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	var reportedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			drained := r.drainedNow()
			news := !slices.Equal(drained, r.drained)
			if !news && now.Sub(reportedAt) < reportInterval {
				continue
			}
			reportedAt = now
			r.report(ctx, drained)
		}
	}
}

// drainedNow lists the VMs without new work and without requests in flight.
func (r *reporter) drainedNow() []message.DrainedVM {
	if !r.follower.MayConfirm() {
		return nil
	}
	var drained []message.DrainedVM
	for _, vm := range r.follower.View().VMs {
		if vm.Phase != view.Serving && r.handler.Drained(vm.Name, vm.Epoch) {
			drained = append(drained, message.DrainedVM{VM: vm.Name, Epoch: vm.Epoch})
		}
	}
	slices.SortFunc(drained, func(a, b message.DrainedVM) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return drained
}

func (r *reporter) report(ctx context.Context, drained []message.DrainedVM) {
	current := r.follower.View()
	health := r.health(current)
	r.usage = addUsage(r.usage, r.handler.Usage())
	report := message.Report{EntryID: r.self.ID, Zone: r.self.Zone, Incarnation: r.incarnation,
		Revision: current.Revision, Version: current.Version, Drained: drained, Usage: r.usage, Full: r.full}
	report.Targets, report.RemovedTargets, report.TargetsDigest = r.changes(health)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := callLeader[message.Report, message.ReportAnswer](ctx, r.controls, message.ReportKind, report)
	if err != nil {
		// What the leader knows now is open.
		r.full = true
		r.drained = nil
		reportsFailed.Inc()
		r.log.Warn("report failed", logging.Err(err))
		return
	}
	r.told, r.full, r.drained, r.usage = health, answer.NeedFull, drained, nil
}

// health returns the state of all targets that the entry knows.
func (r *reporter) health(v *view.View) map[string]message.TargetHealth {
	now := time.Now()
	health := map[string]message.TargetHealth{}
	for name, target := range r.targets.Snapshot().Targets {
		seen := message.TargetHealth{VM: name, Live: target.LeaseValid(now), Suspected: r.handler.Suspected(name), Leaving: target.Leaving}
		if v.VMs[name].Phase != view.Serving {
			seen.InFlight = r.handler.InFlight(name)
		}
		health[name] = seen
	}
	return health
}

// changes returns what the leader does not know yet, or all with full.
func (r *reporter) changes(health map[string]message.TargetHealth) (changed []message.TargetHealth, gone []string, digest uint64) {
	for name, seen := range health {
		digest ^= message.DigestTargets([]message.TargetHealth{seen})
		if told, known := r.told[name]; r.full || !known || told != seen {
			changed = append(changed, seen)
		}
	}
	for name := range r.told {
		if _, known := health[name]; !known && !r.full {
			gone = append(gone, name)
		}
	}
	return changed, gone, digest
}

// addUsage joins the use of intervals that are reported together. Services
// without any use are left out.
func addUsage(kept, fresh []message.ServiceUsage) []message.ServiceUsage {
	for _, usage := range fresh {
		if usage == (message.ServiceUsage{Service: usage.Service}) {
			continue
		}
		at := slices.IndexFunc(kept, func(u message.ServiceUsage) bool { return u.Service == usage.Service })
		if at < 0 {
			kept = append(kept, usage)
			continue
		}
		kept[at].Arrived += usage.Arrived
		kept[at].Ran += usage.Ran
		kept[at].Refused += usage.Refused
		kept[at].Spilled += usage.Spilled
		kept[at].BusySlots, kept[at].Queued = usage.BusySlots, usage.Queued
	}
	return kept
}
