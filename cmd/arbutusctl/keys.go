package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/process/keys"
)

// defaultTokenLife is the life of a token.
const defaultTokenLife = 90 * 24 * time.Hour

func keysCommand() *cli.Command {
	caFlag := &cli.StringFlag{Name: "ca-dir", Usage: "folder of the certificate authority", Required: true}
	return &cli.Command{
		Name:  "keys",
		Usage: "make the deployment's keys",
		Commands: []*cli.Command{
			{Name: "init", Usage: "found the certificate authority", Flags: []cli.Flag{caFlag},
				Action: func(_ context.Context, c *cli.Command) error { return keys.Init(c.String("ca-dir")) }},
			{Name: "issue", Usage: "make the keys folder of a process", ArgsUsage: "ID FOLDER", Flags: []cli.Flag{caFlag},
				Action: issueNode},
			{Name: "token", Usage: "make a token file: ROLE is viewer, operator, admin or target", ArgsUsage: "ROLE SUBJECT FILE",
				Flags:  []cli.Flag{caFlag, &cli.DurationFlag{Name: "life", Value: defaultTokenLife, Usage: "life of the token"}},
				Action: issueToken},
		},
	}
}

func issueNode(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return errors.New("expected the process's ID and its keys folder")
	}
	return keys.Issue(c.String("ca-dir"), c.Args().Get(1), c.Args().Get(0))
}

func issueToken(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 3 {
		return errors.New("expected role, subject and file")
	}
	role := keys.Role(c.Args().Get(0))
	if !role.Allows(keys.Viewer) && role != keys.Target {
		return fmt.Errorf("unknown role %q, expected viewer, operator, admin or target", role)
	}
	expires := time.Now().Add(c.Duration("life")).Unix()
	token, err := keys.IssueToken(c.String("ca-dir"), keys.Claims{Role: role, Subject: c.Args().Get(1), Expires: expires})
	if err != nil {
		return err
	}
	return os.WriteFile(c.Args().Get(2), []byte(token+"\n"), 0o600)
}
