package keys

import (
	"testing"
	"time"
)

// BenchmarkCheckToken measures the check of a token that is presented
// repeatedly, as the tokens of targets are, with and without the cache of
// verified tokens.
func BenchmarkCheckToken(b *testing.B) {
	dir := b.TempDir()
	if err := Init(dir); err != nil {
		b.Fatal(err)
	}
	token, err := IssueToken(dir, Claims{Role: Target, Subject: "p", Expires: time.Now().Add(time.Hour).Unix()})
	if err != nil {
		b.Fatal(err)
	}
	ring, err := LoadCA(dir)
	if err != nil {
		b.Fatal(err)
	}
	check := func(b *testing.B) {
		if _, err := ring.CheckToken(token, time.Now()); err != nil {
			b.Fatal(err)
		}
	}
	b.Run("known", func(b *testing.B) {
		for b.Loop() {
			check(b)
		}
	})
	b.Run("signature", func(b *testing.B) {
		for b.Loop() {
			ring.current.Load().verified.Clear()
			check(b)
		}
	})
}
