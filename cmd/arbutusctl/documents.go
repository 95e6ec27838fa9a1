package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

// statusPause is the time between looks at the status while waiting.
const statusPause = 200 * time.Millisecond

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a fleet document without any process",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			document, _, err := readDocument(c)
			if err != nil {
				return err
			}
			fmt.Printf("valid: %d pools, %d VMs, %d services, digest %s\n",
				len(document.Pools), len(document.VMs), len(document.Services), document.Digest())
			return nil
		},
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "submit a fleet document",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "base", Value: -1, Usage: "version the document was made from; default: the newest"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the version is in force in every entry"},
			&cli.DurationFlag{Name: "timeout", Value: time.Minute, Usage: "longest wait"},
		},
		Action: apply,
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	_, text, err := readDocument(c)
	if err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	base := uint64(max(c.Int("base"), 0))
	if c.Int("base") < 0 {
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		base = status.Accepted
	}
	answer, err := client.Submit(ctx, c.Args().First(), base, text)
	if err != nil {
		return err
	}
	fmt.Printf("accepted as version %d (digest %.12s)\n", answer.Submission.Version, answer.Submission.Digest)
	if !c.Bool("wait") {
		return nil
	}
	return waitInForce(ctx, client, answer.Submission.Version, c.Duration("timeout"))
}

func waitInForce(ctx context.Context, client *adminclient.Client, version uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		status, err := client.Status(ctx)
		if err == nil && status.Accepted >= version && status.InForce {
			fmt.Printf("version %d is in force in %d entries\n", version, len(status.Entries))
			return nil
		}
		select {
		case <-time.After(statusPause):
		case <-ctx.Done():
			return fmt.Errorf("version %d is accepted but not in force everywhere: %w", version, errors.Join(ctx.Err(), err))
		}
	}
}

func readDocument(c *cli.Command) (*fleet.Document, []byte, error) {
	path := c.Args().First()
	if path == "" {
		return nil, nil, errors.New("expected the file of a fleet document")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("read document: %w", err)
	}
	document, err := fleet.Parse(path, text)
	return document, text, err
}

// printJSON writes a value as indented JSON.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
