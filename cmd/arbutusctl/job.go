package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/jsonc"
	"arbutusward.example/arbutusward/internal/process/state"
)

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit, list, show and cancel jobs",
		Commands: []*cli.Command{
			{Name: "submit", Usage: `submit the jobs in a file {"jobs": [...]}, JSON with comments`, ArgsUsage: "FILE", Action: submitJobs},
			{Name: "list", Usage: "list the jobs that have not ended", Action: listJobs},
			{Name: "show", Usage: "show one job", ArgsUsage: "ID", Action: showJob},
			{Name: "cancel", Usage: "cancel jobs by ID, or all jobs of a team, optionally of one kind", ArgsUsage: "[ID...]",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "team", Usage: "cancel the jobs of this team"},
					&cli.StringFlag{Name: "kind", Usage: "with --team: only jobs of this kind"},
				}, Action: cancelJobs},
		},
	}
}

func submitJobs(ctx context.Context, c *cli.Command) error {
	path := c.Args().First()
	if path == "" {
		return badInput("expected the file with the jobs")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return badInput("read jobs: %w", err)
	}
	source, err := jsonc.Parse(path, text)
	if err != nil {
		return err
	}
	var submission state.JobSubmission
	if err := source.Decode(&submission); err != nil {
		return err
	}
	var answer state.JobSubmissionAnswer
	if err := callJSON(ctx, c, http.MethodPost, "/v1/jobs", submission, &answer); err != nil {
		return err
	}
	return show(c, answer, "%d jobs added, %d known before", answer.Added, answer.Repeated)
}

func listJobs(ctx context.Context, c *cli.Command) error {
	var jobs []state.Job
	if err := callJSON(ctx, c, http.MethodGet, "/v1/jobs", nil, &jobs); err != nil {
		return err
	}
	if wantsJSON(c) {
		return printJSON(jobs)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "JOB\tTEAM\tKIND\tURGENT\tPHASE\tWORKER\tREASON")
	for _, job := range jobs {
		fmt.Fprintf(table, "%s\t%s\t%s\t%v\t%s\t%s\t%s\n", job.Spec.ID, job.Spec.Team, job.Spec.Kind, job.Spec.Urgent, job.Phase, job.Worker, job.Reason)
	}
	return table.Flush()
}

func showJob(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return badInput("expected the ID of a job")
	}
	var job state.Job
	if err := callJSON(ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(c.Args().First()), nil, &job); err != nil {
		return err
	}
	return printJSON(job)
}

func cancelJobs(ctx context.Context, c *cli.Command) error {
	cancellation := state.JobCancellation{IDs: c.Args().Slice(), Team: c.String("team"), Kind: c.String("kind")}
	if len(cancellation.IDs) == 0 && cancellation.Team == "" {
		return badInput("expected job IDs or --team")
	}
	var answer state.JobCancellationAnswer
	if err := callJSON(ctx, c, http.MethodPost, "/v1/jobs/cancel", cancellation, &answer); err != nil {
		return err
	}
	return show(c, answer, "%d jobs cancelled, %d are being stopped", answer.Cancelled, answer.Stopping)
}

// callJSON sends body as JSON and decodes the response into the value that
// into points to. If body is nil, the request has no body.
func callJSON(ctx context.Context, c *cli.Command, method, path string, body, into any) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	var encoded []byte
	if body != nil {
		if encoded, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	return client.Do(ctx, method, path, encoded, into)
}
