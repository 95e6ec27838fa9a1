package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"arbutusward.example/arbutusward/internal/codec"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// MaxMessageBytes bounds one request or response.
const MaxMessageBytes = 16 << 20

// abortedCode is the stream error code with which either side aborts a call.
const abortedCode quic.StreamErrorCode = 1

// Kind is the type of a call.
type Kind string

// Errors of this package.
var (
	// ErrClosed is returned when the Node is closed.
	ErrClosed = errors.New("link is closed")
	// ErrTooLarge is returned when a message exceeds MaxMessageBytes.
	ErrTooLarge = errors.New("link message is too large")
	// ErrNoAnswer is returned when a call got no answer. The peer may have
	// executed it.
	ErrNoAnswer = errors.New("no answer, the call may have been carried out")
)

// Fault codes.
const (
	// CodeInternal is the code of a handler's error that is not a *Fault.
	CodeInternal = "internal"
	// CodeUnknownKind means that the peer has no handler for the call.
	CodeUnknownKind = "unknown_kind"
	// CodeMalformed means that the request could not be decoded.
	CodeMalformed = "malformed"
	// CodeNotLeader means that the peer is not the leader.
	CodeNotLeader = "not_leader"
	// CodeBusy means that the peer handles too many large requests. It has not
	// read this one.
	CodeBusy = "busy"
)

// Fault is an error that the peer returned.
type Fault struct {
	Code    string `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
	// Leader is the leader's link address, if known. It is set only with
	// CodeNotLeader.
	Leader string `cbor:"3,keyasint,omitempty"`
}

// Error formats the fault.
func (f *Fault) Error() string { return f.Code + ": " + f.Message }

// Metrics of the message bytes that this process sent and received, without the
// overhead of QUIC, and of the calls and of the messages without an answer.
var (
	sentBytes     = metrics.NewCounter(`arbutus_link_message_bytes_total{direction="sent"}`)
	receivedBytes = metrics.NewCounter(`arbutus_link_message_bytes_total{direction="received"}`)
	callsMade     = metrics.GetOrCreateCounter(`arbutus_link_calls_total`)
	callsServed   = metrics.GetOrCreateCounter(`arbutus_link_calls_served_total`)

	messagesSent     = metrics.GetOrCreateCounter(`arbutus_link_messages_total{direction="sent"}`)
	messagesReceived = metrics.GetOrCreateCounter(`arbutus_link_messages_total{direction="received"}`)
)

type request struct {
	Kind  Kind            `cbor:"1,keyasint"`
	Stamp timeline.Stamp  `cbor:"2,keyasint"`
	Body  cbor.RawMessage `cbor:"3,keyasint"`
}

type response struct {
	Stamp timeline.Stamp  `cbor:"1,keyasint"`
	Fault *Fault          `cbor:"2,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

// Handle registers a typed handler for a kind of calls.
func Handle[Req, Resp any](n *Node, kind Kind, serve func(context.Context, Peer, Req) (Resp, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := handledCounter(kind)
	n.handlers[kind] = func(ctx context.Context, peer Peer, body []byte) (any, error) {
		count.Inc()
		var req Req
		if err := codec.Unmarshal(body, &req); err != nil {
			return nil, &Fault{Code: CodeMalformed, Message: err.Error()}
		}
		return serve(ctx, peer, req)
	}
}

// Call makes one call and waits for its answer until the context ends. If the
// peer returned an error, Call returns a *Fault. After an error that wraps
// ErrNoAnswer the peer may have executed the call.
func Call[Req, Resp any](ctx context.Context, n *Node, address string, kind Kind, req Req) (Resp, error) {
	body, err := n.call(ctx, address, kind, req)
	return decodeAnswer[Resp](body, err, kind, address)
}

// decodeAnswer returns the answer to a call, or the error of the call with its kind
// and peer.
func decodeAnswer[Resp any](body []byte, err error, kind Kind, address string) (Resp, error) {
	var resp Resp
	if err != nil {
		return resp, logging.Wrap(err, string(kind), address)
	}
	if err := codec.Unmarshal(body, &resp); err != nil {
		return resp, logging.Wrap(fmt.Errorf("decode answer: %w", err), string(kind), address)
	}
	return resp, nil
}

func (n *Node) call(ctx context.Context, address string, kind Kind, req any) ([]byte, error) {
	message, err := n.encodeRequest(kind, req)
	if err != nil {
		return nil, err
	}
	peer, err := n.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return n.callOn(ctx, peer.connection, message)
}

// callOn makes a call with an encoded request on a connection.
func (n *Node) callOn(ctx context.Context, connection *quic.Conn, message []byte) ([]byte, error) {
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	return n.exchange(ctx, stream, message)
}

// exchange sends a request on a new stream and reads its response.
func (n *Node) exchange(ctx context.Context, stream *quic.Stream, message []byte) ([]byte, error) {
	callsMade.Inc()
	sentBytes.Add(len(message))
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(abortedCode)
		stream.CancelWrite(abortedCode)
	})
	defer stop()
	// A peer that refuses a large request stops reading it and answers, so the
	// answer counts also after a failed write.
	_, writeErr := stream.Write(message)
	if writeErr == nil {
		writeErr = stream.Close()
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: write: %w", ErrNoAnswer, ctx.Err())
	}
	var answer response
	if err := readMessage(stream, &answer); err != nil {
		return nil, fmt.Errorf("%w: read: %w", ErrNoAnswer, errors.Join(writeErr, err))
	}
	n.recorder.Observe(answer.Stamp)
	if answer.Fault != nil {
		return nil, answer.Fault
	}
	return answer.Body, nil
}

