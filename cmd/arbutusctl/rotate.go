package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/process/keys"
)

func rotateCommand() *cli.Command {
	return &cli.Command{
		Name:  "rotate",
		Usage: "replace the certificate authority without interrupting service",
		Description: `Running processes reload changed key files within seconds. Run these steps in
this order:

  1. arbutusctl keys rotate begin --ca-dir ca
     Both authorities are trusted, and the old one still signs.
  2. arbutusctl keys trust --ca-dir ca FOLDER...
     Do this for every process and operator, and wait until each process has
     logged "keys reloaded".
  3. arbutusctl keys rotate switch --ca-dir ca
     Both authorities are trusted, and the new one signs.
  4. arbutusctl keys issue and keys token
     Do this for every process, operator and pool.
  5. arbutusctl keys rotate finish --ca-dir ca
     Then run keys trust as in step 2. The old authority is no longer trusted.

A process that misses step 2 can't be reached by the processes that got new
certificates in step 4.`,
		Commands: []*cli.Command{
			rotateStep("begin", "create a new authority; both are trusted, and the old one signs", keys.BeginRotation),
			rotateStep("switch", "let the new authority sign; both are still trusted", keys.SwitchRotation),
			rotateStep("finish", "stop trusting the old authority", keys.FinishRotation),
		},
	}
}

func rotateStep(name, usage string, step func(dir string) error) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Flags: []cli.Flag{caFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			return showDone(c, step(c.String("ca-dir")), "%s: done, see arbutusctl keys rotate --help for the next step", name)
		}}
}
