package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
)

// Bounds of a claim.
const (
	// Retention is the time for which a claim and its answer are kept.
	Retention = 24 * time.Hour
	// RefusalRetention is the time for which a key that bears no time is
	// refused as Expired after Retention. A key that bears its time is
	// refused for ever.
	RefusalRetention = 7 * 24 * time.Hour
	// MaxKeySkew is how far the time in a key may be ahead of control.
	MaxKeySkew = 10 * time.Minute
	// MaxKeyBytes bounds a caller's key.
	MaxKeyBytes = 256
	// MaxAnswerBytes bounds the header and body of a recorded answer. The
	// outcome of a larger one is Unknown to a repeat.
	MaxAnswerBytes = 64 << 10
)

// ScopedKey returns the digest that identifies the caller's key.
func ScopedKey(r Request) string {
	hash := sha256.New()
	for _, part := range []string{r.Service, r.Caller, r.Key} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	return base64.RawURLEncoding.EncodeToString(hash.Sum(nil))
}

// KeyTimeMS returns the time that a key bears, in Unix milliseconds, or 0
// if it bears none. Keys in the form of UUID version 7 (RFC 9562) bear one.
func KeyTimeMS(key string) int64 {
	const textLength, versionAt, timeBytes = 36, 14, 6
	if len(key) != textLength || key[versionAt] != '7' {
		return 0
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 {
		return 0
	}
	var padded [8]byte
	copy(padded[2:], raw[:timeBytes])
	return int64(binary.BigEndian.Uint64(padded[:]))
}

// Size returns the bytes that recording the answer takes.
func (a *Answer) Size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
