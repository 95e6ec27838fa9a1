// Command arbutus-console serves the web console for operators.
package main

import (
	"go.uber.org/fx"

	"arbutusward.example/arbutusward/internal/console"
	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/lifecycle"
	"arbutusward.example/arbutusward/internal/process/settings"
)

func main() {
	lifecycle.Main(lifecycle.Program[settings.Console]{
		Name:  "arbutus-console",
		Usage: "serve the web console for operators",
		Identity: func(s *settings.Console) lifecycle.Identity {
			return lifecycle.Identity{Program: "arbutus-console", ID: s.ID, KeysDir: s.KeysDir}
		},
		Options: fx.Options(
			fx.Provide(adminhttp.New, console.New),
			fx.Invoke(func(lc fx.Lifecycle, server *console.Server) { lifecycle.Attach(lc, server) }),
		),
	})
}
