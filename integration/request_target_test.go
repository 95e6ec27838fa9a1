package integration

import (
	"bytes"
	"net/http"
	"testing"
	"time"
)

// TestTargetKilledBeforeTheWriteRunsElsewhereAndOnce kills a target whose lease has
// not expired yet. No byte of a request reaches it, so that even a non-idempotent
// request may be sent to another VM.
func TestTargetKilledBeforeTheWriteRunsElsewhereAndOnce(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	f.targets["booking-a-1"].Kill()
	f.relays["booking-a-1"].close()
	for range 10 {
		answer := f.send(http.MethodPost, "/booking/1")
		answer.expect(t, http.StatusOK, "ran")
		f.expectRuns(t, answer, 1)
	}
}

// TestTargetKilledDuringTheRun kills the target that runs a request. The outcome of
// a non-idempotent request must be unknown and the request must not be repeated. An
// idempotent request must be repeated on another VM.
func TestTargetKilledDuringTheRun(t *testing.T) {
	t.Parallel()
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			f := newRequestFleet(t)
			answers := make(chan callerReply, 1)
			go func() { answers <- f.send(method, "/booking/1?sleep_ms=700") }()
			f.targets[f.running("booking")].Kill()
			answer := <-answers
			if method == http.MethodGet {
				answer.expect(t, http.StatusOK, "ran")
				return
			}
			answer.expect(t, http.StatusBadGateway, "unknown")
			f.expectRuns(t, answer, 1)
		})
	}
}

// TestConnectionCutAfterTheWriteIsUnknownNotNotRun drops the bytes of a request and
// then closes the connection. The entry has written the request, so it may have run.
func TestConnectionCutAfterTheWriteIsUnknownNotNotRun(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	for _, vm := range []string{"booking-a-1", "booking-a-2"} {
		f.relays[vm].setSilent(true)
	}
	answers := make(chan callerReply, 1)
	go func() { answers <- f.send(http.MethodPost, "/booking/1") }()
	time.Sleep(300 * time.Millisecond)
	for _, vm := range []string{"booking-a-1", "booking-a-2"} {
		f.relays[vm].cutAll()
	}
	(<-answers).expect(t, http.StatusBadGateway, "unknown")
}

// TestNonIdempotentWorkOnADeadReusedConnectionIsNotReplayed has the target close a
// reused connection instead of answering. The entry must not repeat the request on
// another connection.
func TestNonIdempotentWorkOnADeadReusedConnectionIsNotReplayed(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	for range 5 {
		f.send(http.MethodGet, "/booking/warm").expect(t, http.StatusOK, "ran")
		answer := f.send(http.MethodPost, "/booking/1?close=1")
		answer.expect(t, http.StatusBadGateway, "unknown")
		f.expectRuns(t, answer, 1)
	}
}

// TestTruncatedAnswerIsNeverAShortSuccess has targets end their answers at half the
// declared length, or send them without framing.
func TestTruncatedAnswerIsNeverAShortSuccess(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	f.send(http.MethodGet, "/booking/1?bytes=100000&truncate=1").expect(t, http.StatusBadGateway, "unknown")
	f.send(http.MethodPost, "/booking/1?bytes=100000&truncate=1").expect(t, http.StatusBadGateway, "unknown")
	f.send(http.MethodGet, "/booking/1?unframed=1").expect(t, http.StatusBadGateway, "unknown")
	for range 6 {
		f.send(http.MethodGet, "/booking/1?bytes=100000&truncate=1&only=booking-a-1").expect(t, http.StatusOK, "ran")
	}
}

// TestCrossedAnswerNeverReachesAnotherCaller has targets answer with the ID of
// another request, and send additional answers that belong to no request.
func TestCrossedAnswerNeverReachesAnotherCaller(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	f.send(http.MethodPost, "/booking/1?cross=1").expect(t, http.StatusBadGateway, "unknown")
	for range 6 {
		f.send(http.MethodGet, "/booking/1?cross=1&only=booking-a-1").expect(t, http.StatusOK, "ran")
	}
	for range 6 {
		f.send(http.MethodGet, "/office/first?twice=1")
		answer := f.send(http.MethodGet, "/office/second")
		answer.expect(t, http.StatusOK, "ran")
		if !bytes.Contains(answer.body, []byte(answer.id)) {
			t.Errorf("request %s got %s", answer.id, answer.body)
		}
	}
}

// TestOversizedAnswerIsRefusedWhole has targets send answers above and below the
// limit of the service.
func TestOversizedAnswerIsRefusedWhole(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	f.send(http.MethodGet, "/booking/1?bytes=9000000").expect(t, http.StatusBadGateway, "unknown")
	f.send(http.MethodGet, "/booking/1?bytes=8000000").expect(t, http.StatusOK, "ran")
}

// TestSilentConnectionsAreFoundWithinThreeSecondsOfUse makes all open connections to
// targets silent for good, while new connections work. Requests must be served in
// time over new connections.
func TestSilentConnectionsAreFoundWithinThreeSecondsOfUse(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	f.sendMany(12, http.MethodGet, "/booking/warm?sleep_ms=100")
	for _, r := range f.relays {
		r.silenceOpen()
	}
	answers := f.sendMany(8, http.MethodGet, "/booking/1")
	for _, answer := range answers {
		answer.expect(t, http.StatusOK, "ran")
		if answer.took > 3*time.Second {
			t.Errorf("took %s", answer.took)
		}
	}
	for _, answer := range f.sendMany(12, http.MethodGet, "/booking/2?sleep_ms=50") {
		answer.expect(t, http.StatusOK, "ran")
		if answer.took > 500*time.Millisecond {
			t.Errorf("took %s: a silent connection was used again", answer.took)
		}
	}
}

// TestWorkerThatFailsFastAttractsNoWork has one VM fail every request immediately
// while the other takes 20 ms. The balancing by load must not prefer the VM that
// fails.
func TestWorkerThatFailsFastAttractsNoWork(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	const rounds, atOnce = 25, 6
	bad := 0
	for range rounds {
		for _, answer := range f.sendMany(atOnce, http.MethodPost, "/booking/1?status=500&only=booking-a-1&other_sleep_ms=20") {
			if answer.status == http.StatusInternalServerError {
				bad++
			}
		}
	}
	if bad > rounds*atOnce/10 {
		t.Errorf("%d of %d requests went to the failing VM", bad, rounds*atOnce)
	}
}

// TestEntryFrozenPastLeasesSendsNothing freezes the entry until all leases have
// expired, with requests waiting in its socket buffers.
func TestEntryFrozenPastLeasesSendsNothing(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	for _, target := range f.targets {
		target.StopAnnouncing()
	}
	f.entry.freeze()
	answers := make(chan []callerReply, 1)
	go func() { answers <- f.sendMany(20, http.MethodGet, "/booking/1") }()
	time.Sleep(3 * time.Second)
	f.entry.signal(continueSignal)
	for _, answer := range <-answers {
		answer.expect(t, http.StatusServiceUnavailable, "not-run")
		f.expectRuns(t, answer, 0)
	}
}
