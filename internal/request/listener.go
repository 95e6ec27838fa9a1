package request

import (
	"bytes"
	"net"
)

// builtinErrorHeader follows the status line of the error responses that
// net/http sends by itself when a request's header is malformed or too large.
const builtinErrorHeader = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// OutcomeListener adds the outcome NotRun to the error responses that net/http
// sends before any handler sees the request.
func OutcomeListener(listener net.Listener) net.Listener { return outcomeListener{listener} }

type outcomeListener struct{ net.Listener }

// Accept implements net.Listener.
func (l outcomeListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return outcomeConn{connection}, nil
}

type outcomeConn struct{ net.Conn }

// NetConn returns the underlying connection.
func (c outcomeConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c outcomeConn) Write(data []byte) (int, error) {
	marked := markBuiltinError(data)
	if marked == nil {
		return c.Conn.Write(data)
	}
	if _, err := c.Conn.Write(marked); err != nil {
		return 0, err
	}
	return len(data), nil
}

// markBuiltinError returns an error response of net/http with the outcome
// headers added, or nil if the data is anything else.
func markBuiltinError(data []byte) []byte {
	if !bytes.HasPrefix(data, []byte("HTTP/1.1 4")) {
		return nil
	}
	statusLine, text, found := bytes.Cut(data, []byte(builtinErrorHeader))
	status := bytes.TrimPrefix(statusLine, []byte("HTTP/1.1 "))
	if !found || bytes.ContainsAny(status, "\r\n") || !bytes.HasPrefix(text, status) {
		return nil
	}
	marked := append([]byte{}, statusLine...)
	marked = append(marked, "\r\n"+OutcomeHeader+": "+string(NotRun)+"\r\n"+ReasonHeader+": malformed request"...)
	return append(marked, data[len(statusLine):]...)
}
