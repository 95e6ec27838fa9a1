package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// validation is the result of the validate command for a valid document.
type validation struct {
	Valid    bool   `json:"valid"`
	Pools    int    `json:"pools"`
	VMs      int    `json:"vms"`
	Services int    `json:"services"`
	Digest   string `json:"digest"`
}

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:        "validate",
		Usage:       "check a fleet document without contacting a deployment",
		ArgsUsage:   "FILE",
		Description: "Example:\n  arbutusctl validate fleet.jsonc",
		Action: func(_ context.Context, c *cli.Command) error {
			document, _, err := readDocument(c)
			if err != nil {
				return err
			}
			result := validation{Valid: true, Pools: len(document.Pools), VMs: len(document.VMs), Services: len(document.Services), Digest: document.Digest()}
			return show(c, result, "valid: %d pools, %d VMs, %d services, digest %s", result.Pools, result.VMs, result.Services, result.Digest)
		},
	}
}

// readDocument reads and validates the fleet document that the only argument
// names. It also returns the text of the document.
func readDocument(c *cli.Command) (*fleet.Document, []byte, error) {
	path := c.Args().First()
	if path == "" || c.Args().Len() > 1 {
		return nil, nil, badInput("expected the file of one fleet document, with the flags before it")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, &inputError{fmt.Errorf("read document: %w", err)}
	}
	document, err := fleet.Parse(path, text)
	return document, text, err
}
