// Package rendezvous spreads keys over a changing set of candidates by rendezvous
// hashing: the loss of a candidate moves only its own keys.
package rendezvous

import (
	"hash/fnv"
	"io"
)

// Choose returns the candidate for a key, or "" if there are no candidates. The
// order of the candidates does not matter.
func Choose(key string, candidates []string) string {
	best, bestScore := "", uint64(0)
	for _, candidate := range candidates {
		hash := fnv.New64a()
		// Writes to a hash never fail.
		_, _ = io.WriteString(hash, candidate)
		_, _ = io.WriteString(hash, key)
		if score := mix(hash.Sum64()); best == "" || score > bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// mix spreads the bits of a hash whose inputs differ only at their end.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
