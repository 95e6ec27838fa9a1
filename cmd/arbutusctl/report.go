package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/report"
)

const reportName = "report"

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  reportName,
		Usage: "disclose a span of time: refusals, interruptions, budget margins and what could not be collected",
		Description: `Times are UTC as in 2026-03-01T12:00:00Z, or a duration before now as in 24h.

Examples:
  arbutusctl report --from 24h
  arbutusctl report --from 2026-03-01T00:00:00Z --to 2026-03-02T00:00:00Z -o html > day.html`,
		Flags:  spanFlags(),
		Action: showReport,
	}
}

// spanFlags are the flags for a span of time.
func spanFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "from", Usage: "start of the span: a time, or a duration before now"},
		&cli.StringFlag{Name: "to", Usage: "end of the span, not included; default: now"},
	}
}

// spanOf reads the span flags; a time that was not given is zero.
func spanOf(c *cli.Command) (from, to time.Time, err error) {
	if from, err = timeOf(c.String("from")); err != nil {
		return from, to, err
	}
	if to, err = timeOf(c.String("to")); err != nil {
		return from, to, err
	}
	if !from.IsZero() && !to.IsZero() && !from.Before(to) {
		return from, to, badInput("--from must be before --to")
	}
	return from, to, nil
}

func timeOf(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(text); err == nil && ago >= 0 {
		return time.Now().Add(-ago), nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return at, badInput("found time %q, expected one like 2026-03-01T12:00:00Z or a duration like 24h", text)
	}
	return at, nil
}

func showReport(ctx context.Context, c *cli.Command) error {
	from, to, err := spanOf(c)
	if err != nil {
		return err
	}
	if from.IsZero() {
		return badInput("expected --from")
	}
	if to.IsZero() {
		to = time.Now()
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	built, err := buildReport(ctx, client, from, to)
	if err != nil {
		return err
	}
	switch c.String("output") {
	case outputJSON:
		return printJSON(built)
	case outputHTML:
		return built.WriteHTML(os.Stdout)
	}
	return built.WriteText(os.Stdout)
}

// buildReport collects what the processes hold up to the end of the span.
func buildReport(ctx context.Context, client *adminclient.Client, from, to time.Time) (report.Report, error) {
	collection := client.Collect(ctx, timeline.Filter{To: to})
	if len(collection.Pages) == 0 {
		return report.Report{}, fmt.Errorf("no process gave its events: %w", collection.StatusErr)
	}
	in := report.Input{From: from.UTC(), To: to.UTC(), Collected: time.Now().UTC(), Pages: collection.Pages, Unreachable: collection.Unreachable}
	if collection.StatusErr != nil {
		in.Unreachable = append(in.Unreachable, report.Unreachable{Process: "all entries", Address: "unknown", Reason: "no leader names them: " + collection.StatusErr.Error()})
		return report.Build(in), nil
	}
	in.Version = collection.Status.Accepted
	in.VMs = collection.Status.VMs
	accepted, err := client.CurrentDocument(ctx)
	if err != nil {
		return report.Report{}, err
	}
	in.Document = accepted.Document
	return report.Build(in), nil
}
