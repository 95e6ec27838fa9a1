package catalog

import (
	"crypto/sha256"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are kept nowhere but in
// the source of the catalog.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account is a client account: the callers that share a set of API keys.
type Account struct {
	Name string      `cbor:"1,keyasint"`
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Priority orders accounts; 0 is the highest priority.
	Priority int `cbor:"3,keyasint,omitempty"`
	// Weight is the account's share when there is too little room, and the number of
	// jobs a second that it is owed.
	Weight float64 `cbor:"4,keyasint,omitempty"`
	// Limit bounds what the account has executing over all workers; a figure of 0
	// means no limit.
	Limit workload.Resources `cbor:"5,keyasint"`
}

// Account returns the account with the given name, or nil.
func (c *Catalog) Account(name string) *Account {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i]
		}
	}
	return nil
}
