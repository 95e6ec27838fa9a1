package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"arbutusward.example/arbutusward/internal/codec"
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

// frameWriter writes frames to a stream that they share.
type frameWriter struct {
	connection *quic.Conn
	// stream is nil before the first frame, and after a failed write, which may have
	// left a part of a frame.
	stream *quic.SendStream
}

// write writes frames after the earlier ones, within a time.
func (w *frameWriter) write(frames []byte, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	if w.stream == nil {
		ctx, cancel := context.WithDeadline(w.connection.Context(), deadline)
		defer cancel()
		stream, err := w.connection.OpenUniStreamSync(ctx)
		if err != nil {
			return fmt.Errorf("open stream: %w", err)
		}
		w.stream = stream
	}
	// SetWriteDeadline cannot fail on an open stream.
	_ = w.stream.SetWriteDeadline(deadline)
	_, err := w.stream.Write(frames)
	if err == nil {
		return nil
	}
	// The peer drops the part of a frame at the end of the stream. Cancelling the
	// stream would lose earlier frames too.
	closeErr := w.stream.Close()
	w.stream = nil
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
	return req, codec.Unmarshal(data, &req)
}
