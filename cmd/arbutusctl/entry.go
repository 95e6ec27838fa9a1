package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/process/state"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "manage entries",
		Commands: []*cli.Command{{
			Name:      "remove",
			Usage:     "take out an entry that is powered off, so that its silence blocks nothing",
			ArgsUsage: "ID",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "attest", Usage: "your statement that the entry is powered off, kept in the log"},
				&cli.StringFlag{Name: "power-off", Usage: "VM that the platform is to power off first"},
			},
			Action: removeEntry,
		}},
	}
}

func removeEntry(ctx context.Context, c *cli.Command) error {
	id := c.Args().First()
	order := control.EntryRemovalRequest{Attestation: c.String("attest"), PowerOffVM: c.String("power-off")}
	if id == "" || (order.Attestation == "") == (order.PowerOffVM == "") {
		return badInput("expected the entry's ID and one of --attest and --power-off, flags before the ID")
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	var removal state.EntryRemoval
	if err := client.Do(ctx, http.MethodPost, "/v1/entries/"+url.PathEscape(id)+"/remove", body, &removal); err != nil {
		return err
	}
	return show(c, removal, "entry %s is removed: %s", removal.ID, removal.Attestation)
}
