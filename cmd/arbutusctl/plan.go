package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/version/plan/capacity"
	"arbutusward.example/arbutusward/internal/version/plan/cost"
)

func planCommand() *cli.Command {
	return &cli.Command{
		Name:      "plan",
		Usage:     "show what a fleet document would change and what it costs",
		ArgsUsage: "FILE",
		Action: func(ctx context.Context, c *cli.Command) error {
			_, text, err := readDocument(c)
			if err != nil {
				return err
			}
			client, err := newClient(c)
			if err != nil {
				return err
			}
			query := url.Values{"file": {c.Args().First()}}
			var comparison cost.Comparison
			if err := client.Do(ctx, http.MethodPost, "/v1/plan?"+query.Encode(), text, &comparison); err != nil {
				return err
			}
			if wantsJSON(c) {
				return printJSON(comparison)
			}
			return showComparison(comparison)
		},
	}
}

func showComparison(comparison cost.Comparison) error {
	showNames("VMs added", comparison.AddedVMs)
	showNames("VMs removed", comparison.RemovedVMs)
	showNames("services added", comparison.AddedServices)
	showNames("services removed", comparison.RemovedServices)
	showNames("services changed", comparison.ChangedServices)
	for _, move := range comparison.Moves {
		if move.To != "" {
			fmt.Printf("move %s from %s to %s\n", move.VM, move.From, move.To)
		}
	}
	fmt.Printf("%d VMs leave their pool in %d rounds, about %.0f s; reserve %d VMs, now %d; weighed cost %.1f\n",
		len(comparison.Moves), comparison.Rounds, comparison.EstimateS, comparison.ReserveAfter, comparison.ReserveBefore, comparison.Cost)
	return showBlocked(comparison.Stuck)
}

// showNames prints a label and the names, or nothing if there are no names.
func showNames(label string, names []string) {
	if len(names) > 0 {
		fmt.Printf("%s: %s\n", label, strings.Join(names, ", "))
	}
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "show the margin of each service, the reserve of each pool and, with --vms, the role of each VM",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "vms", Usage: "show the role of every VM and the reason for it"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newClient(c)
			if err != nil {
				return err
			}
			var result capacity.Result
			if err := client.Do(ctx, http.MethodGet, "/v1/capacity", nil, &result); err != nil {
				return err
			}
			if wantsJSON(c) {
				return printJSON(result)
			}
			return showCapacity(result, c.Bool("vms"))
		},
	}
}

func showCapacity(result capacity.Result, vms bool) error {
	fmt.Printf("reserve %d VMs, no plan can do with less than %d\n\n", result.ReserveVMs, result.LowerBoundVMs)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tPOOL\tPROMISED SLOTS\tSERVING SLOTS\tMARGIN AFTER LOSSES")
	for _, margin := range result.Margins {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\n", margin.Service, margin.Pool, margin.PromisedSlots, margin.ServingSlots, margin.MarginSlots)
	}
	fmt.Fprintln(table, "\nPOOL\tNEEDED VMS\tRESERVE\tSURPLUS\tSHARES THE SPARE POOL")
	for _, pool := range result.Pools {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%v\n", pool.Pool, pool.NeededVMs, pool.ReserveVMs, pool.SurplusVMs, pool.Shares)
	}
	if vms {
		fmt.Fprintln(table, "\nVM\tPOOL\tROLE\tREASON")
		for _, assignment := range result.Assignments {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", assignment.VM, assignment.Pool, assignment.Role, assignment.Reason)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	showNames("not carried", result.Uncovered)
	return nil
}
