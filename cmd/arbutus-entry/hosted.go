package main

import (
	"github.com/urfave/cli/v3"
	"go.uber.org/fx"

	"arbutusward.example/arbutusward/internal/process/hosted"
	"arbutusward.example/arbutusward/internal/process/lifecycle"
	"arbutusward.example/arbutusward/platform"
)

// hostedEntry returns the entry for the hosting platform, with the settings
// that the platform supplies.
func hostedEntry(*cli.Command) (*lifecycle.Hosted, error) {
	settings, err := platform.LoadSettings()
	if err != nil {
		return nil, err
	}
	return &lifecycle.Hosted{
		Identity: lifecycle.Identity{Program: "arbutus-entry", ID: settings.VM, Zone: settings.Zone},
		MemoryMB: settings.MemoryMB,
		Options: fx.Options(
			fx.Supply(settings),
			fx.Provide(hosted.NewEntryNode, hosted.NewEntry),
			fx.Invoke(func(lc fx.Lifecycle, entry *hosted.Entry) { lifecycle.Attach(lc, entry) }),
		),
	}, nil
}
