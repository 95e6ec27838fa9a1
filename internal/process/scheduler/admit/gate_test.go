package admit

import (
	"fmt"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
)

// TestRefusedAttemptsAreBounded guards against memory that grows with the refusals of a
// burst.
func TestRefusedAttemptsAreBounded(t *testing.T) {
	var g gate
	now := time.Now()
	unknown := func() bool { return false }
	for i := range maxRemembered + 1000 {
		g.refuse("job", fmt.Sprint(i), unknown, now)
	}
	if len(g.refused.at) != maxRemembered || len(g.refused.order) != maxRemembered || g.wasRefused("0", now) || !g.wasRefused("1000", now) {
		t.Errorf("%d attempts remembered", len(g.refused.at))
	}
	g.refuse("job", "last", unknown, now.Add(memory))
	if len(g.refused.at) != 1 {
		t.Errorf("%d attempts remembered after %s", len(g.refused.at), memory)
	}
}

// TestEachProposalInFlightCounts guards against a refusal while the second of two
// proposals of a job is in flight.
func TestEachProposalInFlightCounts(t *testing.T) {
	var g gate
	now := time.Now()
	first, second := g.begin("job", "one", now), g.begin("job", "two", now)
	first.End(workcall.SubmitResponse{}, nil, now)
	if g.refuse("job", "three", func() bool { return false }, now).inFlight != second {
		t.Error("the second proposal is not known")
	}
	second.End(workcall.SubmitResponse{}, nil, now)
	if len(g.proposals) != 0 {
		t.Errorf("proposals left: %v", g.proposals)
	}
}
