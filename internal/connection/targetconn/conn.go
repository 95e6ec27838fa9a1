package targetconn

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"
)

// conn is one connection. Only one exchange uses it at a time.
type conn struct {
	raw        net.Conn
	reader     *bufio.Reader
	writer     *bufio.Writer
	generation uint64
	lastUsed   time.Time

	// deadline is the deadline of the present exchange.
	deadline time.Time
	// readTimeout bounds each read; 0 for no bound but the deadline.
	readTimeout time.Duration
	// remainingBytes is the number of bytes that may still be read in the
	// present exchange.
	remainingBytes int64
	// written is the number of bytes sent in the present exchange.
	written int64
}

func newConn(raw net.Conn, generation uint64) *conn {
	c := &conn{raw: raw, generation: generation}
	c.reader = bufio.NewReader(connReader{c})
	c.writer = bufio.NewWriter(connWriter{c})
	return c
}

// prepare prepares the connection for an exchange that reads at most maxBytes.
func (c *conn) prepare(deadline time.Time, maxBytes int64) error {
	c.deadline, c.remainingBytes, c.written, c.readTimeout = deadline, maxBytes, 0, 0
	c.writer.Reset(connWriter{c})
	return c.raw.SetDeadline(deadline)
}

// readDeadline returns the deadline of the next read.
func (c *conn) readDeadline() time.Time {
	if c.readTimeout == 0 {
		return c.deadline
	}
	limit := time.Now().Add(c.readTimeout)
	if !c.deadline.IsZero() && c.deadline.Before(limit) {
		return c.deadline
	}
	return limit
}

// connReader reads from the connection under the limits of the exchange.
type connReader struct{ c *conn }

// Read implements io.Reader.
func (r connReader) Read(buffer []byte) (int, error) {
	c := r.c
	if c.remainingBytes <= 0 {
		return 0, ErrAnswerTooLarge
	}
	if int64(len(buffer)) > c.remainingBytes {
		buffer = buffer[:c.remainingBytes]
	}
	if err := c.raw.SetReadDeadline(c.readDeadline()); err != nil {
		return 0, err
	}
	n, err := c.raw.Read(buffer)
	c.remainingBytes -= int64(n)
	return n, err
}

// connWriter writes to the connection and counts the bytes.
type connWriter struct{ c *conn }

// Write implements io.Writer.
func (w connWriter) Write(data []byte) (int, error) {
	n, err := w.c.raw.Write(data)
	w.c.written += int64(n)
	return n, err
}

// reusable reports whether an idle connection is open and has nothing to read.
// Unsolicited bytes would be mistaken for the next answer.
func (c *conn) reusable() bool {
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
	openAndEmpty := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		openAndEmpty = errors.Is(peekErr, syscall.EAGAIN)
	})
	return err == nil && openAndEmpty
}

// isTimeout reports whether a read or write exceeded its deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readBufferEmpty reports whether no bytes are left in the buffer after an
// answer.
func (c *conn) readBufferEmpty() bool { return c.reader.Buffered() == 0 }
