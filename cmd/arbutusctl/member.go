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

	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/process/replica"
)

func memberCommand() *cli.Command {
	return &cli.Command{
		Name:  "member",
		Usage: "list, add and remove control processes",
		Commands: []*cli.Command{
			{Name: "list", Usage: "show the members", Action: listMembers},
			{
				Name:  "add",
				Usage: "add a running control process that is set to join: true; it becomes a voter once it has caught up",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "id", Required: true, Usage: "id in its settings; it must never have been used before"},
					&cli.StringFlag{Name: "link", Required: true, Usage: "its link address"},
					&cli.StringFlag{Name: "admin", Required: true, Usage: "its operator address"},
				},
				Action: addMember,
			},
			{Name: "remove", Usage: "remove a control process", ArgsUsage: "ID", Action: removeMember},
		},
	}
}

func listMembers(ctx context.Context, c *cli.Command) error {
	return callMembers(ctx, c, http.MethodGet, "/v1/members", nil)
}

func addMember(ctx context.Context, c *cli.Command) error {
	member := replica.Member{ID: c.String("id"), Link: c.String("link"), Admin: c.String("admin")}
	body, err := json.Marshal(member)
	if err != nil {
		return fmt.Errorf("encode member: %w", err)
	}
	return callMembers(ctx, c, http.MethodPost, "/v1/members", body)
}

func removeMember(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return fmt.Errorf("expected one id")
	}
	return callMembers(ctx, c, http.MethodDelete, "/v1/members/"+url.PathEscape(c.Args().First()), nil)
}

// callMembers sends a request and prints the members in the response.
func callMembers(ctx context.Context, c *cli.Command, method, path string, body []byte) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	var list control.MemberList
	if err := client.Do(ctx, method, path, body, &list); err != nil {
		return err
	}
	if c.String("output") == "json" {
		return printJSON(list)
	}
	return printMembers(list)
}

func printMembers(list control.MemberList) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tROLE\tLINK\tADMIN")
	for _, m := range list.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", m.ID, memberRole(m, list.Leader), m.Link, m.Admin)
	}
	return table.Flush()
}

func memberRole(m replica.Member, leader string) string {
	switch {
	case m.Learner:
		return "learner"
	case m.ID == leader:
		return "leader"
	}
	return "voter"
}
