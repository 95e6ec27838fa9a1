package link

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// gatherTime is how long the first ordinary frame after a pause waits for others.
	gatherTime = time.Millisecond
	// flushInterval is the time after a flush by which ordinary frames leave, if no
	// urgent one takes them along. Each flush costs a packet and its acknowledgement.
	flushInterval = 12 * time.Millisecond
	// flushTimeout bounds the time in which a connection takes the frames of a flush.
	flushTimeout = time.Second
	// maxOutboxBytes bounds the frames that wait for one peer.
	maxOutboxBytes = 4 << 20
)

// urgency tells how long a frame may wait for others.
type urgency bool

const (
	// ordinary frames are one of several of their kind that arrive within some
	// milliseconds.
	ordinary urgency = false
	// urgent frames hold up many callers. They leave at once and take along what waits.
	urgent urgency = true
)

// errOutboxFull ends a message that was not sent, since too many wait for its peer.
var errOutboxFull = errors.New("too many messages wait for the peer")

// outbox holds the frames that wait for one connection and writes them to a shared
// stream, many at a time. Opening a stream for each would cost more than the message
// itself.
type outbox struct {
	// due tells the writer that a flush is due.
	due chan struct{}

	mu sync.Mutex
	queuedFrames
	flushedAt time.Time
	// timer makes a flush due. It is set while ordinary frames wait.
	timer *time.Timer
	// ended is why the outbox takes no frames any more.
	ended error
}

// queuedFrames are the frames of one flush.
type queuedFrames struct {
	bytes []byte
	// sent is what is called with the outcome of each frame.
	sent []func(error)
	// timeout bounds the time in which the connection takes the frames.
	timeout time.Duration
}

func newOutbox() *outbox {
	return &outbox{due: make(chan struct{}, 1), queuedFrames: queuedFrames{timeout: flushTimeout}}
}

// add queues a frame. The function is called with the outcome of its write.
func (o *outbox) add(framed []byte, u urgency, sent func(error)) {
	if err := o.queue(framed, u, sent); err != nil {
		sent(err)
	}
}

func (o *outbox) queue(framed []byte, u urgency, sent func(error)) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended != nil {
		return o.ended
	}
	if len(o.bytes)+len(framed) > maxOutboxBytes {
		return errOutboxFull
	}
	o.bytes = append(o.bytes, framed...)
	o.sent = append(o.sent, sent)
	switch {
	case u == urgent:
		o.flush()
	case o.timer == nil:
		o.timer = time.AfterFunc(max(gatherTime, flushInterval-time.Since(o.flushedAt)), o.flush)
	}
	return nil
}

// flush wakes the writer.
func (o *outbox) flush() {
	select {
	case o.due <- struct{}{}:
	default:
	}
}

// take removes and returns the frames.
func (o *outbox) take() queuedFrames {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.timer != nil {
		o.timer.Stop()
		o.timer = nil
	}
	o.flushedAt = time.Now()
	taken := o.queuedFrames
	o.queuedFrames = queuedFrames{timeout: o.timeout}
	return taken
}

// run writes the frames of each flush until the connection ends.
func (o *outbox) run(connection *quic.Conn) {
	w := frameWriter{connection: connection}
	for {
		select {
		case <-o.due:
			taken := o.take()
			if len(taken.bytes) > 0 {
				taken.report(w.write(taken.bytes, taken.timeout))
			}
		case <-connection.Context().Done():
			o.end(context.Cause(connection.Context()))
			return
		}
	}
}

// end reports the frames that were not written.
func (o *outbox) end(cause error) {
	o.mu.Lock()
	o.ended = errors.Join(ErrClosed, cause)
	o.mu.Unlock()
	left := o.take()
	left.report(o.ended)
}

// report tells the outcome of the write.
func (q *queuedFrames) report(err error) {
	for _, done := range q.sent {
		done(err)
	}
}
