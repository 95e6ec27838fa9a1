package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
)

// Limits of a claim.
const (
	// Retention is the time for which a claim and its answer are kept.
	Retention = 24 * time.Hour
	// RefusalRetention is the time, after Retention, for which a key without a
	// timestamp is refused as Expired. A key with a timestamp is refused
	// indefinitely.
	RefusalRetention = 7 * 24 * time.Hour
	// MaxKeySkew is how far a key's timestamp may be ahead of control's clock.
	MaxKeySkew = 10 * time.Minute
	// MaxKeyBytes bounds the length of a caller's key.
	MaxKeyBytes = 256
	// MaxAnswerBytes bounds the header and body of a recorded answer. A larger
	// answer is not recorded, and the key's state is then Unknown.
	MaxAnswerBytes = 64 << 10
)

// ScopedKey returns a hash of the caller's key and its scope.
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

// KeyTimeMS returns the timestamp of a key in Unix milliseconds, or 0 if it has
// none. Keys in the form of a version 7 UUID (RFC 9562) have a timestamp.
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

// Size returns the size of the answer's header and body in bytes.
func (a *Answer) Size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}
