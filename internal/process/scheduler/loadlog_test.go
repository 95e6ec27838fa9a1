package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
)

// TestLeaderLoadIsLoggedOncePerInterval calls the log faster than its interval.
func TestLeaderLoadIsLoggedOncePerInterval(t *testing.T) {
	var out bytes.Buffer
	replicated := &fakeReplica{}
	l := newLoop(context.Background(), Options{Machine: workstate.NewMachine(), Replica: replicated, Log: slog.New(slog.NewJSONHandler(&out, nil))}, 1)
	start := time.Now()
	for ms := range 3500 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%100 == 0 {
			l.loadLog.RecordPass(2*time.Millisecond, time.Millisecond, true)
			l.loadLog.RecordCommit(time.Duration(ms%1000) * time.Millisecond)
			replicated.addSync(time.Duration(ms%1000) * time.Millisecond)
		}
		l.logLoad(now)
	}
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	if len(lines) != 3 {
		t.Fatalf("%d lines in 3.5 s", len(lines))
	}
	var line struct {
		Rounds        int `json:"rounds"`
		RoundMS       int `json:"round_ms"`
		RoundCPU      int `json:"round_processor_ms"`
		LongestCommit int `json:"longest_commit_ms"`
		Syncs         int `json:"syncs"`
		SyncMS        int `json:"sync_ms"`
		LongestSync   int `json:"longest_sync_ms"`
	}
	if err := json.Unmarshal(lines[1], &line); err != nil {
		t.Fatal(err)
	}
	if line.Rounds != 10 || line.RoundMS != 20 || line.RoundCPU != 10 || line.LongestCommit != 900 || line.Syncs != 10 || line.SyncMS != 4500 || line.LongestSync != 900 {
		t.Errorf("the second line is %s", lines[1])
	}
}
