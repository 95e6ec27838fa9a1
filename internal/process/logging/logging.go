// Package logging creates the logger of the programs, which writes one JSON
// object a line, and adds context to errors.
package logging

import (
	"io"
	"log/slog"

	"github.com/samber/oops"
)

// New returns a logger that adds the program, the process id and the zone to
// each line.
func New(out io.Writer, program, id, zone string) *slog.Logger {
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: slog.LevelInfo})
	return slog.New(handler).With("program", program, "process", id, "zone", zone)
}

// Err returns the attributes of an error: its text, and the context that Wrap
// added to it.
func Err(err error) slog.Attr {
	attrs := []any{slog.String("text", err.Error())}
	if rich, ok := oops.AsOops(err); ok {
		for key, value := range rich.Context() {
			attrs = append(attrs, slog.Any(key, value))
		}
	}
	return slog.Group("error", attrs...)
}

// Wrap adds to an error the step that failed and the peer, address or file
// that the step was for. It returns nil for a nil error.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return oops.With("step", step, "peer", peer).Wrapf(err, "%s (peer %s)", step, peer)
}
