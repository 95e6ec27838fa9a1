package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/version/plan"
)

// watchPause is the time between looks at a wave that is watched.
const watchPause = time.Second

// shownBlocked bounds the reasons that a table shows.
const shownBlocked = 20

func waveCommand() *cli.Command {
	return &cli.Command{
		Name:  "wave",
		Usage: "run the maintenance waves that the document declares",
		Commands: []*cli.Command{
			waveAction("start", "begin a run: every VM of the wave is drained and rebooted once"),
			waveAction("pause", "take no further VM and give back those that drain"),
			waveAction("resume", "go on after a pause"),
			waveAction("abort", "end the run; VMs that reboot come back first"),
			{Name: "status", Usage: "show runs and why VMs wait", ArgsUsage: "[NAME]", Action: waveStatus},
			{Name: "watch", Usage: "show the newest run until it is over", ArgsUsage: "NAME", Action: waveWatch},
		},
	}
}

func waveAction(name, usage string) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, ArgsUsage: "NAME", Action: func(ctx context.Context, c *cli.Command) error {
		client, wave, err := waveClient(c)
		if err != nil {
			return err
		}
		var run control.RunReport
		if err := client.Do(ctx, http.MethodPost, "/v1/waves/"+url.PathEscape(wave)+"/"+name, nil, &run); err != nil {
			return err
		}
		return showRuns(c, control.WaveReport{Runs: []control.RunReport{run}})
	}}
}

func waveClient(c *cli.Command) (*adminclient.Client, string, error) {
	wave := c.Args().First()
	if wave == "" {
		return nil, "", badInput("expected the name of a wave")
	}
	client, err := connect(c)
	return client, wave, err
}

func waveStatus(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	report, err := waves(ctx, client, c.Args().First())
	if err != nil {
		return err
	}
	return showRuns(c, report)
}

func waves(ctx context.Context, client *adminclient.Client, wave string) (control.WaveReport, error) {
	path := "/v1/waves"
	if wave != "" {
		path += "/" + url.PathEscape(wave)
	}
	var report control.WaveReport
	err := client.Do(ctx, http.MethodGet, path, nil, &report)
	return report, err
}

// waveWatch repeats the status; a control process that can't be reached is
// looked for again.
func waveWatch(ctx context.Context, c *cli.Command) error {
	client, wave, err := waveClient(c)
	if err != nil {
		return err
	}
	for {
		report, err := waves(ctx, client, wave)
		switch {
		case errors.Is(err, adminclient.ErrNotReachable):
			fmt.Fprintln(os.Stderr, err)
		case err != nil:
			return err
		case len(report.Runs) == 0:
			return fmt.Errorf("wave %q has no run", wave)
		default:
			report.Runs = report.Runs[:1]
			if err := showRuns(c, report); err != nil || !report.Runs[0].Open() {
				return err
			}
		}
		select {
		case <-time.After(watchPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func showRuns(c *cli.Command, report control.WaveReport) error {
	if wantsJSON(c) {
		return printJSON(report)
	}
	for _, run := range report.Runs {
		if err := showRun(run); err != nil {
			return err
		}
	}
	return nil
}

func showRun(run control.RunReport) error {
	fmt.Printf("run %s by %s, started %s: %s, width %d\n", run.ID, run.By, formatMS(run.StartedMS), run.Status, run.Width)
	states := make([]string, 0, len(run.Count))
	for state := range run.Count {
		states = append(states, string(state))
	}
	sort.Strings(states)
	for _, state := range states {
		fmt.Printf("  %-10s %d\n", state, run.Count[plan.StepState(state)])
	}
	return showBlocked(run.Blocked)
}

func showBlocked(blocked []plan.Blocked) error {
	if len(blocked) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "WAITS\tREASON")
	for _, one := range blocked[:min(shownBlocked, len(blocked))] {
		fmt.Fprintf(table, "%s\t%s\n", one.VM, one.Reason)
	}
	if more := len(blocked) - shownBlocked; more > 0 {
		fmt.Fprintf(table, "...\t%d more; -o json shows all\n", more)
	}
	return table.Flush()
}

// formatMS formats Unix milliseconds.
func formatMS(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }
