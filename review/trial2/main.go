// Command trial2 plays the scripted cases of the second review: it starts the project's
// own programs on loopback addresses, with stand-ins for clients, workers and the
// platform, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	held     = 0
	wasBroke = 1
	notRun   = 2
)

// scenario plays a case and returns an error if it could not run.
type scenario func(d *deployment, x *world, trouble bool) error

var scenarios = map[string]scenario{
	"labels":   labels,
	"foreign":  foreign,
	"list":     waveList,
	"dropped":  dropped,
	"founding": founding,
}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder for record.txt")
	flag.Parse()
	os.Exit(play(*name, *folder))
}

func play(name, folder string) int {
	run := scenarios[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return notRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	d, err := newDeployment(root, rec)
	if d != nil {
		defer d.stopAll()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		rec.add("bench", "interrupted")
		d.stopAll()
		os.Exit(notRun)
	}()
	x := newWorld(rec, d.controlAddresses())
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("bench", "case %s, trouble %t", name, trouble)
	if err := run(d, x, trouble); err != nil {
		rec.add("bench", "the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return notRun
	}
	for _, b := range rec.broken {
		fmt.Println("rule broken:", b)
	}
	if len(rec.broken) > 0 {
		return wasBroke
	}
	fmt.Println("the rule held")
	return held
}
