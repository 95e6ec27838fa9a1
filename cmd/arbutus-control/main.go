// Command arbutus-control maintains the replicated state of a deployment and
// runs its planners.
package main

import (
	"log/slog"
	"os"

	"go.uber.org/fx"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/lifecycle"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/replica/driver"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

func main() {
	lifecycle.Main(lifecycle.Program[settings.Control]{
		Name:        "arbutus-control",
		Hosted:      hostedControl,
		HostedFlags: hostedFlags,
		Usage:       "maintain the replicated state of a deployment and run its planners",
		Identity: func(s *settings.Control) lifecycle.Identity {
			return lifecycle.Identity{Program: "arbutus-control", ID: s.ID, Zone: s.Zone, KeysDir: s.KeysDir}
		},
		Options: fx.Options(
			fx.Provide(newNode, newReplica, state.NewMachine, adminhttp.New, control.New),
			fx.Invoke(func(lc fx.Lifecycle, server *control.Server) { lifecycle.Attach(lc, server) }),
		),
	})
}

func newNode(s *settings.Control, ring *keys.Ring, recorder *timeline.Recorder, log *slog.Logger) (*link.Node, error) {
	return link.Listen(s.Link, ring, recorder, log)
}

func newReplica(s *settings.Control, machine *state.Machine, node *link.Node, recorder *timeline.Recorder, log *slog.Logger) (replica.Replica, error) {
	var initialMembers []replica.Member
	for _, m := range s.Members {
		initialMembers = append(initialMembers, replica.Member{ID: m.ID, Link: m.Link, Admin: m.Admin})
	}
	return driver.Open(driver.Options{
		Self:           replica.Member{ID: s.ID, Link: s.Link, Admin: s.Admin},
		InitialMembers: initialMembers,
		Join:           s.Join,
		Dir:            s.DataDir,
		Machine:        machine,
		Node:           node,
		Recorder:       recorder,
		Log:            log,
		Fatal: func(err error) {
			log.Error("replica failed, exiting", logging.Err(err))
			os.Exit(lifecycle.ExitFailed)
		},
	})
}
