package link

import (
	"context"
	"fmt"

	"github.com/quic-go/quic-go"

	"arbutusward.example/arbutusward/internal/codec"
	"arbutusward.example/arbutusward/internal/process/logging"
)

// Send sends a message that has no answer. A nil error means only that the
// message was handed to the connection: it may be lost with it. The peer passes
// the message to the handler of its kind and drops the handler's result.
func Send[Req any](ctx context.Context, n *Node, address string, kind Kind, req Req) error {
	return logging.Wrap(n.send(ctx, address, kind, req), string(kind), address)
}

// PostUrgent is Send for messages that hold up many callers. They take those along that
// wait for the same peer. The caller does not wait until the connection has the message;
// the function gets the outcome.
func PostUrgent[Req any](ctx context.Context, n *Node, address string, kind Kind, req Req, done func(error)) {
	n.post(ctx, address, kind, req, urgent, func(err error) { done(logging.Wrap(err, string(kind), address)) })
}

func (n *Node) send(ctx context.Context, address string, kind Kind, req any) error {
	outcome := make(chan error, 1)
	n.post(ctx, address, kind, req, ordinary, func(err error) { outcome <- err })
	select {
	case err := <-outcome:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
	}
}

// post sends a message, or queues it for the next flush, and passes the outcome to a
// function.
func (n *Node) post(ctx context.Context, address string, kind Kind, req any, u urgency, done func(error)) {
	message, err := n.encodeRequest(kind, req)
	if err != nil {
		done(err)
		return
	}
	peer, err := n.connect(ctx, address)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		done(err)
		return
	}
	if framed, shared := peer.sharedFrame(message); shared {
		messagesSent.Inc()
		sentBytes.Add(len(message))
		peer.messages.add(framed, u, done)
		return
	}
	done(n.sendAlone(ctx, peer, message))
}

// sharedFrame returns the frame of a message, and whether it goes to the shared stream.
func (c *outgoingConn) sharedFrame(message []byte) ([]byte, bool) {
	if !sharesStream(c.protocol) {
		return nil, false
	}
	framed := frame(message)
	return framed, len(framed) <= maxSharedBytes
}

// sendAlone sends a message on a stream of its own.
func (n *Node) sendAlone(ctx context.Context, peer *outgoingConn, message []byte) error {
	if peer.protocol == callProtocol {
		_, err := n.callOn(ctx, peer.connection, message)
		return err
	}
	messagesSent.Inc()
	sentBytes.Add(len(message))
	if peer.protocol == messageProtocol {
		return writeAlone(ctx, peer.connection, message)
	}
	return writeAlone(ctx, peer.connection, frame(message))
}

// writeAlone writes a message to a new stream.
func writeAlone(ctx context.Context, connection *quic.Conn, message []byte) error {
	stream, err := connection.OpenUniStreamSync(ctx)
	if err != nil {
		return fmt.Errorf("open stream: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelWrite(abortedCode) })
	defer stop()
	if _, err := stream.Write(message); err != nil {
		return fmt.Errorf("%w: write: %w", ErrNoAnswer, err)
	}
	return stream.Close()
}

// encodeRequest encodes the request of a Call or a Send.
func (n *Node) encodeRequest(kind Kind, req any) ([]byte, error) {
	body, err := codec.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	message, err := codec.Marshal(request{Kind: kind, Stamp: n.recorder.Now(), Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	if len(message) > MaxMessageBytes {
		return nil, ErrTooLarge
	}
	return message, nil
}

// acceptMessages receives the messages that a peer sends without expecting an
// answer, until the connection ends.
func (n *Node) acceptMessages(connection *quic.Conn, peer Peer) {
	receive := n.receiveFrames
	if !sharesStream(connection.ConnectionState().TLS.NegotiatedProtocol) {
		receive = n.receiveMessage
	}
	for {
		stream, err := connection.AcceptUniStream(connection.Context())
		if err != nil {
			return
		}
		go receive(connection.Context(), stream, peer)
	}
}

// receiveMessage receives the only message on a stream.
func (n *Node) receiveMessage(ctx context.Context, stream *quic.ReceiveStream, peer Peer) {
	req, err := readRequest(stream)
	if err != nil {
		n.log.Debug("link message not read", "peer", peer.ID, logging.Err(err))
		return
	}
	n.handleMessage(ctx, peer, req)
}

// handleMessage passes a message to the handler of its kind.
func (n *Node) handleMessage(ctx context.Context, peer Peer, req request) {
	messagesReceived.Inc()
	n.recorder.Observe(req.Stamp)
	if answer := n.handleRequest(ctx, peer, req); answer.Fault != nil {
		n.log.Debug("link message refused", "kind", req.Kind, "peer", peer.ID, logging.Err(answer.Fault))
	}
}
