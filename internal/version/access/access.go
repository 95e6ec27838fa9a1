package access

import (
	"crypto/subtle"

	"arbutusward.example/arbutusward/internal/version/catalog"
)

// Reason tells why a call is refused.
type Reason uint8

// Reasons of a refusal. Allowed means that the call is not refused.
const (
	Allowed Reason = iota
	// UnknownKey means that the key is not in the catalog.
	UnknownKey
	// KeyMissing means that the call has no key, but its queue or job needs one.
	KeyMissing
	// UnknownQueue means that no queue matches the location.
	UnknownQueue
	// OtherAccount means that the job belongs to another account than the key.
	OtherAccount
)

// String returns the reason as it stands in log lines and metrics.
func (r Reason) String() string {
	switch r {
	case Allowed:
		return "allowed"
	case UnknownKey:
		return "unknown_key"
	case KeyMissing:
		return "key_missing"
	case UnknownQueue:
		return "unknown_queue"
	case OtherAccount:
		return "other_account"
	}
	return "unknown"
}

// Index finds the owner of a key in one catalog, which must not change while the index
// is used.
type Index struct {
	catalog *catalog.Catalog
	owners  map[catalog.KeyDigest]owner
}

type owner struct {
	digest  catalog.KeyDigest
	account *catalog.Account
}

// NewIndex returns the index of a catalog.
func NewIndex(c *catalog.Catalog) *Index {
	x := &Index{catalog: c, owners: map[catalog.KeyDigest]owner{}}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			x.owners[key] = owner{digest: key, account: &c.Accounts[i]}
		}
	}
	return x
}

// On reports whether the catalog has access control. Without it every call is allowed.
func (x *Index) On() bool { return x.catalog.AccessControl }

// Decision is the outcome for a call to a queue.
type Decision struct {
	Reason Reason
	// Queue is nil if no queue matches; Rest is the path after its prefix.
	Queue *catalog.Queue
	Rest  string
	// Account is nil if the call has no key, or without access control.
	Account *catalog.Account
}

// Queue decides about a call to the queue at a location, such as the submission of a
// job that is not known yet. The key is nil if the call has none.
func (x *Index) Queue(host, path string, key *catalog.KeyDigest) Decision {
	var d Decision
	d.Queue, d.Rest = x.catalog.Match(host, path)
	d.Account, d.Reason = x.identify(key)
	if d.Reason != Allowed {
		return d
	}
	if d.Queue == nil {
		d.Reason = UnknownQueue
		return d
	}
	d.Reason = x.anonymous(d.Queue, key)
	return d
}

// Job decides about a call for a job with the given account, which is "" for a job
// that was submitted without a key. The queue is that of the job, or nil if nothing is
// known of it.
func (x *Index) Job(account string, queue *catalog.Queue, key *catalog.KeyDigest) Reason {
	if !x.On() {
		return Allowed
	}
	caller, reason := x.identify(key)
	switch {
	case reason != Allowed:
		return reason
	case caller != nil && account != "" && caller.Name != account:
		return OtherAccount
	case caller != nil:
		return Allowed
	case account != "":
		return KeyMissing
	case queue == nil:
		return UnknownQueue
	}
	return x.anonymous(queue, key)
}

// UnknownJob decides about a call for a job that is not known, at a location.
func (x *Index) UnknownJob(host, path string, key *catalog.KeyDigest) Reason {
	reason := x.Queue(host, path, key).Reason
	if reason == UnknownQueue && (!x.On() || key != nil) {
		return Allowed
	}
	return reason
}

// identify returns the account of a key, which is nil for a call without a key.
func (x *Index) identify(key *catalog.KeyDigest) (*catalog.Account, Reason) {
	if !x.On() || key == nil {
		return nil, Allowed
	}
	found, known := x.owners[*key]
	if !known || subtle.ConstantTimeCompare(found.digest[:], key[:]) != 1 {
		return nil, UnknownKey
	}
	return found.account, Allowed
}

// anonymous decides whether the queue may be called without a key if there is none.
func (x *Index) anonymous(queue *catalog.Queue, key *catalog.KeyDigest) Reason {
	if x.On() && key == nil && !queue.Anonymous {
		return KeyMissing
	}
	return Allowed
}
