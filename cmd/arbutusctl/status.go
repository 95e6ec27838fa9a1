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
		Usage:       "show the leader, the accepted version, the entries and the VMs",
		Description: "Examples:\n  arbutusctl status\n  arbutusctl status -o json",
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newClient(c)
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
	fmt.Printf("leader %s, term %d; version %d accepted; %s\n\n", status.Replica.Leader, status.Replica.Term, status.Accepted, inForceSummary(status))
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENTRY\tZONE\tVERSION\tIN FORCE\tLAST HEARD")
	for _, entry := range status.Entries {
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%s\n", entry.ID, entry.Zone, entry.Version, entry.InForce, formatLastContact(entry))
	}
	fmt.Fprintln(table, "\nVM\tPOOL\tZONE\tRACK\tPHASE\tEPOCH")
	for _, vm := range status.VMs {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\n", vm.Name, vm.Pool, vm.Zone, vm.Rack, vm.Phase, vm.Epoch)
	}
	return table.Flush()
}

// inForceSummary returns a line with the number of entries in which the
// accepted version is in force and the names of the others.
func inForceSummary(status control.Status) string {
	var behind []string
	for _, entry := range status.Entries {
		if !entry.InForce {
			behind = append(behind, fmt.Sprintf("%s (last heard %s)", entry.ID, formatLastContact(entry)))
		}
	}
	if len(behind) == 0 {
		return fmt.Sprintf("in force in all %d entries", len(status.Entries))
	}
	return fmt.Sprintf("in force in %d of %d entries, not in %s",
		len(status.Entries)-len(behind), len(status.Entries), strings.Join(behind, ", "))
}

// formatLastContact returns the time of the last contact with an entry.
func formatLastContact(entry control.EntryStatus) string {
	if entry.HeardMS == 0 {
		return "never by this leader"
	}
	return time.UnixMilli(entry.HeardMS).UTC().Format(time.RFC3339Nano)
}
