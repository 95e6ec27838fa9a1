package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/version/view"
)

func moveCommand() *cli.Command {
	return &cli.Command{
		Name:      "move",
		Usage:     "start moving a VM to the pool that the document names for it; without arguments, list the moves",
		ArgsUsage: "[VM POOL]",
		Action: func(ctx context.Context, c *cli.Command) error {
			switch c.Args().Len() {
			case 0:
				return listMoves(ctx, c)
			case 2:
				return startMove(ctx, c)
			}
			return badInput("expected a VM and its pool")
		},
	}
}

func startMove(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	body, err := json.Marshal(control.MoveRequest{VM: c.Args().Get(0), Pool: c.Args().Get(1)})
	if err != nil {
		return err
	}
	var vm view.VM
	if err := client.Do(ctx, http.MethodPost, "/v1/moves", body, &vm); err != nil {
		return err
	}
	return show(c, vm, "VM %s of pool %s is %s at epoch %d", vm.Name, vm.Pool, vm.Phase, vm.Epoch)
}

func listMoves(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	var report control.MoveReport
	if err := client.Do(ctx, http.MethodGet, "/v1/moves", nil, &report); err != nil {
		return err
	}
	if wantsJSON(c) {
		return printJSON(report)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VM\tFROM\tTO\tEPOCH\tSINCE\tCAUSE")
	for _, move := range report.Moves {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\n", move.VM, move.From, move.To, move.Epoch, formatMS(move.AtMS), move.Cause)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, proposal := range report.Proposals {
		fmt.Printf("proposed for the document: %s from %s to %s: %s\n", proposal.VM, proposal.From, proposal.To, proposal.Cause)
	}
	return showBlocked(report.Blocked)
}
