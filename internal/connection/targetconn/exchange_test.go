package targetconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// scripted starts a target that answers every request with the same bytes, and
// returns a pool of connections to it.
func scripted(t *testing.T, answer string) *Pool {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAll(connection, answer)
		}
	}()
	return NewClient().NewPool(listener.Addr().String(), 4)
}

func answerAll(connection net.Conn, answer string) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := connection.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func send(p *Pool, method string) (*Answer, Exchange, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return p.Send(ctx, Request{Method: method, URI: "/", MaxAnswerBytes: 1 << 10, MaxIdle: time.Second})
}

func TestAnswers(t *testing.T) {
	Convey("interim answers are skipped and the connection is reused", t, func() {
		p := scripted(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		for _, reused := range []bool{false, true, true} {
			answer, exchange, err := send(p, http.MethodGet)
			So(err, ShouldBeNil)
			So(string(answer.Body), ShouldEqual, "ok")
			So(exchange, ShouldResemble, Exchange{Sent: true, Reused: reused})
		}
	})
	Convey("HEAD keeps the length and reads no body", t, func() {
		answer, _, err := send(scripted(t, "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"), http.MethodHead)
		So(err, ShouldBeNil)
		So(answer.Header.Get("Content-Length"), ShouldEqual, "5000")
		So(answer.Body, ShouldBeEmpty)
	})
	Convey("an answer that is not certainly whole is an error", t, func() {
		for text, expected := range map[string]error{
			"HTTP/1.1 200 OK\r\n\r\nno length":                        ErrAnswerUnframed,
			"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n":         ErrAnswerTooLarge,
			"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n":  ErrSwitchedProtocols,
			"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort":      ErrUnresponsive,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5,": nil,
		} {
			p := scripted(t, text)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, exchange, err := p.Send(ctx, Request{Method: "GET", URI: "/", MaxAnswerBytes: 1 << 10, NewConnReadTimeout: 100 * time.Millisecond})
			cancel()
			So(err, ShouldNotBeNil)
			So(expected == nil || errors.Is(err, expected), ShouldBeTrue)
			So(exchange.Sent, ShouldBeTrue)
		}
	})
	Convey("a URI that would break the request line is not sent", t, func() {
		_, exchange, err := NewClient().NewPool("127.0.0.1:1", 1).Send(context.Background(), Request{Method: "GET", URI: "/ HTTP/1.1\r\nX: y"})
		So(errors.Is(err, ErrMalformedRequest), ShouldBeTrue)
		So(exchange.Sent, ShouldBeFalse)
	})
}
