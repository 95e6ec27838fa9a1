package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/replica"
)

func TestDelaysOfCommitsAreTakenOnce(t *testing.T) {
	const proposals = 5
	leader := startGroup(t, 3)
	leader.TakeDelays()
	for range proposals {
		if _, err := leader.Propose(t.Context(), []byte("command")); err != nil {
			t.Fatal(err)
		}
	}
	taken := leader.TakeDelays()
	if taken.Queue.Count != proposals || taken.Sync.Count == 0 || taken.Followers.Count != proposals {
		t.Errorf("%d proposals gave %+v", proposals, taken)
	}
	for _, d := range []replica.Delay{taken.Queue, taken.Sync, taken.Followers, taken.Pass} {
		if d.Longest <= 0 || d.Longest > d.Total {
			t.Errorf("longest %s of a total of %s", d.Longest, d.Total)
		}
	}
	if again := leader.TakeDelays(); again.Queue.Count != 0 || again.Followers.Count != 0 {
		t.Errorf("the next call gave %+v", again)
	}
}

// TestLatenessCountsALongPass applies a command that holds up the loops of the members.
func TestLatenessCountsALongPass(t *testing.T) {
	leader := startGroup(t, 3)
	leader.TakeDelays()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := leader.Propose(ctx, []byte(suspend)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * tickInterval)
	taken := leader.TakeDelays()
	if taken.Pass.Longest < suspension || taken.Late.Longest < suspension-2*tickInterval {
		t.Errorf("longest pass %s, longest lateness %s", taken.Pass.Longest, taken.Late.Longest)
	}
}

// slowCommitCase gives the times of a batch after its submission.
type slowCommitCase struct {
	appended, synced, acknowledged, committed, late time.Duration
	heldBy                                          string
}

func TestSlowCommitTellsWhatHeldIt(t *testing.T) {
	const short, long = 10 * time.Millisecond, 2 * slowCommit
	for _, c := range []slowCommitCase{
		{appended: long, synced: long + short, acknowledged: long + short, committed: long + 2*short, heldBy: "queue"},
		{appended: short, synced: long, acknowledged: 2 * short, committed: long, heldBy: "sync"},
		{appended: short, synced: 2 * short, acknowledged: long, committed: long, heldBy: "followers"},
		{appended: short, acknowledged: 2 * short, committed: long, heldBy: "sync"},
		{appended: short, synced: 2 * short, acknowledged: long, committed: long, late: long - short, heldBy: "loop"},
		{appended: short, synced: 2 * short, acknowledged: 2 * short, committed: 3 * short},
	} {
		if got := c.play(t); got != c.heldBy {
			t.Errorf("%+v: held by %q", c, got)
		}
	}
}

// play records the steps of the batch and returns what held it by the log.
func (c *slowCommitCase) play(t *testing.T) string {
	t.Helper()
	const index = 7
	var out bytes.Buffer
	times := commitTimes{delays: &delays{}, slow: slowLine{log: slog.New(slog.NewJSONHandler(&out, nil))}}
	start := time.Now()
	times.appended(index, start, start.Add(c.appended), 0)
	if c.synced > 0 {
		times.synced(index, start.Add(c.synced))
	}
	times.acknowledged(index-1, start)
	times.acknowledged(index, start.Add(c.acknowledged))
	times.committed(index-1, start.Add(c.committed), c.late)
	if len(times.pending) != 1 {
		t.Fatalf("%d batches are pending before the commit", len(times.pending))
	}
	times.committed(index, start.Add(c.committed), c.late)
	if len(times.pending) != 0 {
		t.Fatalf("%d batches are pending after the commit", len(times.pending))
	}
	if out.Len() == 0 {
		return ""
	}
	var line struct {
		HeldBy string `json:"held_by"`
	}
	check(t, json.Unmarshal(out.Bytes(), &line))
	return line.HeldBy
}

func TestSlowStepsAreLoggedOncePerInterval(t *testing.T) {
	var out bytes.Buffer
	slow := slowLine{log: slog.New(slog.NewJSONHandler(&out, nil))}
	for range 100 {
		slow.warn("commit slow")
	}
	if lines := strings.Count(out.String(), "\n"); lines != 1 {
		t.Errorf("%d lines", lines)
	}
	slow.loggedAt = slow.loggedAt.Add(-slowLineInterval)
	slow.warn("commit slow")
	if !strings.Contains(out.String(), `"skipped":99`) {
		t.Errorf("the log is %s", out.String())
	}
}

func TestCommitTimesNeedNoAllocationPerBatch(t *testing.T) {
	times := commitTimes{delays: &delays{}, slow: slowLine{log: slog.New(slog.DiscardHandler)}}
	index := uint64(0)
	now := time.Now()
	allocations := testing.AllocsPerRun(1000, func() {
		index++
		times.appended(index, now, now, 0)
		times.synced(index, now)
		times.acknowledged(index, now)
		times.committed(index, now, 0)
	})
	if allocations > 0 {
		t.Errorf("%.1f allocations a batch", allocations)
	}
}
