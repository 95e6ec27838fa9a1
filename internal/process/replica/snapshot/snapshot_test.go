package snapshot

import (
	"bytes"
	"errors"
	"testing"

	"arbutusward.example/arbutusward/internal/process/replica/core"
)

func sample(t testing.TB, size int) []byte {
	t.Helper()
	data, err := Encode(&Snapshot{Meta: core.SnapshotMeta{Last: core.Position{Index: 9, Term: 2}}, Data: bytes.Repeat([]byte("x"), size)})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestSaveLoadAndDamage(t *testing.T) {
	dir := t.TempDir()
	if _, err := Load(dir); !errors.Is(err, ErrNoSnapshot) {
		t.Errorf("empty directory: %v", err)
	}
	data := sample(t, 1000)
	if err := Save(dir, data); err != nil {
		t.Fatal(err)
	}
	if s, err := Load(dir); err != nil || s.Meta.Last.Index != 9 || len(s.Data) != 1000 {
		t.Errorf("load: %v", err)
	}
	for at := range data {
		damaged := bytes.Clone(data)
		damaged[at] ^= 1
		if _, err := Decode(damaged); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("byte %d: %v", at, err)
		}
	}
}

func TestChunksOfTwoTransfersDoNotMix(t *testing.T) {
	data := sample(t, 3*ChunkBytes)
	var a Assembler
	old, next := Split(1, data), Split(2, data)
	if _, _, err := a.Add(&old[0]); err != nil {
		t.Fatal(err)
	}
	if _, _, err := a.Add(&next[1]); !errors.Is(err, ErrOutOfOrder) {
		t.Errorf("a chunk of another transfer: %v", err)
	}
	for i := range next {
		s, _, err := a.Add(&next[i])
		if err != nil || (s != nil) != (i == len(next)-1) {
			t.Errorf("chunk %d: %v, whole %v", i, err, s != nil)
		}
	}
}

// FuzzDecode checks that no bytes make Decode panic.
func FuzzDecode(f *testing.F) {
	f.Add(sample(f, 10))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Decode(data); err == nil && s == nil {
			t.Error("neither a snapshot nor an error")
		}
	})
}
