package entry

import (
	"context"
	"crypto/rand"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/version/view"
)

// reportInterval is the time between two reports.
const reportInterval = 500 * time.Millisecond

// reportLoop tells the leader what this entry sees.
func (s *Server) reportLoop(ctx context.Context) {
	incarnation := rand.Text()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.report(ctx, s.makeReport(incarnation, now))
		}
	}
}

func (s *Server) makeReport(incarnation string, now time.Time) message.Report {
	current := s.follower.View()
	report := message.Report{EntryID: s.settings.ID, Zone: s.settings.Zone, Incarnation: incarnation,
		Revision: current.Revision, Version: current.Version, Usage: s.handler.Usage()}
	for _, vm := range current.VMs {
		if vm.Phase != view.Serving && s.handler.Drained(vm.Name, vm.Epoch) {
			report.Drained = append(report.Drained, message.DrainedVM{VM: vm.Name, Epoch: vm.Epoch})
		}
	}
	for _, target := range s.targets.Snapshot().Targets {
		health := message.TargetHealth{VM: target.VM, Live: target.Live(now), Leaving: target.Leaving,
			Suspected: s.handler.Suspected(target.VM), InFlight: s.handler.InFlight(target.VM)}
		report.Targets = append(report.Targets, health)
	}
	return report
}

// report sends a report to every control process; the leader acts on it.
func (s *Server) report(ctx context.Context, report message.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	for _, address := range s.settings.Control {
		if _, err := link.Call[message.Report, message.ReportAnswer](ctx, s.node, address, message.ReportKind, report); err != nil {
			s.log.Debug("report failed", logging.Err(err))
		}
	}
}
