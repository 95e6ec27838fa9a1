// Package logging makes the programs' logger: one JSON object a line.
package logging

import (
	"io"
	"log/slog"

	"github.com/samber/oops"
)

// New returns a logger that names the program and the process in each line.
func New(out io.Writer, program, id, zone string) *slog.Logger {
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: slog.LevelInfo})
	return slog.New(handler).With("program", program, "process", id, "zone", zone)
}

// Err returns the attributes of an error: its text, and the step and the
// peer at which it arose where it carries them.
func Err(err error) slog.Attr {
	attrs := []any{slog.String("text", err.Error())}
	if rich, ok := oops.AsOops(err); ok {
		for key, value := range rich.Context() {
			attrs = append(attrs, slog.Any(key, value))
		}
	}
	return slog.Group("error", attrs...)
}

// Wrap wraps an error with the step and the peer at which it arose; nil
// stays nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return oops.With("step", step, "peer", peer).Wrapf(err, "%s (peer %s)", step, peer)
}
