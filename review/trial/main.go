// Command trial shows the cases of review/ that can't be put as a day of the bench.
// It starts the programs of the deploy file as separate processes on loopback
// addresses, with workers and a platform that behave as the users' pages say.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a trial.
const (
	held   = 0
	broken = 1
	failed = 2
)

// errNotRun means that a trial could not run.
var errNotRun = errors.New("the case could not run")

// trials holds the trials by name. Each reports whether the rule was broken. The
// disruption is left out unless trouble is set.
var trials = map[string]func(d *deployment, trouble bool) (bool, error){
	"crash-loop": crashLoop,
	"attempts":   attempts,
	"founding":   founding,
	"wave":       wave,
	"upkeep":     upkeep,
	"stray":      stray,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		if err := runWorker(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(failed)
	}
	if len(os.Args) != 3 || trials[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial NAME FOLDER")
		os.Exit(failed)
	}
	os.Exit(runTrial(os.Args[1], os.Args[2]))
}

func runTrial(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	r := &record{file: file, since: time.Now()}
	d, err := newDeployment(r)
	if err != nil {
		r.add("not run: %s", err)
		return failed
	}
	defer d.end()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("trial %s, with the disruption: %t", name, trouble)
	isBroken, err := trials[name](d, trouble)
	switch {
	case err != nil:
		r.add("not run: %s", err)
		return failed
	case isBroken:
		r.add("BROKEN")
		return broken
	}
	r.add("held")
	return held
}

// record is the file in which a trial writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	since time.Time
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f ", time.Since(r.since).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Println(line)
	fmt.Fprintln(r.file, line)
}
