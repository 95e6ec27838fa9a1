package main

import (
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// visitCommands calls visit for each command that has no subcommands.
func visitCommands(command *cli.Command, path string, visit func(path string, command *cli.Command)) {
	if len(command.Commands) == 0 {
		visit(path, command)
	}
	for _, sub := range command.Commands {
		visitCommands(sub, strings.TrimSpace(path+" "+sub.Name), visit)
	}
}

func TestEveryCommandHasAnExample(t *testing.T) {
	root := rootCommand()
	applyConventions(root, "")
	visitCommands(root, "", func(path string, command *cli.Command) {
		if !strings.Contains(command.Description, "arbutusctl "+path) {
			t.Errorf("the help of %q has no example", path)
		}
		if command.OnUsageError == nil {
			t.Errorf("errors in the command line of %q are not input errors", path)
		}
	})
}

// Examples of the member commands are exempt from this check.
func TestEveryExampleNamesACommand(t *testing.T) {
	known := map[string]bool{}
	visitCommands(rootCommand(), "", func(path string, _ *cli.Command) { known[path] = true })
	for path := range examples {
		if !known[path] && !strings.HasPrefix(path, "member ") {
			t.Errorf("there is no command %q", path)
		}
	}
}
