package codec

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestMessageThatIsWrittenCanBeRead guards against a message that its writer accepts and its reader refuses.
func TestMessageThatIsWrittenCanBeRead(t *testing.T) {
	type message struct {
		Numbers []int        `cbor:"1,keyasint,omitempty"`
		Pairs   map[int]bool `cbor:"2,keyasint,omitempty"`
	}
	pairs := func(count int) map[int]bool {
		m := map[int]bool{}
		for i := range count {
			m[i] = true
		}
		return m
	}
	for _, c := range []struct {
		message  message
		tooLarge bool
	}{
		{message{Numbers: make([]int, MaxElements)}, false},
		{message{Numbers: make([]int, MaxElements+1)}, true},
		{message{Pairs: pairs(MaxElements)}, false},
		{message{Pairs: pairs(MaxElements + 1)}, true},
	} {
		encoded, err := Marshal(&c.message)
		if errors.Is(err, ErrTooLarge) != c.tooLarge {
			t.Errorf("%d numbers, %d pairs: %v", len(c.message.Numbers), len(c.message.Pairs), err)
		}
		var read message
		if err == nil && Unmarshal(encoded, &read) != nil {
			t.Errorf("%d numbers, %d pairs can be written and not read", len(c.message.Numbers), len(c.message.Pairs))
		}
		kept, err := MarshalStored(&c.message)
		if err != nil || UnmarshalStored(kept, &read) != nil || len(read.Numbers) != len(c.message.Numbers) {
			t.Errorf("%d numbers, %d pairs can be stored and not read: %v", len(c.message.Numbers), len(c.message.Pairs), err)
		}
		if c.tooLarge && Unmarshal(kept, &read) == nil {
			t.Errorf("%d numbers, %d pairs can be read and not written", len(c.message.Numbers), len(c.message.Pairs))
		}
	}
}

// TestOnlyThisPackageHasDecoders guards against a reader with another limit than its writer.
func TestOnlyThisPackageHasDecoders(t *testing.T) {
	decoder := regexp.MustCompile(`cbor\.(Unmarshal\(|NewDecoder|DecOptions)`)
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (entry.Name() == "review" || entry.Name() == "codec"):
			return fs.SkipDir
		case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		source, err := os.ReadFile(path)
		if decoder.Match(source) {
			t.Errorf("%s decodes without package codec", path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
