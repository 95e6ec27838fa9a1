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

// Timing of reports.
const (
	reportInterval = time.Second
	// drainCheckInterval is the time between checks for drained VMs.
	drainCheckInterval = 50 * time.Millisecond
	reportTimeout      = 3 * time.Second
)

// reporter reports the health of targets, drained VMs and the use of services
// to the leader.
type reporter struct {
	self        view.Entry
	incarnation string
	controls    *controls
	follower    *Follower
	targets     *announce.Table
	handler     *request.Handler
	log         *slog.Logger

	// reported is the last reported health of each target.
	reported map[string]message.TargetHealth
	// full is set if the next report must list all targets.
	full bool
	// drained lists the drained VMs in the last report.
	drained []message.DrainedVM
	// usage is the use of services that has not been reported yet.
	usage []message.ServiceUsage
}

// run reports once in each reportInterval, and at once when a VM has drained.
func (r *reporter) run(ctx context.Context) {
	r.full = true
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	var reportedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			drained := r.drainedVMs()
			changed := !slices.Equal(drained, r.drained)
			if !changed && now.Sub(reportedAt) < reportInterval {
				continue
			}
			reportedAt = now
			r.report(ctx, drained)
		}
	}
}

// drainedVMs returns the VMs that receive no new work from this entry and have
// none of its requests in flight.
func (r *reporter) drainedVMs() []message.DrainedVM {
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
		// The leader may have received the report or not.
		r.full = true
		r.drained = nil
		reportsFailed.Inc()
		r.log.Warn("report failed", logging.Err(err))
		return
	}
	r.reported, r.full, r.drained, r.usage = health, answer.NeedFull, drained, nil
}

// health returns the health of all targets that the entry knows.
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

// changes returns the targets whose health differs from the last report, the
// targets that are no longer known, and a digest of all targets. In a full
// report all targets count as changed.
func (r *reporter) changes(health map[string]message.TargetHealth) (changed []message.TargetHealth, removed []string, digest uint64) {
	for name, seen := range health {
		digest ^= message.DigestTargets([]message.TargetHealth{seen})
		if last, known := r.reported[name]; r.full || !known || last != seen {
			changed = append(changed, seen)
		}
	}
	for name := range r.reported {
		if _, known := health[name]; !known && !r.full {
			removed = append(removed, name)
		}
	}
	return changed, removed, digest
}

// addUsage adds the use of another interval to the use that has not been
// reported yet. It omits services that were not used.
func addUsage(total, fresh []message.ServiceUsage) []message.ServiceUsage {
	for _, usage := range fresh {
		if usage == (message.ServiceUsage{Service: usage.Service}) {
			continue
		}
		at := slices.IndexFunc(total, func(u message.ServiceUsage) bool { return u.Service == usage.Service })
		if at < 0 {
			total = append(total, usage)
			continue
		}
		total[at].Arrived += usage.Arrived
		total[at].Ran += usage.Ran
		total[at].Refused += usage.Refused
		total[at].Spilled += usage.Spilled
		total[at].BusySlots, total[at].Queued = usage.BusySlots, usage.Queued
	}
	return total
}
