// Package integration runs the compiled programs against stand-ins for the
// platform and the targets, and through relays that inject network faults.
package integration

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
)

// binDir is the directory of the compiled programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "arbutus-bin-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
	gin.SetMode(gin.ReleaseMode)
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build programs: %v\n%s", err, out))
	}
	return m.Run()
}

// eventually repeats a check until it passes, and fails the test if it has not
// passed within the limit.
func eventually(t *testing.T, limit time.Duration, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s: %v", limit, what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
