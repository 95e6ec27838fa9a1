package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/keys"
)

// cliLimit bounds one run of the command line.
const cliLimit = 30 * time.Second

// cliResult is the exit code and output of a run of the command line.
type cliResult struct {
	code           int
	stdout, stderr string
}

// runCLI runs arbutusctl with the given arguments and no others.
func runCLI(t *testing.T, args ...string) cliResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), cliLimit)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(binDir, "arbutusctl"), args...)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	result := cliResult{code: command.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
	if strings.Contains(result.stderr, "goroutine ") {
		t.Errorf("arbutusctl %v printed a stack trace:\n%s", args, result.stderr)
	}
	return result
}

// ctl runs arbutusctl against the deployment with a token of the role.
func (d *deployment) ctl(role keys.Role, args ...string) cliResult {
	d.t.Helper()
	return runCLI(d.t, append([]string{"--config", d.cliConfig(role, "")}, args...)...)
}

// cliConfig writes a settings file for the command line and returns its path. With
// an empty address the file names all control processes.
func (d *deployment) cliConfig(role keys.Role, address string) string {
	d.t.Helper()
	token := string(role) + ".token"
	must(d.t, os.WriteFile(filepath.Join(d.dir, token), []byte(d.token(role, "cli-"+string(role))+"\n"), 0o600))
	addresses := []string{address}
	if address == "" {
		addresses = nil
		for _, c := range d.controls {
			addresses = append(addresses, c.settings.Admin)
		}
	}
	list, err := json.Marshal(addresses)
	must(d.t, err)
	path := filepath.Join(d.dir, "cli.jsonc")
	text := "// for the tests\n{\"control\": " + string(list) + ", \"ca\": \"ca\", \"token\": \"" + token + "\"}"
	must(d.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// writeFile stores a text in the deployment's directory and returns its path.
func (d *deployment) writeFile(name, text string) string {
	d.t.Helper()
	path := filepath.Join(d.dir, name)
	must(d.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// expect checks the exit code and that the output contains the texts.
func (r cliResult) expect(t *testing.T, code int, texts ...string) {
	t.Helper()
	if r.code != code {
		t.Errorf("exit code %d, expected %d\nstdout: %s\nstderr: %s", r.code, code, r.stdout, r.stderr)
	}
	for _, text := range texts {
		if !strings.Contains(r.stdout+r.stderr, text) {
			t.Errorf("the output does not contain %q\nstdout: %s\nstderr: %s", text, r.stdout, r.stderr)
		}
	}
}

// newAnswerDropper starts a proxy for the administrative API of a control process.
// Until passAnswers is set, it closes the connection instead of passing on the
// answer to a submission.
func (d *deployment) newAnswerDropper(upstream string) (address string, passAnswers *atomic.Bool) {
	d.t.Helper()
	must(d.t, keys.Issue(d.dir+"/ca", d.dir+"/dropper", "dropper"))
	ring, err := keys.Load(d.dir + "/dropper")
	must(d.t, err)
	passAnswers = new(atomic.Bool)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: ring.ClientTLS()}}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		forward, err := http.NewRequest(r.Method, "https://"+upstream+r.URL.RequestURI(), r.Body)
		must(d.t, err)
		forward.Header = r.Header
		resp, err := client.Do(forward)
		must(d.t, err)
		defer resp.Body.Close()
		if r.URL.Path == "/v1/documents" && !passAnswers.Load() {
			panic(http.ErrAbortHandler)
		}
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
	server.TLS = ring.ServerTLS()
	server.StartTLS()
	d.t.Cleanup(server.Close)
	return server.Listener.Addr().String(), passAnswers
}

// waitControl waits until a control process answers.
func (d *deployment) waitControl() {
	d.t.Helper()
	eventually(d.t, 15*time.Second, "control answers", func() error {
		_, err := d.status()
		return err
	})
}
