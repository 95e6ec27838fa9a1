package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "merge the events of all processes, as JSON lines",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "only events of this request"},
			&cli.StringFlag{Name: "vm", Usage: "only events of this VM"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := connect(c)
			if err != nil {
				return err
			}
			events, err := collect(ctx, client)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(os.Stdout)
			for _, event := range events {
				if !matches(c, event) {
					continue
				}
				if err := encoder.Encode(event); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// collect merges the events of all processes in causal order and names on
// standard error those that could not be reached.
func collect(ctx context.Context, client *adminclient.Client) ([]timeline.Event, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	addresses := map[string]string{}
	for _, member := range status.Replica.Members {
		addresses[member.ID] = member.Admin
	}
	for _, entry := range status.Entries {
		addresses[entry.ID] = entry.Admin
	}
	var events []timeline.Event
	for id, address := range addresses {
		page, err := client.Timeline(ctx, address)
		if err != nil {
			fmt.Fprintf(os.Stderr, "not collected: %s: %v\n", id, err)
			continue
		}
		events = append(events, page.Events...)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].Stamp.Before(events[j].Stamp) })
	return events, nil
}

func matches(c *cli.Command, event timeline.Event) bool {
	request, vm := c.String("request"), c.String("vm")
	return (request == "" || request == event.Request) && (vm == "" || vm == event.VM)
}
