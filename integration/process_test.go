package integration

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is a program under test, which may be started more than once.
type process struct {
	t       *testing.T
	id      string
	path    string
	args    []string
	logPath string
	// env holds additional environment variables.
	env []string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed once the process has exited.
	exited chan struct{}
}

// start starts the program and appends its output to the log file.
func (p *process) start() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(p.t, err)
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stderr = out
	p.cmd.Stdout = out
	must(p.t, p.cmd.Start())
	must(p.t, out.Close())
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		// The exit code is read from ProcessState where it matters.
		_ = cmd.Wait()
		close(exited)
	}()
}

// signal sends a signal. It has no effect on a process that has exited.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// freezeLimit is how long a process may take to stop after SIGSTOP.
const freezeLimit = time.Second

// freeze sends SIGSTOP and waits until the process has stopped. kill returns
// earlier, and a busy machine delays the stop.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, freezeLimit, p.id+" has stopped", func() error {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil {
			return err
		}
		// The state follows the name of the program, which is in parentheses.
		state := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))[0]
		if state != "T" {
			return fmt.Errorf("state %s", state)
		}
		return nil
	})
}

// kill ends the process at once, like a power cut, and waits for its exit. A
// suspended process is resumed first.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait(10 * time.Second)
}

// stop sends SIGTERM and waits until the process has shut down gracefully.
func (p *process) stop(limit time.Duration) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.wait(limit)
}

func (p *process) wait(limit time.Duration) {
	p.t.Helper()
	if p.exited == nil {
		return
	}
	select {
	case <-p.exited:
	case <-time.After(limit):
		p.t.Errorf("%s did not exit within %s", p.id, limit)
	}
}
