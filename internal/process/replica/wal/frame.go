package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"arbutusward.example/arbutusward/internal/codec"
	"arbutusward.example/arbutusward/internal/process/replica/core"
)

// Limits of one frame.
const (
	// MaxFrameBytes limits the payload.
	MaxFrameBytes = 64 << 20
	// maxFrameEntries and maxEntriesBytes limit the entries; a single entry may be larger.
	// More are written as several frames.
	maxFrameEntries = 65_536
	maxEntriesBytes = 16 << 20
)

// headerBytes is the size of a frame's magic, length and checksum.
const headerBytes = 12

var (
	magic      = [4]byte{'A', 'W', 'L', '1'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	// errBadFrame is returned for data that does not start with a complete,
	// undamaged frame.
	errBadFrame = errors.New("no whole frame")
)

// Frame is the data of an Append, which one sync makes durable unless there are many entries.
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
	payload, err := codec.MarshalStored(frame)
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

// split returns frames that hold the same data in order.
func (f *Frame) split() []*Frame {
	frames := []*Frame{{Base: f.Base, State: f.State}}
	last, bytes := frames[0], 0
	for i := range f.Entries {
		size := core.EntriesSize(f.Entries[i : i+1])
		if len(last.Entries) == maxFrameEntries || len(last.Entries) > 0 && bytes+size > maxEntriesBytes {
			last, bytes = &Frame{}, 0
			frames = append(frames, last)
		}
		first := i - len(last.Entries)
		last.Entries = f.Entries[first : i+1]
		bytes += size
	}
	return frames
}

// decodeFrame decodes the frame at the start of data and returns its size. The error is
// errBadFrame for a frame that is not whole, and wraps ErrUnreadable for a whole one that can't
// be decoded. Frames of former versions may hold any number of entries.
func decodeFrame(data []byte) (*Frame, int, error) {
	payload, err := framePayload(data)
	if err != nil {
		return nil, 0, err
	}
	var frame Frame
	if err := codec.UnmarshalStored(payload, &frame); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrUnreadable, err)
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
