package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/process/replica/core"
)

// MaxFrameBytes limits the payload of one frame.
const MaxFrameBytes = 64 << 20

// headerBytes is the size of a frame's magic, length and checksum.
const headerBytes = 12

var (
	magic      = [4]byte{'A', 'W', 'L', '1'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	// errBadFrame is returned for data that does not start with a complete,
	// undamaged frame.
	errBadFrame = errors.New("no whole frame")
)

// Frame is the data that one sync makes durable.
type Frame struct {
	// Base starts the log after this position. Only the first frame of a
	// rewritten log has it.
	Base *core.Position `cbor:"1,keyasint,omitempty"`
	// State replaces the hard state.
	State *core.HardState `cbor:"2,keyasint,omitempty"`
	// Entries are appended. An entry replaces an earlier entry of the same
	// index and all entries after it.
	Entries []core.Entry `cbor:"3,keyasint,omitempty"`
}

// encodeFrame returns the encoded frame with its header.
func encodeFrame(frame *Frame) ([]byte, error) {
	payload, err := cbor.Marshal(frame)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(payload) > MaxFrameBytes {
		return nil, ErrTooLarge
	}
	out := make([]byte, headerBytes, headerBytes+len(payload))
	copy(out, magic[:])
	binary.LittleEndian.PutUint32(out[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[8:], checksum(out[4:8], payload))
	return append(out, payload...), nil
}

// checksum returns the checksum of the length and the payload.
func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// decodeFrame decodes the frame at the start of data and returns its size.
func decodeFrame(data []byte) (*Frame, int, error) {
	payload, err := framePayload(data)
	if err != nil {
		return nil, 0, err
	}
	var frame Frame
	if err := cbor.Unmarshal(payload, &frame); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", errBadFrame, err)
	}
	return &frame, headerBytes + len(payload), nil
}

// framePayload checks a frame's header and checksum and returns the payload.
func framePayload(data []byte) ([]byte, error) {
	if len(data) < headerBytes || !bytes.Equal(data[:4], magic[:]) {
		return nil, errBadFrame
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > MaxFrameBytes || length > len(data)-headerBytes {
		return nil, errBadFrame
	}
	payload := data[headerBytes : headerBytes+length]
	if binary.LittleEndian.Uint32(data[8:]) != checksum(data[4:8], payload) {
		return nil, errBadFrame
	}
	return payload, nil
}

// containsFrame reports whether a complete frame starts anywhere in data.
func containsFrame(data []byte) bool {
	for {
		at := bytes.Index(data, magic[:])
		if at < 0 {
			return false
		}
		if _, err := framePayload(data[at:]); err == nil {
			return true
		}
		data = data[at+1:]
	}
}
