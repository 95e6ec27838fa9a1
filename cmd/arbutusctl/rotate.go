package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/process/keys"
)

func rotateCommand() *cli.Command {
	return &cli.Command{
		Name:  "rotate",
		Usage: "replace the certificate authority without cutting service",
		Description: `Running processes take up changed key files within seconds. In this order:

  1. arbutusctl keys rotate begin --ca-dir ca
     Both authorities are trusted, the old one still signs.
  2. arbutusctl keys trust --ca-dir ca FOLDER...
     for every process and operator; wait until each has logged "keys reloaded".
  3. arbutusctl keys rotate switch --ca-dir ca
     The new authority signs.
  4. arbutusctl keys issue and keys token
     for every process, operator and pool.
  5. arbutusctl keys rotate finish --ca-dir ca
     then keys trust as in step 2: the old authority is trusted no more.

A process that misses step 2 can't be reached by those renewed in step 4.`,
		Commands: []*cli.Command{
			rotateStep("begin", "make a new authority; both are trusted, the old one signs", keys.BeginRotation),
			rotateStep("switch", "let the new authority sign; both are trusted", keys.SwitchRotation),
			rotateStep("finish", "end the trust in the old authority", keys.FinishRotation),
		},
	}
}

func rotateStep(name, usage string, step func(dir string) error) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Flags: []cli.Flag{caFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			return done(c, step(c.String("ca-dir")), "%s: done, see arbutusctl keys rotate --help for the next step", name)
		}}
}
