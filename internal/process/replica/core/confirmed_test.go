package core

import "testing"

// TestLateAnswersDoNotProlongTheContactOfALeader guards against orders of a leader whose followers have elected another one since they sent the answers that it gets.
func TestLateAnswersDoNotProlongTheContactOfALeader(t *testing.T) {
	const delay = 4
	c := newTestCore(3)
	lead(t, c)
	if unconfirmed, leads := c.Unconfirmed(); unconfirmed > 0 || !leads {
		t.Errorf("%d ticks unconfirmed after the election, leads %t", unconfirmed, leads)
	}
	var onTheWay []Message
	for range 10 * delay {
		c.Tick()
		for _, m := range c.Ready().Messages {
			if m.To == "b" && m.Heartbeat != nil {
				reply := HeartbeatReply{Round: m.Heartbeat.Round, SentAt: m.Heartbeat.SentAt}
				onTheWay = append(onTheWay, Message{From: "b", Term: c.Term(), HeartbeatReply: &reply})
			}
		}
		if len(onTheWay) > delay {
			steps(t, c, onTheWay[0])
			onTheWay = onTheWay[1:]
		}
	}
	if silence, _ := c.LeaderSilence(); silence > 1 {
		t.Errorf("the leader heard nothing for %d ticks", silence)
	}
	if unconfirmed, _ := c.Unconfirmed(); unconfirmed < delay {
		t.Errorf("confirmed %d ticks ago by answers to messages of %d ticks ago", unconfirmed, delay)
	}
}
