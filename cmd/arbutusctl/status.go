package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/process/control"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show versions, entries and VMs",
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := connect(c)
			if err != nil {
				return err
			}
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return printJSON(status)
			}
			return printStatus(status)
		},
	}
}

func printStatus(status control.Status) error {
	fmt.Printf("leader %s, term %d; version %d accepted, in force everywhere: %v\n\n", status.Replica.Leader, status.Replica.Term, status.Accepted, status.InForce)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENTRY\tZONE\tVERSION\tIN FORCE\tLAST HEARD")
	for _, entry := range status.Entries {
		heard := "never"
		if entry.HeardMS > 0 {
			heard = time.UnixMilli(entry.HeardMS).UTC().Format(time.RFC3339Nano)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%s\n", entry.ID, entry.Zone, entry.Version, entry.InForce, heard)
	}
	fmt.Fprintln(table, "\nVM\tPOOL\tZONE\tRACK\tPHASE\tEPOCH")
	for _, vm := range status.VMs {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\n", vm.Name, vm.Pool, vm.Zone, vm.Rack, vm.Phase, vm.Epoch)
	}
	return table.Flush()
}
