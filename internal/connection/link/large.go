package link

import (
	"bytes"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
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
	// exempt holds the kinds that take no slot.
	exempt map[Kind]bool
}

func newLargeRequests() largeRequests {
	return largeRequests{slots: make(chan struct{}, maxLargeRequests), wait: largeRequestWait, exempt: map[Kind]bool{}}
}

// ExemptLarge takes kinds of calls out of the limit of large requests: they are never
// refused as busy. It must be called before Serve. It is for calls of few peers, such
// as those of the replicated log, that must arrive during a flood of others.
func (n *Node) ExemptLarge(kinds ...Kind) {
	for _, kind := range kinds {
		n.large.exempt[kind] = true
	}
}

// admit returns a reader of the whole message from a stream. A large one takes a
// slot, which release gives back. Without a free slot it returns a Fault with
// CodeBusy. Exempt kinds take none.
func (l largeRequests) admit(stream io.Reader) (whole io.Reader, release func(), err error) {
	var start bytes.Buffer
	n, err := io.CopyN(&start, stream, largeRequestBytes)
	if n < largeRequestBytes {
		if err == io.EOF {
			err = nil
		}
		return &start, func() {}, err
	}
	if l.exempt[kindAtStart(start.Bytes())] {
		return io.MultiReader(&start, stream), func() {}, nil
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

// kindAtStart returns the kind of a request of which only the start is known. The kind
// is the first field, after the head of the map and the key of one byte each.
func kindAtStart(start []byte) (kind Kind) {
	const key = 1
	if len(start) < 2 || start[1] != key {
		return ""
	}
	if _, err := cbor.UnmarshalFirst(start[2:], &kind); err != nil {
		return ""
	}
	return kind
}
