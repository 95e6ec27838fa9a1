package integration

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	stopSignal     = syscall.SIGSTOP
	continueSignal = syscall.SIGCONT
)

// TestQueueTimeoutAgainstDispatchNeverCallsARunNotRun fills the pool so that many
// queued requests time out just when slots become free.
func TestQueueTimeoutAgainstDispatchNeverCallsARunNotRun(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	answers := f.sendMany(120, http.MethodPost, "/booking/1?sleep_ms=650")
	outcomes := map[string]int{}
	for _, answer := range answers {
		outcomes[answer.outcome]++
		runs := f.runs(answer.id)
		if answer.outcome == "not-run" && runs != 0 || answer.outcome == "ran" && runs != 1 || runs > 1 {
			t.Errorf("request %s: outcome %q, ran %d times", answer.id, answer.outcome, runs)
		}
		if answer.outcome == "not-run" && answer.header.Get("Retry-After") == "" {
			t.Errorf("request %s: refused without Retry-After", answer.id)
		}
	}
	if outcomes["not-run"] == 0 || outcomes["ran"] < 28 {
		t.Errorf("outcomes %v", outcomes)
	}
}

// TestRequestThatCannotFinishIsRefusedAtOnce sends more requests than the pool can
// complete before their deadlines. The excess must be refused early and not at the
// deadline.
func TestRequestThatCannotFinishIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	f.sendMany(16, http.MethodGet, "/office/learn?sleep_ms=900")
	answers := f.sendMany(150, http.MethodGet, "/office/1?sleep_ms=900")
	early := 0
	for _, answer := range answers {
		if answer.outcome == "not-run" && answer.took < 500*time.Millisecond {
			early++
		}
		if answer.outcome != "not-run" && answer.outcome != "ran" {
			t.Errorf("outcome %q", answer.outcome)
		}
	}
	if early < 80 {
		t.Errorf("only %d early refusals", early)
	}
}

// TestCallerGone cancels requests that run. An idempotent request must be cancelled
// on the target, a non-idempotent one must run to its end.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan callerReply, 1)
		go func() { done <- f.sendContext(ctx, method, "/booking/1?sleep_ms=1200") }()
		vm := f.running("booking")
		cancel()
		<-done
		time.Sleep(400 * time.Millisecond)
		running := f.targets[vm].InFlight() > 0
		if running != (method == http.MethodPost) {
			t.Errorf("%s: still runs after the caller has cancelled: %v", method, running)
		}
	}
}

// TestBurstSpillsOntoTheSparePoolAndLeavesItsShare sends more requests to a service
// than its pool has slots. The excess must run on the spare pool, which must keep
// slots for its own requests.
func TestBurstSpillsOntoTheSparePoolAndLeavesItsShare(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	done := make(chan []callerReply, 1)
	go func() { done <- f.sendMany(36, http.MethodGet, "/booking/1?sleep_ms=700") }()
	time.Sleep(350 * time.Millisecond)
	ownRequest := f.send(http.MethodGet, "/office/own")
	ownRequest.expect(t, http.StatusOK, "ran")
	if ownRequest.took > 250*time.Millisecond {
		t.Errorf("the spare pool's own request took %s", ownRequest.took)
	}
	for _, answer := range <-done {
		answer.expect(t, http.StatusOK, "ran")
	}
	own := f.targets["booking-a-1"].Peak() + f.targets["booking-a-2"].Peak()
	spare := f.targets["office-a-1"].Peak() + f.targets["office-a-2"].Peak()
	if own > 16 || spare < 8 || spare > 13 {
		t.Errorf("peak of %d requests on the service's own pool, %d on the spare pool", own, spare)
	}
}

