// Package linktest provides link nodes for tests of the packages that make or
// serve calls.
package linktest

import (
	"log/slog"
	"testing"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Start opens a node on a free loopback address. It is closed when the test ends.
// The caller registers its handlers and calls Serve.
func Start(t testing.TB, id string) *link.Node {
	t.Helper()
	ring, err := keys.NewEphemeral(id)
	if err != nil {
		t.Fatal(err)
	}
	node, err := link.Listen("127.0.0.1:0", ring, timeline.NewRecorder(id, "z"), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = node.Close() })
	return node
}
