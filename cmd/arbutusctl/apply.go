package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

const (
	// statusPause is the time between looks at the status while waiting.
	statusPause = 200 * time.Millisecond
	// resendPause is the time between sends of a submission without answer.
	resendPause = 500 * time.Millisecond
	// defaultResend is the time for which a submission is sent again.
	defaultResend = 10 * time.Second
)

// newestBase asks for the newest accepted version as the base.
const newestBase = -1

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "submit a fleet document",
		ArgsUsage: "FILE",
		Description: `A submission is identified by its content and its base. Without --base the
newest accepted version is taken at the first try. If no definite answer
comes, the base is kept in .FILE.pending, and the same command sends the
same submission again: it gets the first answer, or a conflict, and never
overwrites what others had accepted in between.

Examples:
  arbutusctl apply --dry-run fleet.jsonc
  arbutusctl apply --base 41 --wait fleet.jsonc`,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "base", Value: newestBase, Usage: "version the document was made from; default: the newest at the first try"},
			&cli.BoolFlag{Name: "dry-run", Usage: "show what would change and what it costs, and submit nothing"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the version is in force in every entry"},
			&cli.DurationFlag{Name: "timeout", Value: time.Minute, Usage: "longest wait with --wait"},
			&cli.DurationFlag{Name: "resend-for", Value: defaultResend, Usage: "time for which a submission without answer is sent again"},
		},
		Action: apply,
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	document, text, err := readDocument(c)
	if err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	if c.Bool("dry-run") {
		return dryRun(ctx, c, client, document, text)
	}
	base, err := chooseBase(ctx, c, client, document.Digest())
	if err != nil {
		return err
	}
	answer, err := submit(ctx, c, client, base, document, text)
	if err != nil {
		return err
	}
	if err := showAccepted(c, answer); err != nil || !c.Bool("wait") {
		return err
	}
	return waitInForce(ctx, client, answer.Submission.Version, c.Duration("timeout"))
}

// chooseBase returns the base that was asked for, that of the same
// submission if it had no answer, or else the newest version.
func chooseBase(ctx context.Context, c *cli.Command, client *adminclient.Client, digest string) (uint64, error) {
	if asked := c.Int("base"); asked >= 0 {
		return uint64(asked), nil
	}
	pending, same, err := readPending(c.Args().First(), digest)
	if err != nil {
		return 0, err
	}
	if same {
		fmt.Fprintf(os.Stderr, "sending the unanswered submission on base %d again\n", pending.Base)
		return pending.Base, nil
	}
	if pending.Digest != "" {
		fmt.Fprintf(os.Stderr, "note: earlier content of this file, sent on base %d, never got an answer\n", pending.Base)
	}
	return newestVersion(ctx, client, time.Now().Add(c.Duration("resend-for")))
}

// newestVersion asks for the newest accepted version until the deadline;
// while a leader is elected nobody can tell.
func newestVersion(ctx context.Context, client *adminclient.Client, deadline time.Time) (uint64, error) {
	for {
		status, err := client.Status(ctx)
		if err == nil || !noAnswer(err) || time.Now().Add(resendPause).After(deadline) {
			return status.Accepted, err
		}
		time.Sleep(resendPause)
	}
}

// submit sends a submission until it has an answer or the time is up.
func submit(ctx context.Context, c *cli.Command, client *adminclient.Client, base uint64, document *fleet.Document, text []byte) (state.DocumentSubmissionAnswer, error) {
	path := c.Args().First()
	if err := writePending(path, pendingSubmission{Digest: document.Digest(), Base: base}); err != nil {
		return state.DocumentSubmissionAnswer{}, err
	}
	deadline := time.Now().Add(c.Duration("resend-for"))
	for {
		answer, err := client.Submit(ctx, path, base, text)
		switch {
		case err == nil:
			return answer, clearPending(path)
		case !noAnswer(err):
			return answer, errors.Join(err, clearPending(path))
		case time.Now().Add(resendPause).After(deadline):
			return answer, fmt.Errorf("the document may or may not be accepted on base %d; run the same command again: %w", base, err)
		}
		fmt.Fprintln(os.Stderr, "no definite answer, sending the same submission again")
		time.Sleep(resendPause)
	}
}

func showAccepted(c *cli.Command, answer state.DocumentSubmissionAnswer) error {
	verb := "accepted"
	if answer.Repeated {
		verb = "accepted before"
	}
	return show(c, answer, "%s as version %d on base %d (digest %.12s)", verb, answer.Submission.Version, answer.Submission.Base, answer.Submission.Digest)
}

// waitInForce waits until every entry works by a version or a newer one
// and tells the progress on standard error.
func waitInForce(ctx context.Context, client *adminclient.Client, version uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var progress string
	for {
		status, err := client.Status(ctx)
		if err == nil && status.Accepted >= version && status.InForce {
			fmt.Fprintf(os.Stderr, "version %d is in force in %d entries\n", version, len(status.Entries))
			return nil
		}
		if err == nil {
			progress = tellProgress(progress, lagging(status))
		}
		select {
		case <-time.After(statusPause):
		case <-ctx.Done():
			return fmt.Errorf("version %d is accepted but not in force everywhere (%s): %w", version, progress, errors.Join(ctx.Err(), err))
		}
	}
}

// tellProgress prints a state that is new.
func tellProgress(before, now string) string {
	if now != before {
		fmt.Fprintln(os.Stderr, now)
	}
	return now
}
