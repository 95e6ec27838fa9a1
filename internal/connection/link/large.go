package link

import (
	"bytes"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Limits of large requests: a submission may have 262,144 bytes, and its decoded
// form and its command in the log take several times as much. Without the limit
// many entries that pass on large submissions exhaust the leader's memory.
const (
	// largeRequestBytes is the size above which a request is large.
	largeRequestBytes = 64 << 10
	// maxLargeRequests limits the large requests that a process reads and handles
	// at the same time. The rest of the others is not read.
	maxLargeRequests = 64
	// largeRequestWait is how long a large request waits before it is refused.
	// A call to the leader lasts up to 700 ms.
	largeRequestWait = 200 * time.Millisecond
)

var largeRequestsRefused = metrics.NewCounter("arbutus_link_large_requests_refused_total")

// largeRequests limits the large requests of a node.
type largeRequests struct {
	slots chan struct{}
	wait  time.Duration
}

func newLargeRequests() largeRequests {
	return largeRequests{slots: make(chan struct{}, maxLargeRequests), wait: largeRequestWait}
}

// admit returns a reader of the whole message from a stream. A large one takes a
// slot, which release gives back. Without a free slot it returns a Fault with
// CodeBusy.
func (l largeRequests) admit(stream io.Reader) (whole io.Reader, release func(), err error) {
	var start bytes.Buffer
	n, err := io.CopyN(&start, stream, largeRequestBytes)
	if n < largeRequestBytes {
		if err == io.EOF {
			err = nil
		}
		return &start, func() {}, err
	}
	timer := time.NewTimer(l.wait)
	defer timer.Stop()
	select {
	case l.slots <- struct{}{}:
		return io.MultiReader(&start, stream), func() { <-l.slots }, nil
	case <-timer.C:
		largeRequestsRefused.Inc()
		return nil, nil, &Fault{Code: CodeBusy, Message: "too many large requests are being handled"}
	}
}
