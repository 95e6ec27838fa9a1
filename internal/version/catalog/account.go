package catalog

import (
	"crypto/sha256"
	"fmt"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are kept nowhere but in
// the source of the catalog.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MaxKeyBytes bounds the length of an API key.
const MaxKeyBytes = 256

// emptyKey is the digest of the empty string, which is no API key.
var emptyKey = DigestKey("")

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

// ShareWeight returns the weight of an account in a fair share, which is 1 for jobs without
// an account and for accounts without a weight.
func (a *Account) ShareWeight() float64 {
	if a != nil && a.Weight > 0 {
		return a.Weight
	}
	return 1
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

// validateAccounts returns an error unless the accounts have names and keys of their
// own. Errors contain no digest, since a short key can be found from it.
func (c *Catalog) validateAccounts() error {
	names, owners := map[string]bool{}, map[KeyDigest]string{}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		if names[a.Name] {
			return fmt.Errorf("%w: account %q is listed twice", ErrInvalid, a.Name)
		}
		names[a.Name] = true
		if err := a.validate(); err != nil {
			return err
		}
		for _, key := range a.Keys {
			if owner, taken := owners[key]; taken && owner != a.Name {
				return fmt.Errorf("%w: accounts %q and %q share a key", ErrInvalid, owner, a.Name)
			}
			owners[key] = a.Name
		}
	}
	return nil
}

func (a *Account) validate() error {
	if a.Name == "" {
		return fmt.Errorf("%w: an account has no name", ErrInvalid)
	}
	if a.Weight < 0 {
		return fmt.Errorf("%w: account %q has the weight %v", ErrInvalid, a.Name, a.Weight)
	}
	if a.Limit.MilliCPU < 0 || a.Limit.MemoryMB < 0 || a.Limit.GPU < 0 {
		return fmt.Errorf("%w: account %q has the limit %+v", ErrInvalid, a.Name, a.Limit)
	}
	for _, key := range a.Keys {
		if key == emptyKey {
			return fmt.Errorf("%w: account %q has an empty key", ErrInvalid, a.Name)
		}
	}
	return nil
}
