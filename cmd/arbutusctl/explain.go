package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/scheduler/explain"
	"arbutusward.example/arbutusward/platform"
)

const (
	// explainTimeout is the timeout of one call to one control process.
	explainTimeout = 5 * time.Second
	// maxExplanationBytes is the largest answer that is read.
	maxExplanationBytes = 16 << 20
	// maxKeyFileBytes is the most that is read of a file with a key.
	maxKeyFileBytes = 4 << 10
	// standardInput is the name of standard input in place of a file.
	standardInput = "-"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell where a client's call or job of a hosted deployment would go now, and why, without sending it",
		ArgsUsage: "HOST PATH",
		Description: `The leader among the control processes answers. Nothing is submitted or
changed. The path may name a job that was accepted before. A caller whose key
is refused is a result like any other, with exit code 0.

Examples:
  arbutusctl explain --metrics 10.0.0.1:7061 shop.example /resize/
  arbutusctl explain --metrics 10.0.0.1:7061 --key key.txt --job job.json shop.example /resize/00000000000000a1`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "metrics", Required: true, Usage: "metrics addresses of control processes, HOST:PORT"},
			&cli.StringFlag{Name: "key", Usage: "file with the caller's API key, - for standard input"},
			&cli.StringFlag{Name: "job", Usage: "file with the job as a client would submit it, - for standard input"},
		},
		Action: runExplain,
	}
}

func runExplain(ctx context.Context, c *cli.Command) error {
	question, err := readQuestion(c)
	if err != nil {
		return err
	}
	answer, err := question.ask(ctx, c.StringSlice("metrics"))
	if err != nil {
		return err
	}
	if wantsJSON(c) {
		return printJSON(answer)
	}
	return printAnswer(answer)
}

// question is a call to be explained. Its key appears in no message.
type question struct {
	host, path, key string
	// job is nil if none was given.
	job []byte
}

func readQuestion(c *cli.Command) (*question, error) {
	if c.Args().Len() != 2 {
		return nil, badInput("expected the host and the path of the call")
	}
	q := &question{host: c.Args().Get(0), path: c.Args().Get(1)}
	keyFile, jobFile := c.String("key"), c.String("job")
	if keyFile == standardInput && jobFile == standardInput {
		return nil, badInput("only one of --key and --job may be standard input")
	}
	if keyFile != "" {
		text, err := readInput(keyFile, maxKeyFileBytes)
		if err != nil {
			return nil, badInput("read key: %w", err)
		}
		q.key = strings.TrimSpace(string(text))
	}
	if jobFile != "" {
		text, err := readInput(jobFile, maxExplanationBytes)
		if err != nil {
			return nil, badInput("read job: %w", err)
		}
		q.job = text
	}
	return q, nil
}

// readInput reads a file or standard input, of which it reads limit bytes at most.
func readInput(name string, limit int64) ([]byte, error) {
	if name == standardInput {
		return io.ReadAll(io.LimitReader(os.Stdin, limit))
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, limit))
}

