// Command arbutusctl is the operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/jsonc"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/lifecycle"
)

func main() {
	root := &cli.Command{
		Name:  "arbutusctl",
		Usage: "operate an arbutusward deployment",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "control", Usage: "operator addresses of the control processes", Sources: cli.EnvVars("ARBUTUS_CONTROL")},
			&cli.StringFlag{Name: "ca", Usage: "folder with ca.pem", Sources: cli.EnvVars("ARBUTUS_CA")},
			&cli.StringFlag{Name: "token", Usage: "file with the operator's token", Sources: cli.EnvVars("ARBUTUS_TOKEN")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "table or json"},
		},
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			validateCommand(), applyCommand(), statusCommand(), timelineCommand(), keysCommand(), memberCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitCode(err))
}

// exitCode maps an error to the exit codes that scripts can use.
func exitCode(err error) int {
	var problems jsonc.Problems
	var refused *adminclient.StatusError
	switch {
	case errors.As(err, &problems):
		return lifecycle.ExitBadInput
	case errors.As(err, &refused) && refused.Status == http.StatusConflict && refused.Fault.Code == "conflict":
		return lifecycle.ExitConflict
	case errors.As(err, &refused) && (refused.Status == http.StatusUnprocessableEntity || refused.Status == http.StatusBadRequest):
		return lifecycle.ExitBadInput
	case errors.Is(err, adminclient.ErrNotReachable):
		return lifecycle.ExitNotReachable
	case errors.As(err, &refused):
		return lifecycle.ExitRefused
	}
	return lifecycle.ExitFailed
}

// connect makes a client from the global flags.
func connect(c *cli.Command) (*adminclient.Client, error) {
	ring, err := keys.LoadCA(c.String("ca"))
	if err != nil {
		return nil, err
	}
	token, err := os.ReadFile(c.String("token"))
	if err != nil {
		return nil, fmt.Errorf("read operator token: %w", err)
	}
	return adminclient.New(ring, c.StringSlice("control"), adminclient.ReadToken(token)), nil
}
