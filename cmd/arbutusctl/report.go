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
		Usage: "report on a time span: refusals, interruptions, budget margins and events that could not be collected",
		Description: `A time is either a UTC time such as 2026-03-01T12:00:00Z or a duration before
now such as 24h.

Examples:
  arbutusctl report --from 24h
  arbutusctl report --from 2026-03-01T00:00:00Z --to 2026-03-02T00:00:00Z -o html > day.html`,
		Flags:  timeSpanFlags(),
		Action: showReport,
	}
}

// timeSpanFlags returns the flags that select a time span.
func timeSpanFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "from", Usage: "start of the time span: a time or a duration before now"},
		&cli.StringFlag{Name: "to", Usage: "end of the time span, not included; default: now"},
	}
}

// timeSpan returns the values of the time span flags. The time of a flag
// that is not set is zero.
func timeSpan(c *cli.Command) (from, to time.Time, err error) {
	if from, err = parseTime(c.String("from")); err != nil {
		return from, to, err
	}
	if to, err = parseTime(c.String("to")); err != nil {
		return from, to, err
	}
	if !from.IsZero() && !to.IsZero() && !from.Before(to) {
		return from, to, badInput("--from must be before --to")
	}
	return from, to, nil
}

// parseTime parses a time or a duration before now. It returns the zero time
// for an empty text.
func parseTime(text string) (time.Time, error) {
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
	from, to, err := timeSpan(c)
	if err != nil {
		return err
	}
	if from.IsZero() {
		return badInput("expected --from")
	}
	if to.IsZero() {
		to = time.Now()
	}
	client, err := newClient(c)
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

// buildReport collects the events that the processes recorded before the end
// of the time span, and builds the report from them.
func buildReport(ctx context.Context, client *adminclient.Client, from, to time.Time) (report.Report, error) {
	collection := client.Collect(ctx, timeline.Filter{To: to})
	if len(collection.Pages) == 0 {
		return report.Report{}, fmt.Errorf("no process returned its events: %w", collection.StatusErr)
	}
	input := report.Input{From: from.UTC(), To: to.UTC(), Collected: time.Now().UTC(), Pages: collection.Pages, Unreachable: collection.Unreachable}
	if collection.StatusErr != nil {
		input.Unreachable = append(input.Unreachable, report.Unreachable{Process: "all entries", Address: "unknown", Reason: "no leader names them: " + collection.StatusErr.Error()})
		return report.Build(input), nil
	}
	input.Version = collection.Status.Accepted
	input.VMs = collection.Status.VMs
	accepted, err := client.CurrentDocument(ctx)
	if err != nil {
		return report.Report{}, err
	}
	input.Document = accepted.Document
	return report.Build(input), nil
}
