package main

import (
	"github.com/urfave/cli/v3"
	"go.uber.org/fx"

	"arbutusward.example/arbutusward/internal/process/hosted"
	"arbutusward.example/arbutusward/internal/process/lifecycle"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/platform"
)

// Names of the flags for hosted.Tuning.
const (
	directWorkersFlag = "direct-workers"
	profilesFlag      = "profiles"
)

// hostedFlags are the flags on the hosting platform.
var hostedFlags = []cli.Flag{
	&cli.IntFlag{
		Name: directWorkersFlag, Value: hosted.DefaultDirectWorkers,
		Usage: "size of the largest fleet whose workers the leader calls itself; those of a larger one are called by the other control processes",
	},
	&cli.BoolFlag{Name: profilesFlag, Usage: "serve profiles of the processor time at /debug/pprof/profile on the metrics address, which has no access control"},
}

// hostedControl returns the control process for the hosting platform, with the
// settings that the platform supplies.
func hostedControl(c *cli.Command) (*lifecycle.Hosted, error) {
	settings, err := platform.LoadSettings()
	if err != nil {
		return nil, err
	}
	return &lifecycle.Hosted{
		Identity: lifecycle.Identity{Program: "arbutus-control", ID: settings.VM, Zone: settings.Zone},
		MemoryMB: settings.MemoryMB,
		Options: fx.Options(
			fx.Supply(settings, hosted.Tuning{DirectWorkers: c.Int(directWorkersFlag), Profiles: c.Bool(profilesFlag)}),
			fx.Provide(hosted.NewMembership, hosted.NewControlNode, workstate.NewMachine, hosted.NewReplica, hosted.NewControl),
			fx.Invoke(func(lc fx.Lifecycle, control *hosted.Control) { lifecycle.Attach(lc, control) }),
		),
	}, nil
}
