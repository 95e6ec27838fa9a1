package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

// preview is the result of a dry run.
type preview struct {
	Base    uint64         `json:"base"`
	Changes []fleet.Change `json:"changes"`
	// Plan is control's plan with its cost, or null if control does not offer
	// plans.
	Plan *adminclient.Comparison `json:"plan"`
}

// dryRun prints what a document would change, without submitting it.
func dryRun(ctx context.Context, c *cli.Command, client *adminclient.Client, document *fleet.Document, text []byte) error {
	accepted, err := client.CurrentDocument(ctx)
	if err != nil {
		return err
	}
	result := preview{Base: accepted.Version, Changes: fleet.Diff(accepted.Document, document)}
	result.Plan, err = client.Compare(ctx, text)
	if err != nil && !errors.Is(err, adminclient.ErrNotAvailable) {
		return err
	}
	if wantsJSON(c) {
		return printJSON(result)
	}
	return printPreview(result)
}

func printPreview(result preview) error {
	fmt.Printf("valid; %d changes against version %d, nothing was submitted\n", len(result.Changes), result.Base)
	for _, change := range result.Changes {
		fmt.Println("  " + change.String())
	}
	if result.Plan == nil {
		fmt.Fprintln(os.Stderr, "control makes no plan yet, so the cost is not known")
		return nil
	}
	fmt.Println(result.Plan.Summary())
	for _, stuck := range result.Plan.Stuck {
		fmt.Printf("  %s never leaves its pool: %s\n", stuck.VM, stuck.Reason)
	}
	return nil
}
