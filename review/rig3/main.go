package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longestRun bounds a case, which may take 120 s.
const longestRun = 115 * time.Second

// play is a case. It returns whether the rule was broken, or an error if the case
// could not run. With trouble false it leaves the disruption out.
type play func(d *deployment, trouble bool) (broken bool, err error)

func main() {
	name := flag.String("case", "", "the name of the case")
	programs := flag.String("programs", "target", "the directory of the programs")
	out := flag.String("record", "record.txt", "the file for the record")
	keep := flag.String("keep", "", "a directory in which the logs of the programs are kept")
	flag.Parse()
	os.Exit(run(*name, *programs, *out, *keep))
}

func run(name, programs, out, keep string) int {
	chosen := plays[name]
	record, err := newRecord(out)
	if err != nil || chosen == nil {
		fmt.Fprintf(os.Stderr, "case %q: %v\n", name, err)
		return exitFailed
	}
	defer record.close()
	giveUp := func(why string) {
		record.note("%s", why)
		stopAll()
		record.close()
		os.Exit(exitFailed)
	}
	time.AfterFunc(longestRun, func() { giveUp("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { giveUp("the case was ended by the signal " + (<-signals).String()) }()
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, disruption %t", name, trouble)
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		record.note("no temporary folder: %v", err)
		return exitFailed
	}
	defer os.RemoveAll(dir)
	programs, err = filepath.Abs(programs)
	if err != nil {
		record.note("no programs: %v", err)
		return exitFailed
	}
	d := &deployment{dir: dir, programs: programs, record: record}
	defer stopAll()
	broken, err := chosen(d, trouble)
	stopAll()
	if keep != "" {
		d.keepLogs(keep)
	}
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		record.note("verdict: the rule was broken")
		return exitBroken
	}
	record.note("verdict: the rule held")
	return exitHeld
}