func readMessage(reader io.Reader, into any) error {
	data, err := io.ReadAll(io.LimitReader(reader, MaxMessageBytes+1))
	if err != nil {
		return err
	}
	if len(data) > MaxMessageBytes {
		return ErrTooLarge
	}
	receivedBytes.Add(len(data))
	return codec.Unmarshal(data, into)
}

// acceptConnections accepts connections until the node is closed.
func (n *Node) acceptConnections() {
	for {
		connection, err := n.listener.Accept(context.Background())
		if err != nil {
			return
		}
		go n.acceptStreams(connection)
	}
}

func (n *Node) acceptStreams(connection *quic.Conn) {
	peer := Peer{Address: connection.RemoteAddr().String()}
	if chain := connection.ConnectionState().TLS.PeerCertificates; len(chain) > 0 {
		peer.ID = chain[0].Subject.CommonName
	}
	go n.acceptMessages(connection, peer)
	for {
		stream, err := connection.AcceptStream(connection.Context())
		if err != nil {
			return
		}
		go n.serveStream(stream, peer)
	}
}

// requestTimeout bounds the time to read a request from an open stream.
const requestTimeout = 10 * time.Second

func (n *Node) serveStream(stream *quic.Stream, peer Peer) {
	defer stream.Close()
	// SetReadDeadline cannot fail on an open stream.
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	whole, release, err := n.large.admit(stream)
	var busy *Fault
	if errors.As(err, &busy) {
		n.answer(stream, peer, "", response{Fault: busy})
		stream.CancelRead(abortedCode)
		return
	}
	if err != nil {
		stream.CancelWrite(abortedCode)
		return
	}
	defer release()
	var req request
	if err := readMessage(whole, &req); err != nil {
		stream.CancelWrite(abortedCode)
		return
	}
	callsServed.Inc()
	n.recorder.Observe(req.Stamp)
	n.answer(stream, peer, req.Kind, n.handleRequest(stream.Context(), peer, req))
}

// answer sends the response to a call.
func (n *Node) answer(stream *quic.Stream, peer Peer, kind Kind, r response) {
	r.Stamp = n.recorder.Now()
	message, err := codec.Marshal(r)
	if err != nil {
		n.log.Error("link answer not encoded", "kind", kind, logging.Err(err))
		stream.CancelWrite(abortedCode)
		return
	}
	sentBytes.Add(len(message))
	if _, err := stream.Write(message); err != nil {
		n.log.Debug("link answer not sent", "kind", kind, "peer", peer.ID, logging.Err(err))
	}
}

// requestStream is the receiving side of a stream.
type requestStream interface {
	io.Reader
	SetReadDeadline(time.Time) error
}

// readRequest reads the request on a stream within requestTimeout.
func readRequest(stream requestStream) (request, error) {
	// SetReadDeadline cannot fail on an open stream.
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	var req request
	err := readMessage(stream, &req)
	return req, err
}

// handleRequest calls the handler of a request and returns its response.
func (n *Node) handleRequest(ctx context.Context, peer Peer, req request) response {
	n.mu.Lock()
	handler := n.handlers[req.Kind]
	n.mu.Unlock()
	if handler == nil {
		return response{Fault: &Fault{Code: CodeUnknownKind, Message: string(req.Kind)}}
	}
	value, err := handler(ctx, peer, req.Body)
	if err != nil {
		var fault *Fault
		if errors.As(err, &fault) {
			return response{Fault: fault}
		}
		return response{Fault: &Fault{Code: CodeInternal, Message: err.Error()}}
	}
	body, err := codec.Marshal(value)
	if err != nil {
		return response{Fault: &Fault{Code: CodeInternal, Message: err.Error()}}
	}
	return response{Body: body}
}
