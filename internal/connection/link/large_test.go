package link

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against a leader that reads any number of large submissions, and against
// small calls that wait behind them.
func TestLargeRequestsAreLimited(t *testing.T) {
	l := largeRequests{slots: make(chan struct{}, 1), wait: time.Millisecond}
	text := strings.Repeat("a", 2*largeRequestBytes)
	whole, release, err := l.admit(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	if content, _ := io.ReadAll(whole); string(content) != text {
		t.Errorf("%d bytes", len(content))
	}
	var busy *Fault
	if _, _, err := l.admit(strings.NewReader(text)); !errors.As(err, &busy) || busy.Code != CodeBusy {
		t.Errorf("second large request: %v", err)
	}
	if _, _, err := l.admit(strings.NewReader("small")); err != nil {
		t.Errorf("small request: %v", err)
	}
	release()
	if _, _, err := l.admit(strings.NewReader(text)); err != nil {
		t.Errorf("after the first: %v", err)
	}
}
