package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/adminclient"
)

// errNoDocument is returned when no document has been accepted yet.
var errNoDocument = errors.New("no document was accepted yet")

// currentDocument is the JSON form of the newest accepted document.
type currentDocument struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Text    string `json:"text"`
}

func currentCommand() *cli.Command {
	return &cli.Command{
		Name:        "current",
		Usage:       "print the newest accepted document as it was submitted",
		Description: "Example:\n  arbutusctl current > fleet.jsonc",
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := newClient(c)
			if err != nil {
				return err
			}
			accepted, err := client.CurrentDocument(ctx)
			if err != nil {
				return err
			}
			if accepted.Document == nil {
				return errNoDocument
			}
			return writeCurrent(c, accepted)
		},
	}
}

// writeCurrent writes the document to standard output. Its version, which is
// the base for the next change, goes to standard error.
func writeCurrent(c *cli.Command, accepted adminclient.Accepted) error {
	if wantsJSON(c) {
		return printJSON(currentDocument{Version: accepted.Version, Digest: accepted.Document.Digest(), Text: string(accepted.Text)})
	}
	fmt.Fprintf(os.Stderr, "version %d\n", accepted.Version)
	_, err := os.Stdout.Write(accepted.Text)
	return err
}
