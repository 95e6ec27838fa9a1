package console

import (
	"errors"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/keys"
)

// claimsFor returns the claims of a viewer's token that expires after the lifetime.
func claimsFor(now time.Time, lifetime time.Duration) keys.Claims {
	return keys.Claims{Role: keys.Viewer, Subject: "anna", Expires: now.Add(lifetime).Unix()}
}

func TestSessionEndsWhenIdleTooOldOrItsTokenExpires(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, c := range map[string]struct {
		tokenLifetime time.Duration
		// pauses are the times between uses. The session must have ended at
		// the last use and not before.
		pauses []time.Duration
	}{
		"idle":        {24 * time.Hour, []time.Duration{9 * time.Minute, 11 * time.Minute}},
		"token ended": {15 * time.Minute, []time.Duration{9 * time.Minute, 9 * time.Minute}},
	} {
		store := newSessionStore(10 * time.Minute)
		sess, err := store.create(claimsFor(now, c.tokenLifetime), "", nil, now)
		if err != nil {
			t.Fatal(err)
		}
		at := now
		for i, pause := range c.pauses {
			at = at.Add(pause)
			alive := store.find(sess.id, at) != nil
			if last := i == len(c.pauses)-1; alive == last {
				t.Errorf("%s: alive %v after %s", name, alive, at.Sub(now))
			}
		}
	}
	store := newSessionStore(24 * time.Hour)
	sess, err := store.create(claimsFor(now, 48*time.Hour), "", nil, now)
	if err != nil || store.find(sess.id, now.Add(maxSessionAge+time.Second)) != nil {
		t.Errorf("a session outlived %s: %v", maxSessionAge, err)
	}
}

func TestNumberOfSessionsIsBoundedAndAnEndedSessionFreesItsPlace(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	store := newSessionStore(10 * time.Minute)
	var last *session
	for range maxSessions {
		var err error
		if last, err = store.create(claimsFor(now, time.Hour), "", nil, now); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := store.create(claimsFor(now, time.Hour), "", nil, now); !errors.Is(err, errTooManySessions) {
		t.Errorf("session beyond maxSessions: %v", err)
	}
	store.remove(last.id)
	if _, err := store.create(claimsFor(now, time.Hour), "", nil, now); err != nil {
		t.Errorf("no session could be created after one ended: %v", err)
	}
}

func TestSamplesAreBoundedAndRemovedServicesAreDropped(t *testing.T) {
	s := &sampler{services: map[string]*serviceSamples{}}
	for range maxSamples + 5 {
		s.record([]serviceCapacity{{service: "a", serving: 8, promised: 4}, {service: "b"}}, nil)
	}
	s.record([]serviceCapacity{{service: "a", serving: 2, promised: 4}}, nil)
	plots, failure := s.plots()
	if len(plots) != 1 || failure != "" || plots[0].Serving != 2 || len(plots[0].Plot.Lines[0].Points) != maxSamples {
		t.Errorf("%d plots, failure %q", len(plots), failure)
	}
}
