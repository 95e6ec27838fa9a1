package keytable

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/version/catalog"
)

// leader answers with a catalog after a delay.
type leader struct {
	mu     sync.Mutex
	answer workcall.AccountsResponse
	err    error
	delay  time.Duration
	calls  int
}

func (l *leader) Accounts(_ context.Context, r workcall.AccountsRequest) (workcall.AccountsResponse, error) {
	l.mu.Lock()
	l.calls++
	answer, err, delay := l.answer, l.err, l.delay
	l.mu.Unlock()
	time.Sleep(delay)
	if answer.Version == r.Known {
		answer.Keys = nil
	}
	return answer, err
}

// set puts a catalog with access control and these keys in force.
func (l *leader) set(version int64, keys ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answer = workcall.AccountsResponse{Version: version, AccessControl: true}
	for _, key := range keys {
		l.answer.Keys = append(l.answer.Keys, catalog.DigestKey(key))
	}
}

// bubble runs a test with a table and its leader on a simulated clock.
func bubble(t *testing.T, f func(l *leader, judge func(key string) Verdict, table *Table)) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{delay: 10 * time.Millisecond}
		table := New(l, slog.New(slog.DiscardHandler))
		f(l, func(key string) Verdict {
			verdict, _, _ := table.Judge(t.Context(), time.Now(), catalog.DigestKey(key))
			return verdict
		}, table)
	})
}

// TestOldCopyRefusesOnlyAfterConfirmation guards against an entry that was frozen while a key was added, and refuses that key.
func TestOldCopyRefusesOnlyAfterConfirmation(t *testing.T) {
	bubble(t, func(l *leader, judge func(string) Verdict, _ *Table) {
		l.set(1, "a")
		if got := judge("b"); got != Unknown {
			t.Fatalf("unknown key: %d", got)
		}
		l.set(2, "a", "b")
		time.Sleep(maxAge + time.Millisecond)
		if got := judge("b"); got != PassOn {
			t.Errorf("key that was added: %d", got)
		}
		time.Sleep(time.Hour)
		if got := judge("b"); got != PassOn || l.calls != 2 {
			t.Errorf("known key: %d, %d calls", got, l.calls)
		}
	})
}

// TestUnknownKeysShareConfirmations guards against a flood of unknown keys that becomes a flood of calls to the leader.
func TestUnknownKeysShareConfirmations(t *testing.T) {
	bubble(t, func(l *leader, judge func(string) Verdict, _ *Table) {
		l.set(1, "a")
		var callers sync.WaitGroup
		for range 500 {
			callers.Go(func() {
				for range 20 {
					if got := judge("x"); got != Unknown {
						t.Errorf("unknown key: %d", got)
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		callers.Wait()
		if l.calls > 6 {
			t.Errorf("%d calls to the leader in 1 s", l.calls)
		}
	})
}

// TestLostLeaderConfirmsNothing guards against an entry without a leader that answers 401 by an old copy.
func TestLostLeaderConfirmsNothing(t *testing.T) {
	bubble(t, func(l *leader, judge func(string) Verdict, _ *Table) {
		l.set(1, "a")
		judge("a")
		time.Sleep(time.Second)
		l.mu.Lock()
		l.err = errors.New("no leader")
		l.mu.Unlock()
		for range 20 {
			if got := judge("b"); got != Unconfirmed {
				t.Errorf("unknown key: %d", got)
			}
			if got := judge("a"); got != PassOn {
				t.Errorf("known key: %d", got)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if l.calls > 4 {
			t.Errorf("%d calls to the lost leader in 0.4 s", l.calls)
		}
		l.mu.Lock()
		l.err = nil
		l.mu.Unlock()
		time.Sleep(retryInterval)
		if got := judge("b"); got != Unknown {
			t.Errorf("unknown key after the leader is back: %d", got)
		}
	})
}

// TestCopyWithoutAccessControlIsRenewed guards against an entry that reads the bodies of unknown keys for ever, since access control was off when it loaded its copy.
func TestCopyWithoutAccessControlIsRenewed(t *testing.T) {
	bubble(t, func(l *leader, judge func(string) Verdict, table *Table) {
		l.answer = workcall.AccountsResponse{Version: 1}
		for range 10 {
			if got := judge("x"); got != PassOn {
				t.Errorf("without access control: %d", got)
			}
			time.Sleep(time.Second)
		}
		if l.calls != 1 {
			t.Errorf("%d calls without access control", l.calls)
		}
		l.set(2, "a")
		table.Refused(catalog.DigestKey("x"))
		if got := judge("x"); got != Unknown {
			t.Errorf("after the leader's refusal: %d", got)
		}
	})
}
