package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/process/keys"
)

// defaultTokenLifetime is the default of --life.
const defaultTokenLifetime = 90 * 24 * time.Hour

// caFlag returns the flag for the folder of the certificate authority.
func caFlag() cli.Flag {
	return &cli.StringFlag{Name: "ca-dir", Usage: "folder of the certificate authority", Required: true}
}

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "create and rotate the keys of a deployment",
		Description: `The folder of the certificate authority holds the key that signs all
certificates and tokens. Do not store it on a VM of the deployment.

Examples:
  arbutusctl keys init --ca-dir ca
  arbutusctl keys issue --ca-dir ca entry-a1 keys/entry-a1
  arbutusctl keys token --ca-dir ca operator anna anna.token`,
		Commands: []*cli.Command{
			{Name: "init", Usage: "create the certificate authority", Flags: []cli.Flag{caFlag()},
				Action: func(_ context.Context, c *cli.Command) error {
					return showDone(c, keys.Init(c.String("ca-dir")), "founded the authority in %s", c.String("ca-dir"))
				}},
			{Name: "issue", Usage: "create or renew the keys folder of a process", ArgsUsage: "ID FOLDER", Flags: []cli.Flag{caFlag()},
				Action: issueNode},
			{Name: "token", Usage: "create a token file; ROLE is viewer, operator, admin or target", ArgsUsage: "ROLE SUBJECT FILE",
				Flags:  []cli.Flag{caFlag(), &cli.DurationFlag{Name: "life", Value: defaultTokenLifetime, Usage: "lifetime of the token"}},
				Action: issueToken},
			{Name: "trust", Usage: "copy the trusted certificates into the folders of processes or operators", ArgsUsage: "FOLDER...",
				Flags: []cli.Flag{caFlag()}, Action: trustFolders},
			rotateCommand(),
		},
	}
}

// keysResult is the JSON output of a command that changed keys.
type keysResult struct {
	Done string `json:"done"`
}

// showDone prints what a command has done. If err is not nil, it prints
// nothing and returns err.
func showDone(c *cli.Command, err error, format string, args ...any) error {
	if err != nil {
		return err
	}
	text := fmt.Sprintf(format, args...)
	return show(c, keysResult{Done: text}, "%s", text)
}

func issueNode(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return badInput("expected the process's ID and its keys folder, with the flags before them")
	}
	id, folder := c.Args().Get(0), c.Args().Get(1)
	return showDone(c, keys.Issue(c.String("ca-dir"), folder, id), "issued a certificate for %s in %s", id, folder)
}

func issueToken(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 3 {
		return badInput("expected role, subject and file, with the flags before them")
	}
	role, subject, file := keys.Role(c.Args().Get(0)), c.Args().Get(1), c.Args().Get(2)
	if !role.Allows(keys.Viewer) && role != keys.Target {
		return badInput("unknown role %q, expected viewer, operator, admin or target", role)
	}
	expires := time.Now().Add(c.Duration("life"))
	token, err := keys.IssueToken(c.String("ca-dir"), keys.Claims{Role: role, Subject: subject, Expires: expires.Unix()})
	if err != nil {
		return err
	}
	err = os.WriteFile(file, []byte(token+"\n"), 0o600)
	return showDone(c, err, "wrote a token for %s %s to %s, valid until %s", role, subject, file, expires.UTC().Format(time.RFC3339))
}

func trustFolders(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return badInput("expected at least one folder")
	}
	for _, folder := range c.Args().Slice() {
		if err := keys.CopyTrustBundle(c.String("ca-dir"), folder); err != nil {
			return err
		}
	}
	return showDone(c, nil, "wrote the trusted certificates into %d folders", c.Args().Len())
}
