// Command arbutusctl is the command-line tool for operators.
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

// run executes a command line and returns the exit code. For any failure,
// including a panic, operators see one message and no stack trace.
func run(args []string) (code int) {
	defer func() {
		if fault := recover(); fault != nil {
			fmt.Fprintln(os.Stderr, "arbutusctl: internal fault, please report it:", fault)
			code = lifecycle.ExitFailed
		}
	}()
	root := rootCommand()
	applyConventions(root, "")
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
		Description: `Flags take precedence over environment variables, and these over the
settings file that --config names.

Exit codes: 0 success, 1 failure, 2 bad input (command line, file or
document), 3 conflict (another document was accepted on the same base), 4 no
definite answer from control (it is safe to run the command again), 5 refused.

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
			c.Usage = "print the completion script for a shell: bash, zsh, fish or pwsh"
		},
		Commands: []*cli.Command{
			validateCommand(), planCommand(), applyCommand(), currentCommand(), statusCommand(), capacityCommand(),
			waveCommand(), moveCommand(), jobCommand(), entryCommand(), memberCommand(),
			explainCommand(), timelineCommand(), reportCommand(), keysCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// applyConventions sets up a command and its subcommands in the same way:
// errors in the command line are input errors, a group called without a
// subcommand shows its help, a command without a Description gets its example,
// and the output format is checked before a command runs. The path holds the
// names of the command and its parents below the root.
func applyConventions(command *cli.Command, path string) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return &inputError{err} }
	if len(command.Commands) > 0 && command.Action == nil {
		command.Action = showGroupHelp
	}
	if example, known := examples[path]; known && command.Description == "" {
		command.Description = "Example:\n  arbutusctl " + example
	}
	action := command.Action
	if action != nil {
		command.Action = func(ctx context.Context, c *cli.Command) error {
			if err := checkOutput(c); err != nil {
				return err
			}
			return action(ctx, c)
		}
	}
	for _, sub := range command.Commands {
		applyConventions(sub, strings.TrimSpace(path+" "+sub.Name))
	}
}

// showGroupHelp is the action of a command group: it shows the help of the
// group, or returns an error if the first argument is no known subcommand.
func showGroupHelp(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return badInput("unknown command %q, see %s --help", c.Args().First(), c.FullName())
	}
	return cli.ShowSubcommandHelp(c)
}
