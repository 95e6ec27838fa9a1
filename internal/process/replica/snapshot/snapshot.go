package snapshot

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"arbutusward.example/arbutusward/internal/codec"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/replica/datadir"
)

// FileName is the name of the snapshot file in the data directory.
const FileName = "replica.snapshot"

// headerBytes is the size of the magic and the checksum.
const headerBytes = 8

var (
	magic      = []byte("AWS1")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Snapshot is the state of the state machine after the entry Meta.Last.
type Snapshot struct {
	Meta core.SnapshotMeta `cbor:"1,keyasint"`
	Data []byte            `cbor:"2,keyasint"`
}

// Encode returns the content of the snapshot file.
func Encode(s *Snapshot) ([]byte, error) {
	body, err := codec.MarshalStored(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	out := make([]byte, headerBytes, headerBytes+len(body))
	copy(out, magic)
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(body, castagnoli))
	return append(out, body...), nil
}

// Decode verifies and decodes the content of a snapshot file.
func Decode(data []byte) (*Snapshot, error) {
	if len(data) < headerBytes || !bytes.Equal(data[:4], magic) {
		return nil, ErrCorrupt
	}
	body := data[headerBytes:]
	if binary.LittleEndian.Uint32(data[4:]) != crc32.Checksum(body, castagnoli) {
		return nil, ErrCorrupt
	}
	var s Snapshot
	if err := codec.UnmarshalStored(body, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return &s, nil
}

// Save replaces the snapshot in the directory. The snapshot is synced when
// Save returns; the log entries that it covers may be dropped only then.
func Save(dir string, encoded []byte) error {
	return datadir.Replace(filepath.Join(dir, FileName), encoded)
}

// Read returns the encoded snapshot in the directory, or ErrNoSnapshot.
func Read(dir string) ([]byte, error) {
	path := filepath.Join(dir, FileName)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, ErrNoSnapshot
	}
	return data, logging.Wrap(err, "read snapshot", path)
}

// Load returns the snapshot in the directory, or ErrNoSnapshot.
func Load(dir string) (*Snapshot, error) {
	data, err := Read(dir)
	if err != nil {
		return nil, err
	}
	s, err := Decode(data)
	return s, logging.Wrap(err, "decode snapshot", dir)
}
