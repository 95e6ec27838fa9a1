package batcher

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
		b := New(ctx, func(_ context.Context, batch []int) {
			batches++
			received += len(batch)
			for _, item := range batch {
				longest = max(longest, time.Since(start)-time.Duration(item)*time.Millisecond)
			}
		})
		for i := range items {
			b.Add(i, Prompt)
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
		b := New(ctx, func(context.Context, []int) { sent <- time.Now() })
		for range 3 {
			start := time.Now()
			b.Add(1, Prompt)
			if waited := (<-sent).Sub(start); waited > promptDelay {
				t.Errorf("waited for %s", waited)
			}
			time.Sleep(time.Second)
		}
	})
}

// TestCallsWithoutNewsShareMessages guards against a leader that spends its processor on one message for each watch of an idle worker.
func TestCallsWithoutNewsShareMessages(t *testing.T) {
	sent := make(chan []int, 100)
	b := New(t.Context(), func(_ context.Context, items []int) { sent <- items })
	for i := range 10 {
		b.Add(i, Patient)
		time.Sleep(patientDelay / 50)
	}
	if batch := <-sent; len(batch) != 10 {
		t.Errorf("%d of 10 patient items in the first batch", len(batch))
	}
	start := time.Now()
	b.Add(1, Patient)
	b.Add(2, Prompt)
	if batch := <-sent; len(batch) != 2 {
		t.Errorf("%d of 2 items in the batch of the prompt one", len(batch))
	}
	if took := time.Since(start); took >= patientDelay {
		t.Errorf("the prompt item waited %s", took)
	}
}
