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
			Usage:     "remove an entry that is powered off, so that control no longer waits for it",
			ArgsUsage: "ID",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "attest", Usage: "your statement that the entry is powered off; it is stored in the log"},
				&cli.StringFlag{Name: "power-off", Usage: "VM that the platform powers off before the entry is removed"},
			},
			Action: removeEntry,
		}},
	}
}

func removeEntry(ctx context.Context, c *cli.Command) error {
	id := c.Args().First()
	request := control.EntryRemovalRequest{Attestation: c.String("attest"), PowerOffVM: c.String("power-off")}
	if id == "" || (request.Attestation == "") == (request.PowerOffVM == "") {
		return badInput("expected the entry's ID and either --attest or --power-off, with the flags before the ID")
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	var removal state.EntryRemoval
	if err := client.Do(ctx, http.MethodPost, "/v1/entries/"+url.PathEscape(id)+"/remove", body, &removal); err != nil {
		return err
	}
	return show(c, removal, "entry %s is removed: %s", removal.ID, removal.Attestation)
}
