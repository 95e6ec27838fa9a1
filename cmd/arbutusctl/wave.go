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

// watchInterval is the time between two status requests of wave watch.
const watchInterval = time.Second

// maxShownBlocked is the maximum number of blocked VMs that a table shows.
const maxShownBlocked = 20

func waveCommand() *cli.Command {
	return &cli.Command{
		Name:  "wave",
		Usage: "run the maintenance waves that the document declares",
		Commands: []*cli.Command{
			waveAction("start", "start a run, which drains and reboots every VM of the wave once"),
			waveAction("pause", "pause the run; draining VMs return to service and no further VMs are drained"),
			waveAction("resume", "resume a paused run"),
			waveAction("abort", "abort the run; draining VMs return to service, and rebooting VMs return after their reboot"),
			{Name: "status", Usage: "show the runs and why VMs are waiting", ArgsUsage: "[NAME]", Action: waveStatus},
			{Name: "watch", Usage: "show the newest run every second until it has ended", ArgsUsage: "NAME", Action: waveWatch},
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

// waveClient returns a client and the wave that the first argument names.
func waveClient(c *cli.Command) (*adminclient.Client, string, error) {
	wave := c.Args().First()
	if wave == "" {
		return nil, "", badInput("expected the name of a wave")
	}
	client, err := newClient(c)
	return client, wave, err
}

func waveStatus(ctx context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	report, err := fetchWaves(ctx, client, c.Args().First())
	if err != nil {
		return err
	}
	return showRuns(c, report)
}

// fetchWaves returns the report on one wave, or on all waves if the name is
// empty.
func fetchWaves(ctx context.Context, client *adminclient.Client, wave string) (control.WaveReport, error) {
	path := "/v1/waves"
	if wave != "" {
		path += "/" + url.PathEscape(wave)
	}
	var report control.WaveReport
	err := client.Do(ctx, http.MethodGet, path, nil, &report)
	return report, err
}

// waveWatch prints the newest run of a wave at intervals until the run has
// ended. It keeps trying while no control process can be reached.
func waveWatch(ctx context.Context, c *cli.Command) error {
	client, wave, err := waveClient(c)
	if err != nil {
		return err
	}
	for {
		report, err := fetchWaves(ctx, client, wave)
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
		case <-time.After(watchInterval):
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
	for _, vm := range blocked[:min(maxShownBlocked, len(blocked))] {
		fmt.Fprintf(table, "%s\t%s\n", vm.VM, vm.Reason)
	}
	if more := len(blocked) - maxShownBlocked; more > 0 {
		fmt.Fprintf(table, "...\t%d more; -o json shows all\n", more)
	}
	return table.Flush()
}

// formatMS formats a time in Unix milliseconds as RFC 3339 in UTC.
func formatMS(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }
