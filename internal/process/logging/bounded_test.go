package logging

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// countingOutput records what is written and in how many writes.
type countingOutput struct {
	mu     sync.Mutex
	writes int
	// longest is the size of the longest write, partial counts the writes that
	// do not end with a line.
	longest, partial int
	text             strings.Builder
	// blocked holds up each write until it is closed.
	blocked chan struct{}
}

func (o *countingOutput) Write(p []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writes++
	o.longest = max(o.longest, len(p))
	if len(p) == 0 || p[len(p)-1] != '\n' {
		o.partial++
	}
	return o.text.Write(p)
}

// TestManyLinesTakeFewWrites guards against a process that spends its processor on one system call for each log line.
func TestManyLinesTakeFewWrites(t *testing.T) {
	var out countingOutput
	log, flush := NewBounded(&out, "p", "id", "z")
	const count = 1000
	start := time.Now()
	for i := range count {
		log.Info("line", "number", i)
	}
	flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(out.text.String()), "\n")
	if len(lines) != count {
		t.Fatalf("%d lines", len(lines))
	}
	for i, line := range lines {
		if !strings.Contains(line, fmt.Sprintf(`"number":%d}`, i)) {
			t.Fatalf("line %d is %s", i, line)
		}
	}
	// Chunks of lines that have at most a quarter of its size are at least
	// three quarters full.
	limit := 2 + out.text.Len()*4/(maxChunkBytes*3) + int(time.Since(start)/writeDelay)
	if out.writes > limit {
		t.Errorf("%d writes, limit %d", out.writes, limit)
	}
}

func TestLoneLineIsWrittenWithoutFlush(t *testing.T) {
	var out countingOutput
	log, _ := NewBounded(&out, "p", "id", "z")
	log.Info("alone")
	deadline := time.Now().Add(5 * time.Second)
	for {
		out.mu.Lock()
		written := strings.Contains(out.text.String(), "alone")
		out.mu.Unlock()
		if written {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the line was not written")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestLinesBeyondTheQueueAreDroppedAndCounted(t *testing.T) {
	out := countingOutput{blocked: make(chan struct{})}
	log, flush := NewBounded(&out, "p", "id", "z")
	const extra = 5000
	for i := range maxQueuedLines + extra {
		log.Info("line", "number", i)
	}
	close(out.blocked)
	flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.text.String(), `"msg":"log lines dropped"`) {
		t.Error("no line tells of the dropped ones")
	}
}

// TestEachWriteHoldsWholeLinesThatAPipeTakesAtOnce guards against lines that are cut in the middle because their process was killed during a write.
func TestEachWriteHoldsWholeLinesThatAPipeTakesAtOnce(t *testing.T) {
	const pipeBuf = 4096
	var out countingOutput
	log, flush := NewBounded(&out, "p", "id", "z")
	for i := range 2000 {
		log.Info("line", "number", i, "text", strings.Repeat("x", i%700))
	}
	flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	if out.longest > pipeBuf || out.partial > 0 {
		t.Errorf("the longest write has %d bytes, %d writes end within a line", out.longest, out.partial)
	}
}
