package wal

import (
	"bytes"
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
