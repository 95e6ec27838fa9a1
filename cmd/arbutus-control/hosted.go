package main

import (
	"go.uber.org/fx"

	"arbutusward.example/arbutusward/internal/process/hosted"
	"arbutusward.example/arbutusward/internal/process/lifecycle"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/platform"
)

// hostedControl returns the control process for the hosting platform, with the
// settings that the platform supplies.
func hostedControl() (*lifecycle.Hosted, error) {
	settings, err := platform.LoadSettings()
	if err != nil {
		return nil, err
	}
	return &lifecycle.Hosted{
		Identity: lifecycle.Identity{Program: "arbutus-control", ID: settings.VM, Zone: settings.Zone},
		MemoryMB: settings.MemoryMB,
		Options: fx.Options(
			fx.Supply(settings),
			fx.Provide(hosted.NewMembership, hosted.NewControlNode, workstate.NewMachine, hosted.NewReplica, hosted.NewControl),
			fx.Invoke(func(lc fx.Lifecycle, control *hosted.Control) { lifecycle.Attach(lc, control) }),
		),
	}, nil
}
