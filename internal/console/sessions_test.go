package console

import (
	"errors"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/keys"
)

// claimsFor are the claims of a viewer for a time.
func claimsFor(now time.Time, life time.Duration) keys.Claims {
	return keys.Claims{Role: keys.Viewer, Subject: "anna", Expires: now.Add(life).Unix()}
}

func TestSessionEndsWhenIdleOldOrWithItsToken(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, c := range map[string]struct {
		tokenLife time.Duration
		// uses are the times between uses, after the last of which the
		// session must be over.
		uses []time.Duration
	}{
		"idle":        {24 * time.Hour, []time.Duration{9 * time.Minute, 11 * time.Minute}},
		"token ended": {15 * time.Minute, []time.Duration{9 * time.Minute, 9 * time.Minute}},
	} {
		store := newSessionStore(10 * time.Minute)
		begun, err := store.begin(claimsFor(now, c.tokenLife), "", nil, now)
		if err != nil {
			t.Fatal(err)
		}
		at := now
		for i, pause := range c.uses {
			at = at.Add(pause)
			alive := store.find(begun.id, at) != nil
			if last := i == len(c.uses)-1; alive == last {
				t.Errorf("%s: alive %v after %s", name, alive, at.Sub(now))
			}
		}
	}
	store := newSessionStore(24 * time.Hour)
	begun, err := store.begin(claimsFor(now, 48*time.Hour), "", nil, now)
	if err != nil || store.find(begun.id, now.Add(sessionLife+time.Second)) != nil {
		t.Errorf("a session outlived %s: %v", sessionLife, err)
	}
}

func TestNumberOfSessionsIsBoundedAndOneThatEndedMakesRoom(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	store := newSessionStore(10 * time.Minute)
	var last *session
	for range maxSessions {
		var err error
		if last, err = store.begin(claimsFor(now, time.Hour), "", nil, now); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := store.begin(claimsFor(now, time.Hour), "", nil, now); !errors.Is(err, errTooManySessions) {
		t.Errorf("one session too many: %v", err)
	}
	store.end(last.id)
	if _, err := store.begin(claimsFor(now, time.Hour), "", nil, now); err != nil {
		t.Errorf("no room after an end: %v", err)
	}
}

func TestSamplesAreBoundedAndServicesThatAreGoneAreDropped(t *testing.T) {
	s := &sampler{services: map[string]*serviceSamples{}}
	for range maxSamples + 5 {
		s.note([]capacity{{service: "a", serving: 8, promised: 4}, {service: "b"}}, nil)
	}
	s.note([]capacity{{service: "a", serving: 2, promised: 4}}, nil)
	plots, failure := s.plots()
	if len(plots) != 1 || failure != "" || plots[0].Serving != 2 || len(plots[0].Plot.Lines[0].Points) != maxSamples {
		t.Errorf("%d plots, failure %q", len(plots), failure)
	}
}
