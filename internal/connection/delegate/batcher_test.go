package delegate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestManyPromptItemsDoNotMultiplyMessages guards against a leader whose processor time goes to the messages of its delegates.
func TestManyPromptItemsDoNotMultiplyMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const items = 600
		start := time.Now()
		batches, received := 0, 0
		var longest time.Duration
		b := newBatcher(ctx, func(_ context.Context, batch []int) {
			batches++
			received += len(batch)
			for _, item := range batch {
				longest = max(longest, time.Since(start)-time.Duration(item)*time.Millisecond)
			}
		})
		for i := range items {
			b.add(i, prompt)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if received != items {
			t.Errorf("%d of %d items sent", received, items)
		}
		if most := items/int(batchInterval.Milliseconds()) + 1; batches > most {
			t.Errorf("%d messages in %d ms, expected at most %d", batches, items, most)
		}
		if longest > batchInterval+promptDelay {
			t.Errorf("an item waited for %s", longest)
		}
	})
}

// TestSinglePromptItemDoesNotWaitForAnInterval guards against orders that are late on an idle leader.
func TestSinglePromptItemDoesNotWaitForAnInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sent := make(chan time.Time, 10)
		b := newBatcher(ctx, func(context.Context, []int) { sent <- time.Now() })
		for range 3 {
			start := time.Now()
			b.add(1, prompt)
			if waited := (<-sent).Sub(start); waited > promptDelay {
				t.Errorf("waited for %s", waited)
			}
			time.Sleep(time.Second)
		}
	})
}
