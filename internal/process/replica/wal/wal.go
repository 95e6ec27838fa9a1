package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/replica/datadir"
)

// FileName is the name of the log file in the data directory.
const FileName = "replica.log"

// Contents is the content of a log.
type Contents struct {
	Base    core.Position
	State   core.HardState
	Entries []core.Entry
	// TornBytes is the size of the torn tail.
	TornBytes int
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	dir   string
	file  *os.File
	size  int64
	state core.HardState
	// syncTime is the time that the last sync of an Append took.
	syncTime time.Duration
}

// Open reads the log in the directory, truncates a torn tail, and opens the
// log for appending. A missing file is an empty log.
func Open(dir string) (*Log, *Contents, error) {
	path := filepath.Join(dir, FileName)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, logging.Wrap(err, "read log", path)
	}
	contents, size, err := Decode(data)
	if err != nil {
		return nil, nil, logging.Wrap(err, "read log", path)
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, logging.Wrap(err, "open log", path)
	}
	l := &Log{dir: dir, file: file, size: int64(size), state: contents.State}
	if err := l.truncateTail(); err != nil {
		return nil, nil, logging.Wrap(errors.Join(err, file.Close()), "truncate the torn tail", path)
	}
	return l, contents, nil
}

// truncateTail truncates the file after its last complete frame and syncs it,
// so that no remains of an old frame can follow a new one.
func (l *Log) truncateTail() error {
	if err := l.file.Truncate(l.size); err != nil {
		return err
	}
	if _, err := l.file.Seek(l.size, 0); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	return datadir.Sync(l.dir)
}

// Decode decodes the frames of a log. It returns the size of the complete
// frames.
func Decode(data []byte) (*Contents, int, error) {
	contents := &Contents{}
	offset := 0
	for offset < len(data) {
		frame, size, err := decodeFrame(data[offset:])
		if errors.Is(err, ErrUnreadable) {
			return nil, 0, fmt.Errorf("%w: byte %d", err, offset)
		}
		if err != nil {
			if containsFrame(data[offset+1:]) {
				return nil, 0, fmt.Errorf("%w: byte %d", ErrCorrupt, offset)
			}
			contents.TornBytes = len(data) - offset
			return contents, offset, nil
		}
		if frame.Base != nil && offset > 0 {
			// Only the first frame of a rewritten log has a base.
			return nil, 0, fmt.Errorf("%w: a second base at byte %d", ErrCorrupt, offset)
		}
		if err := contents.add(frame); err != nil {
			return nil, 0, fmt.Errorf("%w: byte %d", err, offset)
		}
		offset += size
	}
	return contents, offset, nil
}

// add applies one frame to the contents.
func (c *Contents) add(frame *Frame) error {
	if frame.Base != nil {
		c.Base = *frame.Base
		c.Entries = nil
	}
	if frame.State != nil {
		c.State = *frame.State
	}
	for _, entry := range frame.Entries {
		next := c.Base.Index + uint64(len(c.Entries)) + 1
		if entry.Index <= c.Base.Index || entry.Index > next {
			return ErrGap
		}
		c.Entries = append(c.Entries[:entry.Index-c.Base.Index-1], entry)
	}
	return nil
}

// Append writes and syncs a frame, or several one after the other if there are many entries.
func (l *Log) Append(frame *Frame) error {
	l.syncTime = 0
	for _, part := range frame.split() {
		if err := l.appendFrame(part); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) appendFrame(frame *Frame) error {
	data, err := encodeFrame(frame)
	if err != nil {
		return err
	}
	if _, err := l.file.Write(data); err != nil {
		return logging.Wrap(err, "write log", l.file.Name())
	}
	start := time.Now()
	// Votes and acknowledgements must not be sent before this sync.
	if err := l.file.Sync(); err != nil {
		return logging.Wrap(err, "sync log", l.file.Name())
	}
	l.syncTime += time.Since(start)
	l.size += int64(len(data))
	if frame.State != nil {
		l.state = *frame.State
	}
	return nil
}

// Rewrite replaces the log with one that starts after base. A snapshot that
// covers base must have been synced before.
func (l *Log) Rewrite(base core.Position, entries []core.Entry) error {
	state := l.state
	whole := &Frame{Base: &base, State: &state, Entries: entries}
	var data []byte
	for _, part := range whole.split() {
		encoded, err := encodeFrame(part)
		if err != nil {
			return err
		}
		data = append(data, encoded...)
	}
	path := filepath.Join(l.dir, FileName)
	if err := datadir.Replace(path, data); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return logging.Wrap(err, "open log", path)
	}
	previous := l.file
	l.file = file
	l.size = int64(len(data))
	return previous.Close()
}

// Bytes returns the size of the file.
func (l *Log) Bytes() int64 { return l.size }

// SyncTime returns the part of the last Append that the sync took.
func (l *Log) SyncTime() time.Duration { return l.syncTime }

// Close closes the file.
func (l *Log) Close() error { return l.file.Close() }
