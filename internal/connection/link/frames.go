package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"arbutusward.example/arbutusward/internal/process/logging"
)

const (
	// frameHeaderBytes is the size of the length, in big-endian order, that
	// precedes each message on a stream of several.
	frameHeaderBytes = 4
	// maxSharedBytes is the size of the largest frame on a shared stream. A
	// larger one gets a stream of its own, so that it does not hold up others.
	maxSharedBytes = 32 << 10
	// frameBufferBytes is the size of the read buffer of a stream.
	frameBufferBytes = 16 << 10
)

// messageStream is the stream for the messages without an answer to one peer.
// Opening a stream for each would cost more than the message itself.
type messageStream struct {
	// idle holds a token while no message is being written. Unlike a mutex, it
	// can be awaited until a context ends.
	idle chan struct{}
	// stream is nil before the first message, and after a failed write, which
	// may have left a part of a frame.
	stream *quic.SendStream
}

func newMessageStream() messageStream {
	s := messageStream{idle: make(chan struct{}, 1)}
	s.idle <- struct{}{}
	return s
}

// send writes one frame after the earlier ones.
func (s *messageStream) send(ctx context.Context, connection *quic.Conn, framed []byte) error {
	select {
	case <-s.idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { s.idle <- struct{}{} }()
	if s.stream == nil {
		stream, err := connection.OpenUniStreamSync(ctx)
		if err != nil {
			return fmt.Errorf("open stream: %w", err)
		}
		s.stream = stream
	}
	deadline, _ := ctx.Deadline()
	// SetWriteDeadline cannot fail on an open stream.
	_ = s.stream.SetWriteDeadline(deadline)
	_, err := s.stream.Write(framed)
	if err == nil {
		return nil
	}
	// The peer drops the part of this frame at the end of the stream. Cancelling
	// the stream would lose earlier frames too.
	closeErr := s.stream.Close()
	s.stream = nil
	return fmt.Errorf("%w: write: %w", ErrNoAnswer, errors.Join(err, closeErr))
}

// frame returns a message with its length before it.
func frame(message []byte) []byte {
	framed := make([]byte, 0, frameHeaderBytes+len(message))
	framed = binary.BigEndian.AppendUint32(framed, uint32(len(message)))
	return append(framed, message...)
}

// receiveFrames receives the messages on a stream in order, until it ends.
func (n *Node) receiveFrames(ctx context.Context, stream *quic.ReceiveStream, peer Peer) {
	reader := bufio.NewReaderSize(stream, frameBufferBytes)
	var buffer []byte
	for {
		req, err := readFrame(stream, reader, &buffer)
		if err != nil {
			if !errors.Is(err, io.EOF) && ctx.Err() == nil {
				n.log.Debug("link message not read", "peer", peer.ID, logging.Err(err))
			}
			stream.CancelRead(abortedCode)
			return
		}
		n.handleMessage(ctx, peer, req)
	}
}

// readFrame reads the next message on a stream into the buffer and decodes it.
// The time to read it counts from its length on.
func readFrame(stream *quic.ReceiveStream, reader *bufio.Reader, buffer *[]byte) (request, error) {
	var req request
	var header [frameHeaderBytes]byte
	// SetReadDeadline cannot fail on an open stream.
	_ = stream.SetReadDeadline(time.Time{})
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return req, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > MaxMessageBytes {
		return req, ErrTooLarge
	}
	if cap(*buffer) < size {
		*buffer = make([]byte, size)
	}
	data := (*buffer)[:size]
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	if _, err := io.ReadFull(reader, data); err != nil {
		return req, err
	}
	receivedBytes.Add(size)
	return req, cbor.Unmarshal(data, &req)
}
