package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"arbutusward.example/arbutusward/internal/process/replica/core"
)

func open(t testing.TB, dir string) (*Log, *Contents) {
	t.Helper()
	log, contents, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	return log, contents
}

func appendEntries(t testing.TB, log *Log, entries ...core.Entry) {
	t.Helper()
	if err := log.Append(&Frame{Entries: entries}); err != nil {
		t.Fatal(err)
	}
}

func entry(index, term uint64) core.Entry {
	return core.Entry{Index: index, Term: term, Data: bytes.Repeat([]byte{byte(index)}, 50)}
}

// threeFrames writes a log of three frames and returns its directory and
// bytes.
func threeFrames(t testing.TB) (dir string, data []byte) {
	t.Helper()
	dir = t.TempDir()
	log, _ := open(t, dir)
	if err := log.Append(&Frame{State: &core.HardState{Term: 3, Vote: "b"}}); err != nil {
		t.Fatal(err)
	}
	appendEntries(t, log, entry(1, 1), entry(2, 1))
	appendEntries(t, log, entry(2, 2), entry(3, 2))
	data, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	return dir, data
}

func TestLaterEntriesReplaceEarlier(t *testing.T) {
	dir, _ := threeFrames(t)
	_, contents := open(t, dir)
	if len(contents.Entries) != 3 || contents.Entries[1].Term != 2 || contents.State.Vote != "b" {
		t.Errorf("contents %+v", contents)
	}
}

// TestTornTailIsCut truncates the last frame at each of its bytes.
func TestTornTailIsCut(t *testing.T) {
	dir, data := threeFrames(t)
	_, second, err := Decode(data[:len(data)-1])
	if err != nil {
		t.Fatal(err)
	}
	for size := second + 1; size < len(data); size++ {
		if err := os.WriteFile(filepath.Join(dir, FileName), data[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		log, contents, err := Open(dir)
		if err != nil || len(contents.Entries) != 2 || contents.TornBytes != size-second {
			t.Fatalf("truncated at %d of %d: %v, %+v", size, len(data), err, contents)
		}
		appendEntries(t, log, entry(3, 3))
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		_, again := open(t, dir)
		if len(again.Entries) != 3 {
			t.Fatalf("truncated at %d: %d entries after an append", size, len(again.Entries))
		}
	}
}

// TestDamageBeforeTheEndIsRefused flips a bit of each byte before the last
// frame.
func TestDamageBeforeTheEndIsRefused(t *testing.T) {
	_, data := threeFrames(t)
	_, last, err := Decode(data[:len(data)-1])
	if err != nil {
		t.Fatal(err)
	}
	for at := range last {
		damaged := bytes.Clone(data)
		damaged[at] ^= 0x10
		if _, _, err := Decode(damaged); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("byte %d: error %v", at, err)
		}
	}
}

func TestRewriteKeepsStateAndTail(t *testing.T) {
	dir, _ := threeFrames(t)
	log, _ := open(t, dir)
	if err := log.Rewrite(core.Position{Index: 2, Term: 2}, []core.Entry{entry(3, 2)}); err != nil {
		t.Fatal(err)
	}
	appendEntries(t, log, entry(4, 3))
	_, contents := open(t, dir)
	if contents.Base.Index != 2 || len(contents.Entries) != 2 || contents.State != (core.HardState{Term: 3, Vote: "b"}) {
		t.Errorf("contents %+v", contents)
	}
}

// smallEntries returns more entries than the default decoder of the CBOR library reads in one list.
func smallEntries() []core.Entry {
	entries := make([]core.Entry, 140_000)
	for i := range entries {
		entries[i] = core.Entry{Index: uint64(i) + 1, Term: 1, Data: []byte{byte(i)}}
	}
	return entries
}

// TestLogOfManySmallEntriesIsRead guards against a log that can be written and not read again, or whose last frame is cut off with the term and the vote.
func TestLogOfManySmallEntriesIsRead(t *testing.T) {
	entries, state := smallEntries(), core.HardState{Term: 3, Vote: "b"}
	for name, write := range map[string]func(*Log) error{
		"rewritten": func(l *Log) error {
			if err := l.Append(&Frame{State: &state}); err != nil {
				return err
			}
			return l.Rewrite(core.Position{}, entries)
		},
		"appended": func(l *Log) error { return l.Append(&Frame{State: &state, Entries: entries}) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			log, _ := open(t, dir)
			if err := write(log); err != nil {
				t.Fatal(err)
			}
			for range 2 {
				reopened, contents := open(t, dir)
				if len(contents.Entries) != len(entries) || contents.State != state || contents.TornBytes != 0 {
					t.Fatalf("%d entries, state %+v, %d torn bytes", len(contents.Entries), contents.State, contents.TornBytes)
				}
				next := core.Entry{Index: uint64(len(entries)) + 1, Term: 3}
				appendEntries(t, reopened, next)
				entries = append(entries[:len(entries):len(entries)], next)
			}
			entries = smallEntries()
		})
	}
}

// TestLogOfAFormerVersionIsRead guards against an upgraded process that does not start, since its log has all entries in one frame.
func TestLogOfAFormerVersionIsRead(t *testing.T) {
	data, err := encodeFrame(&Frame{Base: &core.Position{}, Entries: smallEntries()})
	if err != nil {
		t.Fatal(err)
	}
	contents, size, err := Decode(data)
	if err != nil || size != len(data) || len(contents.Entries) != len(smallEntries()) {
		t.Errorf("%d of %d bytes are read: %v", size, len(data), err)
	}
}

// TestUndecodableFrameIsNoTornTail guards against synced entries, the term and the vote that are cut off since this version can't decode them.
func TestUndecodableFrameIsNoTornTail(t *testing.T) {
	_, data := threeFrames(t)
	payload := []byte{0xff}
	frame := make([]byte, headerBytes)
	copy(frame, magic[:])
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[8:], checksum(frame[4:8], payload))
	if _, _, err := Decode(append(data, append(frame, payload...)...)); !errors.Is(err, ErrUnreadable) {
		t.Errorf("error %v", err)
	}
}

// FuzzDecode checks that Decode neither panics nor returns entries with a
// gap.
func FuzzDecode(f *testing.F) {
	_, data := threeFrames(f)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		contents, size, err := Decode(data)
		if err != nil {
			return
		}
		if size+contents.TornBytes != len(data) {
			t.Errorf("%d complete bytes and %d torn bytes of %d", size, contents.TornBytes, len(data))
		}
		for i, e := range contents.Entries {
			if e.Index != contents.Base.Index+uint64(i)+1 {
				t.Errorf("entry %d at position %d after base %d", e.Index, i, contents.Base.Index)
			}
		}
	})
}
