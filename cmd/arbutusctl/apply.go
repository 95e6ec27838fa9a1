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
	// statusInterval is the time between two status requests of --wait.
	statusInterval = 200 * time.Millisecond
	// resendDelay is the delay before a submission that got no definite
	// answer is sent again.
	resendDelay = 500 * time.Millisecond
	// defaultResendTimeout is the default of --resend-for, the time for which
	// a submission is sent again.
	defaultResendTimeout = 10 * time.Second
)

// defaultBase is the value of --base if it is not set. chooseBase then selects
// the base.
const defaultBase = -1

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "submit a fleet document",
		ArgsUsage: "FILE",
		Description: `A submission is identified by its content and its base. Without --base the
first attempt uses the newest accepted version as the base. The base is
stored in .FILE.pending until control gives a definite answer, and running the
same command before that sends the same submission again. It then gets the
answer to the first attempt, or a conflict, and never overwrites a version that
was accepted in between.

Examples:
  arbutusctl apply --dry-run fleet.jsonc
  arbutusctl apply --base 41 --wait fleet.jsonc`,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "base", Value: defaultBase, Usage: "version that the document was made from; default: the newest version at the first attempt"},
			&cli.BoolFlag{Name: "dry-run", Usage: "show what would change and what it costs, without submitting anything"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the version is in force in every entry"},
			&cli.DurationFlag{Name: "timeout", Value: time.Minute, Usage: "maximum time to wait with --wait"},
			&cli.DurationFlag{Name: "resend-for", Value: defaultResendTimeout, Usage: "time for which a submission without a definite answer is sent again"},
		},
		Action: apply,
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	document, text, err := readDocument(c)
	if err != nil {
		return err
	}
	client, err := newClient(c)
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

// chooseBase returns the base from --base if it is set. Otherwise it returns
// the base of a pending submission with the same content, or, if there is
// none, the newest accepted version.
func chooseBase(ctx context.Context, c *cli.Command, client *adminclient.Client, digest string) (uint64, error) {
	if base := c.Int("base"); base >= 0 {
		return uint64(base), nil
	}
	pending, same, err := readPending(c.Args().First(), digest)
	if err != nil {
		return 0, err
	}
	if same {
		fmt.Fprintf(os.Stderr, "sending the pending submission on base %d again\n", pending.Base)
		return pending.Base, nil
	}
	if pending.Digest != "" {
		fmt.Fprintf(os.Stderr, "note: earlier content of this file, sent on base %d, never got a definite answer\n", pending.Base)
	}
	return newestVersion(ctx, client, time.Now().Add(c.Duration("resend-for")))
}

// newestVersion returns the newest accepted version. It retries until the
// deadline, because no process can answer while a leader is being elected.
func newestVersion(ctx context.Context, client *adminclient.Client, deadline time.Time) (uint64, error) {
	for {
		status, err := client.Status(ctx)
		if err == nil || !noDefiniteAnswer(err) || time.Now().Add(resendDelay).After(deadline) {
			return status.Accepted, err
		}
		time.Sleep(resendDelay)
	}
}

// submit sends a submission until it gets a definite answer or the time of
// --resend-for has passed.
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
		case !noDefiniteAnswer(err):
			return answer, errors.Join(err, clearPending(path))
		case time.Now().Add(resendDelay).After(deadline):
			return answer, fmt.Errorf("the document may or may not be accepted on base %d; run the same command again: %w", base, err)
		}
		fmt.Fprintln(os.Stderr, "no definite answer, sending the same submission again")
		time.Sleep(resendDelay)
	}
}

func showAccepted(c *cli.Command, answer state.DocumentSubmissionAnswer) error {
	verb := "accepted"
	if answer.Repeated {
		verb = "accepted before"
	}
	return show(c, answer, "%s as version %d on base %d (digest %.12s)", verb, answer.Submission.Version, answer.Submission.Base, answer.Submission.Digest)
}

// waitInForce waits until the version or a newer one is in force in every
// entry. It prints the progress to standard error.
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
			progress = printIfChanged(progress, inForceSummary(status))
		}
		select {
		case <-time.After(statusInterval):
		case <-ctx.Done():
			return fmt.Errorf("version %d is accepted but not in force everywhere (%s): %w", version, progress, errors.Join(ctx.Err(), err))
		}
	}
}

// printIfChanged prints the current progress to standard error if it differs
// from the previous one, and returns it.
func printIfChanged(previous, current string) string {
	if current != previous {
		fmt.Fprintln(os.Stderr, current)
	}
	return current
}
