package targetconn

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// conn is one connection; one exchange uses it at a time.
type conn struct {
	raw        net.Conn
	reader     *bufio.Reader
	writer     *bufio.Writer
	generation uint64
	lastUsed   time.Time

	// deadline is the end of the running exchange.
	deadline time.Time
	// silence bounds the time between two reads; 0 for no bound.
	silence time.Duration
	// budget is the number of bytes that the answer may still have.
	budget int64
	// written counts the bytes of the running request that left.
	written int64
}

func newConn(raw net.Conn, generation uint64) *conn {
	c := &conn{raw: raw, generation: generation}
	c.reader = bufio.NewReader(readSide{c})
	c.writer = bufio.NewWriter(writeSide{c})
	return c
}

// begin prepares the connection for an exchange.
func (c *conn) begin(deadline time.Time, budget int64) error {
	c.deadline, c.budget, c.written, c.silence = deadline, budget, 0, 0
	c.writer.Reset(writeSide{c})
	return c.raw.SetDeadline(deadline)
}

// waitUntil returns when the next read must have made progress.
func (c *conn) waitUntil() time.Time {
	if c.silence == 0 {
		return c.deadline
	}
	limit := time.Now().Add(c.silence)
	if !c.deadline.IsZero() && c.deadline.Before(limit) {
		return c.deadline
	}
	return limit
}

// readSide reads under the bounds of the exchange.
type readSide struct{ c *conn }

// Read implements io.Reader.
func (r readSide) Read(buffer []byte) (int, error) {
	c := r.c
	if c.budget <= 0 {
		return 0, ErrAnswerTooLarge
	}
	if int64(len(buffer)) > c.budget {
		buffer = buffer[:c.budget]
	}
	if err := c.raw.SetReadDeadline(c.waitUntil()); err != nil {
		return 0, err
	}
	n, err := c.raw.Read(buffer)
	c.budget -= int64(n)
	return n, err
}

// writeSide counts what leaves.
type writeSide struct{ c *conn }

// Write implements io.Writer.
func (w writeSide) Write(data []byte) (int, error) {
	n, err := w.c.raw.Write(data)
	w.c.written += int64(n)
	return n, err
}

// quiet says that an idle connection is open and has nothing to read:
// bytes that nobody asked for would be taken for the next answer.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// isTimeout says that a read or write ran into its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// drained says that no byte is left over after an answer.
func (c *conn) drained() bool { return c.reader.Buffered() == 0 }