// TestOneCallerCannotMonopolizeAPool lets one caller keep the queue full all the
// time. Another caller must still be served soon.
func TestOneCallerCannotMonopolizeAPool(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range 80 {
		group.Go(func() {
			for ctx.Err() == nil {
				f.send(http.MethodGet, "/office/hog?sleep_ms=300", "X-Arbutus-Caller", "hog")
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	for range 5 {
		answer := f.send(http.MethodGet, "/office/small", "X-Arbutus-Caller", "small")
		answer.expect(t, http.StatusOK, "ran")
		if answer.took > 700*time.Millisecond {
			t.Errorf("the second caller waited %s", answer.took)
		}
	}
	cancel()
	group.Wait()
}

// TestSlowSendersDelayNobodyAndTimeOut has callers stop in the middle of their
// request bodies. They must not delay other requests, and must be answered with a
// timeout.
func TestSlowSendersDelayNobodyAndTimeOut(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	const senders = 100
	var connections []net.Conn
	for range senders {
		connection, err := net.Dial("tcp", f.entry.settings.Callers)
		must(t, err)
		defer connection.Close()
		_, err = fmt.Fprintf(connection, "POST /booking/slow HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nhalf")
		must(t, err)
		connections = append(connections, connection)
	}
	for range 20 {
		answer := f.send(http.MethodPost, "/booking/fast")
		answer.expect(t, http.StatusOK, "ran")
		if answer.took > 300*time.Millisecond {
			t.Errorf("took %s", answer.took)
		}
	}
	must(t, connections[0].SetReadDeadline(time.Now().Add(13*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(connections[0]), nil)
	must(t, err)
	if response.StatusCode != http.StatusRequestTimeout || response.Header.Get("X-Arbutus-Outcome") != "not-run" {
		t.Errorf("status %s, outcome %q", response.Status, response.Header.Get("X-Arbutus-Outcome"))
	}
}

// TestBadInputIsRefusedWithItsOutcome sends requests that are malformed, too large
// or not supported. The refusals must state that the request did not run.
func TestBadInputIsRefusedWithItsOutcome(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	large := strings.Repeat("x", 2<<20)
	cases := map[string]struct {
		text   string
		status int
	}{
		"no route":           {"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusNotFound},
		"large body":         {"POST /booking/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2097152\r\n\r\n", http.StatusRequestEntityTooLarge},
		"large chunked body": {"POST /booking/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n" + large + "\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"malformed":          {"GARBAGE\r\n\r\n", http.StatusBadRequest},
		"bad chunk":          {"POST /booking/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest},
		"two lengths":        {"POST /booking/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na", http.StatusBadRequest},
		"large header":       {"GET /booking/1 HTTP/1.1\r\nHost: x\r\nX-Large: " + large[:64<<10] + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"CONNECT":            {"CONNECT x:1 HTTP/1.1\r\nHost: x:1\r\n\r\n", http.StatusNotImplemented},
		"upgrade":            {"GET /booking/1 HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", http.StatusNotImplemented},
	}
	before := len(f.targets["booking-a-1"].Runs()) + len(f.targets["booking-a-2"].Runs())
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			connection, err := net.Dial("tcp", f.entry.settings.Callers)
			must(t, err)
			defer connection.Close()
			go func() { _, _ = io.Copy(connection, strings.NewReader(c.text)) }()
			must(t, connection.SetReadDeadline(time.Now().Add(3*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			must(t, err)
			if response.StatusCode != c.status || response.Header.Get("X-Arbutus-Outcome") != "not-run" {
				t.Errorf("status %s, outcome %q", response.Status, response.Header.Get("X-Arbutus-Outcome"))
			}
		})
	}
	if after := len(f.targets["booking-a-1"].Runs()) + len(f.targets["booking-a-2"].Runs()); after != before {
		t.Errorf("%d refused requests were run", after-before)
	}
}

// TestUnsafeRequestIDIsReplaced sends request IDs that would break logs or pages.
func TestUnsafeRequestIDIsReplaced(t *testing.T) {
	t.Parallel()
	f := newRequestFleet(t)
	for _, id := range []string{"a b", "<script>", strings.Repeat("x", 65)} {
		answer := f.send(http.MethodGet, "/booking/1", "X-Request-Id", id)
		answer.expect(t, http.StatusOK, "ran")
		if got := answer.header.Get("X-Request-Id"); got == id || got == "" || bytes.Contains(answer.body, []byte(id)) {
			t.Errorf("ID %q came back as %q", id, got)
		}
	}
}
