package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/process/keys"
)

// defaultTokenLife is the life of a token.
const defaultTokenLife = 90 * 24 * time.Hour

// caFlag names the folder of the authority.
func caFlag() cli.Flag {
	return &cli.StringFlag{Name: "ca-dir", Usage: "folder of the certificate authority", Required: true}
}

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "make and change the deployment's keys",
		Description: `The authority's folder holds the key that signs everything: keep it on no
VM of the deployment.

Examples:
  arbutusctl keys init --ca-dir ca
  arbutusctl keys issue --ca-dir ca entry-a1 keys/entry-a1
  arbutusctl keys token --ca-dir ca operator anna anna.token`,
		Commands: []*cli.Command{
			{Name: "init", Usage: "found the certificate authority", Flags: []cli.Flag{caFlag()},
				Action: func(_ context.Context, c *cli.Command) error {
					return done(c, keys.Init(c.String("ca-dir")), "founded the authority in %s", c.String("ca-dir"))
				}},
			{Name: "issue", Usage: "make, or make anew, the keys folder of a process", ArgsUsage: "ID FOLDER", Flags: []cli.Flag{caFlag()},
				Action: issueNode},
			{Name: "token", Usage: "make a token file: ROLE is viewer, operator, admin or target", ArgsUsage: "ROLE SUBJECT FILE",
				Flags:  []cli.Flag{caFlag(), &cli.DurationFlag{Name: "life", Value: defaultTokenLife, Usage: "life of the token"}},
				Action: issueToken},
			{Name: "trust", Usage: "write the trusted certificates into folders of processes or operators", ArgsUsage: "FOLDER...",
				Flags: []cli.Flag{caFlag()}, Action: trustFolders},
			rotateCommand(),
		},
	}
}

// keysDone is the answer of a command that changed keys.
type keysDone struct {
	Done string `json:"done"`
}

// done says what was done, or returns the error.
func done(c *cli.Command, err error, format string, args ...any) error {
	if err != nil {
		return err
	}
	text := fmt.Sprintf(format, args...)
	return show(c, keysDone{Done: text}, "%s", text)
}

func issueNode(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return badInput("expected the process's ID and its keys folder, flags before them")
	}
	id, folder := c.Args().Get(0), c.Args().Get(1)
	return done(c, keys.Issue(c.String("ca-dir"), folder, id), "issued a certificate for %s in %s", id, folder)
}

func issueToken(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 3 {
		return badInput("expected role, subject and file, flags before them")
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
	return done(c, err, "wrote a token for %s %s to %s, valid until %s", role, subject, file, expires.UTC().Format(time.RFC3339))
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
	return done(c, nil, "wrote the trusted certificates into %d folders", c.Args().Len())
}
