package integration

import (
	"fmt"
	"log"
	"os"
	"path/filepath"
)

// keepLogs keeps the logs of all processes and a trace of all runs and faults, if
// a directory was given on the command line.
func keepLogs(seed uint64) hostedOption {
	return func(h *hosted) {
		if *soakLogs == "" {
			return
		}
		h.dir = filepath.Join(*soakLogs, fmt.Sprint("seed", seed))
		must(h.t, os.MkdirAll(h.dir, 0o700))
		file, err := os.Create(filepath.Join(h.dir, "trace"))
		must(h.t, err)
		h.t.Cleanup(func() { _ = file.Close() })
		h.ledger.trace.SetOutput(file)
		h.ledger.trace.SetFlags(log.LUTC | log.Ltime | log.Lmicroseconds)
	}
}

// note logs an event of the soak and adds it to the trace.
func (s *soak) note(format string, values ...any) {
	s.t.Helper()
	s.t.Logf(format, values...)
	s.ledger.trace.Printf(format, values...)
}
