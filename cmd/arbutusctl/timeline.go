package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/report"
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the events of all processes in causal order",
		Description: `With --request the output ends with an explanation of the request's outcome.
Events that could not be collected are reported on standard error.
With -o json each event is one line.

Examples:
  arbutusctl timeline --request 7Q2M
  arbutusctl timeline --kind request-refused --from 2026-03-01T12:00:00Z -o json`,
		Flags: append(timeSpanFlags(),
			&cli.StringFlag{Name: "request", Usage: "only events of this request"},
			&cli.StringFlag{Name: "vm", Usage: "only events of this VM"},
			&cli.StringFlag{Name: "service", Usage: "only events of this service"},
			&cli.StringFlag{Name: "wave", Usage: "only events of this wave"},
			&cli.StringFlag{Name: "kind", Usage: "only events of this kind"},
			&cli.Uint64Flag{Name: "version", Usage: "only events of this version"},
		),
		Action: showTimeline,
	}
}

func showTimeline(ctx context.Context, c *cli.Command) error {
	filter, err := newFilter(c)
	if err != nil {
		return err
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	collection := client.Collect(ctx, filter)
	if err := warnMissing(collection); err != nil {
		return err
	}
	events := timeline.Merge(collection.Pages)
	if wantsJSON(c) {
		return printEventLines(events)
	}
	if err := printEvents(events); err != nil || filter.Request == "" {
		return err
	}
	return printExplanation(ctx, client, filter.Request, collection)
}

// newFilter returns the filter that the flags describe.
func newFilter(c *cli.Command) (timeline.Filter, error) {
	filter := timeline.Filter{Request: c.String("request"), VM: c.String("vm"), Service: c.String("service"),
		Wave: c.String("wave"), Kind: timeline.Kind(c.String("kind")), Version: c.Uint64("version")}
	var err error
	filter.From, filter.To, err = timeSpan(c)
	return filter, err
}

// warnMissing prints to standard error which events could not be collected. It
// returns an error if no process returned any page.
func warnMissing(collection adminclient.Collection) error {
	if len(collection.Pages) == 0 {
		return fmt.Errorf("no process returned its events: %w", collection.StatusErr)
	}
	if collection.StatusErr != nil {
		fmt.Fprintln(os.Stderr, "entries were not asked, since no leader names them:", collection.StatusErr)
	}
	for _, unreachable := range collection.Unreachable {
		fmt.Fprintf(os.Stderr, "not collected: %s at %s: %s\n", unreachable.Process, unreachable.Address, unreachable.Reason)
	}
	for _, page := range collection.Pages {
		if page.Dropped > 0 {
			fmt.Fprintf(os.Stderr, "dropped: %s no longer holds %d older events, %d of them notable\n", page.Process, page.Dropped, page.DroppedNotable)
		}
	}
	return nil
}

func printEventLines(events []timeline.Event) error {
	encoder := json.NewEncoder(os.Stdout)
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return err
		}
	}
	return nil
}

func printEvents(events []timeline.Event) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tPROCESS\tZONE\tKIND\tABOUT\tCAUSE")
	for _, event := range events {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", event.Time().UTC().Format("2006-01-02T15:04:05.000000Z"),
			event.Process, event.Zone, event.Kind, subject(event), event.Cause)
	}
	return table.Flush()
}

// subject returns the request, VM and other objects that an event refers to.
func subject(event timeline.Event) string {
	text := ""
	add := func(name, value string) {
		if value != "" {
			text += name + "=" + value + " "
		}
	}
	add("request", event.Request)
	add("vm", event.VM)
	add("pool", event.Pool)
	add("service", event.Service)
	if event.Version > 0 {
		add("version", fmt.Sprint(event.Version))
	}
	add("wave", event.Wave)
	add("job", event.Job)
	add("peer", event.Peer)
	return text
}

// printExplanation prints the outcome of a request and the version that was in
// force at that time.
func printExplanation(ctx context.Context, client *adminclient.Client, request string, collection adminclient.Collection) error {
	versions := client.Collect(ctx, timeline.Filter{Kind: timeline.VersionInForce})
	events := timeline.Merge(append(versions.Pages, collection.Pages...))
	explanation := report.Explain(request, events)
	if explanation.Outcome == report.NotFound {
		fmt.Printf("\nno process that answered holds a final event of request %s; it may have been dropped\n", request)
		return nil
	}
	fmt.Printf("\nrequest %s: %s\n", explanation.Request, explanation.Outcome)
	fmt.Printf("  service %s, entry %s, version in force %d\n", orNone(explanation.Service), explanation.Process, explanation.Version)
	fmt.Printf("  target %s\n  reason: %s\n", orNone(explanation.Target), orNone(explanation.Reason))
	return nil
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
