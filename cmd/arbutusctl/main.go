// Command arbutusctl is the operators' command line.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/process/lifecycle"
)

func main() {
	os.Exit(run(os.Args))
}

// run carries out a command line and returns the exit code. Operators see
// one message for whatever goes wrong, never a stack trace.
func run(args []string) (code int) {
	defer func() {
		if fault := recover(); fault != nil {
			fmt.Fprintln(os.Stderr, "arbutusctl: internal fault, please report it:", fault)
			code = lifecycle.ExitFailed
		}
	}()
	root := rootCommand()
	conform(root, "")
	err := root.Run(context.Background(), args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "arbutusctl:", err)
	}
	return exitCode(err)
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "arbutusctl",
		Usage: "operate an arbutusward deployment",
		Description: `Settings come from flags, then from environment variables, then from the
file that --config names.

Exit codes: 0 done, 1 failed, 2 bad input (command line, file or document),
3 conflict (another document was accepted on the base), 4 no definite answer
from control (resending is safe), 5 refused.

Examples:
  arbutusctl validate fleet.jsonc
  arbutusctl apply --dry-run fleet.jsonc
  arbutusctl apply --base 41 --wait fleet.jsonc
  arbutusctl timeline --request 7Q2M
  arbutusctl report --from 2026-03-01T00:00:00Z --to 2026-03-02T00:00:00Z -o html > day.html
  source <(arbutusctl completion bash)`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings file of arbutusctl, JSON with comments", Sources: cli.EnvVars("ARBUTUS_CONFIG")},
			&cli.StringSliceFlag{Name: "control", Usage: "operator addresses of the control processes", Sources: cli.EnvVars("ARBUTUS_CONTROL")},
			&cli.StringFlag{Name: "ca", Usage: "folder with ca.pem", Sources: cli.EnvVars("ARBUTUS_CA")},
			&cli.StringFlag{Name: "token", Usage: "file with the operator's token", Sources: cli.EnvVars("ARBUTUS_TOKEN")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "table or json; report also writes html"},
		},
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.Usage = "write the completion script of a shell: bash, zsh, fish or pwsh"
		},
		Commands: []*cli.Command{
			validateCommand(), planCommand(), applyCommand(), currentCommand(), statusCommand(), capacityCommand(),
			waveCommand(), moveCommand(), jobCommand(), entryCommand(), memberCommand(),
			timelineCommand(), reportCommand(), keysCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// conform gives a command and those below it the common conventions:
// faults of the command line are bad input, and a group without a
// subcommand shows its help. The path names the command below the root.
func conform(command *cli.Command, path string) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return &inputError{err} }
	if len(command.Commands) > 0 && command.Action == nil {
		command.Action = showGroup
	}
	if example, known := examples[path]; known && command.Description == "" {
		command.Description = "Example:\n  arbutusctl " + example
	}
	check := command.Action
	if check != nil {
		command.Action = func(ctx context.Context, c *cli.Command) error {
			if err := checkOutput(c); err != nil {
				return err
			}
			return check(ctx, c)
		}
	}
	for _, sub := range command.Commands {
		conform(sub, strings.TrimSpace(path+" "+sub.Name))
	}
}

// showGroup answers a group of commands that got no known subcommand.
func showGroup(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return badInput("unknown command %q, see %s --help", c.Args().First(), c.FullName())
	}
	return cli.ShowSubcommandHelp(c)
}
