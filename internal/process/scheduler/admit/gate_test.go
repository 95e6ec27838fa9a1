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
	var g Gate
	now := time.Now()
	unknown := func() bool { return false }
	for i := range maxRemembered + 1000 {
		g.Refuse("job", fmt.Sprint(i), unknown, now)
	}
	if len(g.refused.at) != maxRemembered || len(g.refused.order) != maxRemembered || g.WasRefused("0", now) || !g.WasRefused("1000", now) {
		t.Errorf("%d attempts remembered", len(g.refused.at))
	}
	g.Refuse("job", "last", unknown, now.Add(memory))
	if len(g.refused.at) != 1 {
		t.Errorf("%d attempts remembered after %s", len(g.refused.at), memory)
	}
}

// TestEachProposalInFlightCounts guards against a refusal while the second of two
// proposals of a job is in flight.
func TestEachProposalInFlightCounts(t *testing.T) {
	var g Gate
	now := time.Now()
	first, second := g.Begin("job", "one", now), g.Begin("job", "two", now)
	first.End(workcall.SubmitResponse{}, nil, false, now)
	if g.Refuse("job", "three", func() bool { return false }, now).InFlight != second {
		t.Error("the second proposal is not known")
	}
	second.End(workcall.SubmitResponse{}, nil, false, now)
	if len(g.proposals) != 0 {
		t.Errorf("proposals left: %v", g.proposals)
	}
}