// ask asks the control processes until the leader has answered. One that does not lead
// names the leader. The error wraps adminclient.ErrNotReachable if none has answered.
func (q *question) ask(ctx context.Context, addresses []string) (*explain.Answer, error) {
	failures := []error{adminclient.ErrNotReachable}
	tried := map[string]bool{}
	for queue := addresses; len(queue) > 0; {
		address := queue[0]
		queue = queue[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		answer, err := q.askAt(ctx, address)
		if err == nil {
			return answer, nil
		}
		var refused *adminclient.StatusError
		switch {
		case !errors.As(err, &refused):
		case refused.Status == http.StatusMisdirectedRequest && refused.Fault.Leader != "":
			queue = append([]string{refused.Fault.Leader}, queue...)
		case refused.Status < http.StatusInternalServerError && refused.Status != http.StatusMisdirectedRequest:
			return nil, err
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}

func (q *question) askAt(ctx context.Context, address string) (*explain.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	method := http.MethodGet
	if q.job != nil {
		method = http.MethodPost
	}
	query := url.Values{"host": {q.host}, "path": {q.path}}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+platform.ExplainPath+"?"+query.Encode(), bytes.NewReader(q.job))
	if err != nil {
		return nil, fmt.Errorf("make call: %w", err)
	}
	if q.key != "" {
		request.Header.Set(platform.ExplainKeyHeader, q.key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		refused := &adminclient.StatusError{Status: response.StatusCode, Body: body, Address: address}
		// The fault stays empty if the body is not one.
		_ = json.Unmarshal(body, &refused.Fault)
		return nil, refused
	}
	var answer explain.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", address, err)
	}
	return &answer, nil
}

func printAnswer(a *explain.Answer) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "leader\tterm %d, configuration version %d\n", a.Term, a.Version)
	if q := a.Queue; q != nil {
		fmt.Fprintf(table, "queue\t%s (%s), service %s, priority %d\n", q.Name, q.PathPrefix, q.Service, q.Priority)
	} else {
		fmt.Fprintln(table, "queue\tnone matches")
	}
	fmt.Fprintf(table, "access\t%s\n", a.Access)
	if u := a.Account; u != nil {
		fmt.Fprintf(table, "account\t%s, weight %g, over its rate %t, above its share %t\n", u.Name, u.Weight, u.OverRate, u.AboveShare)
		fmt.Fprintf(table, "quota\t%s\n", formatQuota(u))
	}
	if j := a.Job; j != nil {
		fmt.Fprintf(table, "job\t%s, accepted %s ago, over rate %t\n", j.State, formatAge(j.AgeMS), j.OverRate)
	}
	if d := a.Admission; d != nil {
		fmt.Fprintf(table, "submission\t%s\n", formatAdmission(d))
	}
	for _, w := range a.Workers {
		fmt.Fprintf(table, "workers\t%d %s, free %s, answered up to %s ago\n", w.Count, w.State, formatResources(w.Free), formatAge(w.OldestMS))
	}
	for i := range a.Steps {
		printStep(table, &a.Steps[i])
	}
	for _, text := range a.Unknown {
		fmt.Fprintf(table, "not known\t%s\n", text)
	}
	return table.Flush()
}

func printStep(w io.Writer, s *explain.Step) {
	fmt.Fprintf(w, "step %d\t%d tasks, %d done\n", s.Step, s.Tasks, s.Done)
	if o := s.Order; o != nil {
		fmt.Fprintf(w, "\tpriority %d, %s, rank %.3f; before it %d steps with %d tasks, %d of them of the same account\n",
			o.Priority, o.Tier, o.Rank, o.StepsBefore, o.TasksBefore, o.OwnTasksBefore)
	}
	printOnWorkers(w, "executing", s.Executing)
	printOnWorkers(w, "would start", s.Starts)
	if s.Waiting > 0 {
		fmt.Fprintf(w, "\t%d would wait: %s", s.Waiting, s.Reason)
		if s.Reason == explain.ReasonEarlier {
			fmt.Fprintf(w, " %v", s.DependsOn)
		}
		fmt.Fprintln(w)
	}
}

func printOnWorkers(w io.Writer, what string, list []explain.OnWorker) {
	for _, on := range list {
		name := on.Worker
		if name == "" {
			name = "other workers"
		}
		fmt.Fprintf(w, "\t%s: %d on %s, answered %s ago\n", what, on.Tasks, name, formatAge(on.AgeMS))
	}
}

func formatAdmission(a *explain.Admission) string {
	text := a.Outcome
	if a.Reason != "" {
		text += ", " + a.Reason
	}
	if a.RetryAfterMS > 0 {
		text += ", return after " + formatAge(a.RetryAfterMS)
	}
	if a.LoadAgeMS >= 0 {
		text += fmt.Sprintf("; %.1f core seconds before it, wait %s, objective %s, load of %s ago", a.BacklogCoreS, formatAge(a.WaitMS), formatAge(a.ObjectiveMS), formatAge(a.LoadAgeMS))
	}
	return text
}

// formatQuota returns what an account uses, and of what.
func formatQuota(a *explain.Account) string {
	if a.Limit == (explain.Resources{}) {
		return "uses " + formatResources(a.Use) + ", no limit"
	}
	return "uses " + formatResources(a.Use) + " of " + formatResources(a.Limit) + " (0 means no limit)"
}

func formatResources(r explain.Resources) string {
	return fmt.Sprintf("%d mcpu %d MB %d gpu", r.MilliCPU, r.MemoryMB, r.GPU)
}

func formatAge(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }
