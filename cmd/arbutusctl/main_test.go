package main

import (
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// walk calls visit for each command that does something.
func walk(command *cli.Command, path string, visit func(path string, command *cli.Command)) {
	if len(command.Commands) == 0 {
		visit(path, command)
	}
	for _, sub := range command.Commands {
		walk(sub, strings.TrimSpace(path+" "+sub.Name), visit)
	}
}

func TestEveryCommandHasAnExampleOfItsOwn(t *testing.T) {
	root := rootCommand()
	conform(root, "")
	walk(root, "", func(path string, command *cli.Command) {
		if !strings.Contains(command.Description, "arbutusctl "+path) {
			t.Errorf("the help of %q has no example", path)
		}
		if command.OnUsageError == nil {
			t.Errorf("faults of the command line of %q are not bad input", path)
		}
	})
}

func TestEveryExampleBelongsToACommandOrOneOfTheMembers(t *testing.T) {
	known := map[string]bool{}
	walk(rootCommand(), "", func(path string, _ *cli.Command) { known[path] = true })
	for path := range examples {
		if !known[path] && !strings.HasPrefix(path, "member ") {
			t.Errorf("there is no command %q", path)
		}
	}
}
