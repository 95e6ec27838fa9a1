package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// broken lists the breaks of the rule.
	broken []string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

func (r *recorder) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-14s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (r *recorder) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("RULE BROKEN", "%s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}
