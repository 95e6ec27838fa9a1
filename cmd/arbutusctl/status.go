package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/process/control"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show versions, entries and VMs",
		Description: "Examples:\n  arbutusctl status\n  arbutusctl status -o json",
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := connect(c)
			if err != nil {
				return err
			}
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if wantsJSON(c) {
				return printJSON(status)
			}
			return printStatus(status)
		},
	}
}

func printStatus(status control.Status) error {
	fmt.Printf("leader %s, term %d; version %d accepted; %s\n\n", status.Replica.Leader, status.Replica.Term, status.Accepted, lagging(status))
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENTRY\tZONE\tVERSION\tIN FORCE\tLAST HEARD")
	for _, entry := range status.Entries {
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%s\n", entry.ID, entry.Zone, entry.Version, entry.InForce, lastHeard(entry))
	}
	fmt.Fprintln(table, "\nVM\tPOOL\tZONE\tRACK\tPHASE\tEPOCH")
	for _, vm := range status.VMs {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\n", vm.Name, vm.Pool, vm.Zone, vm.Rack, vm.Phase, vm.Epoch)
	}
	return table.Flush()
}

// lagging says in how many entries the accepted version is in force and
// names those in which it is not.
func lagging(status control.Status) string {
	var behind []string
	for _, entry := range status.Entries {
		if !entry.InForce {
			behind = append(behind, fmt.Sprintf("%s (last heard %s)", entry.ID, lastHeard(entry)))
		}
	}
	if len(behind) == 0 {
		return fmt.Sprintf("in force in all %d entries", len(status.Entries))
	}
	return fmt.Sprintf("in force in %d of %d entries, not in %s",
		len(status.Entries)-len(behind), len(status.Entries), strings.Join(behind, ", "))
}

func lastHeard(entry control.EntryStatus) string {
	if entry.HeardMS == 0 {
		return "never by this leader"
	}
	return time.UnixMilli(entry.HeardMS).UTC().Format(time.RFC3339Nano)
}
