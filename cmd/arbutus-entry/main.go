// Command arbutus-entry serves callers and receives the announcements of the
// targets in its availability zone.
package main

import (
	"log/slog"

	"go.uber.org/fx"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/entry"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/lifecycle"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

func main() {
	lifecycle.Main(lifecycle.Program[settings.Entry]{
		Name:   "arbutus-entry",
		Hosted: hostedEntry,
		Usage:  "serve callers and receive target announcements in one availability zone",
		Identity: func(s *settings.Entry) lifecycle.Identity {
			return lifecycle.Identity{Program: "arbutus-entry", ID: s.ID, Zone: s.Zone, KeysDir: s.KeysDir}
		},
		Options: fx.Options(
			fx.Provide(newNode, adminhttp.New, entry.New),
			fx.Invoke(func(lc fx.Lifecycle, server *entry.Server) { lifecycle.Attach(lc, server) }),
		),
	})
}

func newNode(s *settings.Entry, ring *keys.Ring, recorder *timeline.Recorder, log *slog.Logger) (*link.Node, error) {
	return link.Listen(s.Link, ring, recorder, log)
}
