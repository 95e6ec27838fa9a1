package driver

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// lockedBuffer is a buffer that several goroutines write to.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// TestElectionLeavesALineForEachRole guards against an election that the logs do not show.
func TestElectionLeavesALineForEachRole(t *testing.T) {
	dir := t.TempDir()
	check(t, keys.Init(dir+"/ca"))
	check(t, keys.Issue(dir+"/ca", dir+"/control-1", "control-1"))
	ring, err := keys.Load(dir + "/control-1")
	check(t, err)
	var lines lockedBuffer
	log := slog.New(slog.NewJSONHandler(&lines, nil))
	recorder := timeline.NewRecorder("control-1", "z")
	node, err := link.Listen("127.0.0.1:0", ring, recorder, slog.New(slog.DiscardHandler))
	check(t, err)
	defer func() { _ = node.Close() }()
	self := replica.Member{ID: "control-1", Link: node.Address(), Admin: "127.0.0.1:1"}
	d, err := Open(Options{Self: self, InitialMembers: []replica.Member{self}, Dir: dir + "/data", Machine: &counter{}, Node: node,
		Recorder: recorder, Log: log, Fatal: func(err error) { t.Error(err) }})
	check(t, err)
	node.Serve()
	waitForLeader(t, []*Driver{d})
	check(t, d.Stop())
	var roles []string
	for line := range strings.Lines(lines.String()) {
		var entry struct {
			Message string `json:"msg"`
			To      string `json:"to"`
			Term    uint64 `json:"term"`
		}
		check(t, json.Unmarshal([]byte(line), &entry))
		if entry.Message == "replica role changed" {
			roles = append(roles, entry.To)
		}
	}
	if got := strings.Join(roles, " "); !strings.HasSuffix(got, "leader") || len(roles) > 4 {
		t.Errorf("lines of roles: %s", got)
	}
}
