// Package keytable keeps an entry's copy of the API keys that the leader knows, as
// digests. An entry refuses unknown keys by it before it reads a request's body. The
// copy never admits a call.
package keytable

import (
	"context"
	"crypto/subtle"
	"log/slog"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/version/catalog"
)

const (
	// maxAge is how long before a request's arrival the leader may have confirmed
	// the copy that refuses it. Operators allow a process to be 250 ms behind.
	maxAge = 200 * time.Millisecond
	// retryInterval is the time between the starts of two calls to the leader after a
	// failed one.
	retryInterval = 200 * time.Millisecond
	// callTimeout bounds one call. An election takes up to 1.2 s.
	callTimeout = 1500 * time.Millisecond
)

// Source is the leader.
type Source interface {
	Accounts(ctx context.Context, r workcall.AccountsRequest) (workcall.AccountsResponse, error)
}

// Verdict is what the table says of a key.
type Verdict uint8

// Verdicts on a key.
const (
	// PassOn means that the leader decides about the call.
	PassOn Verdict = iota + 1
	// Unknown means that the key is unknown, which the leader has confirmed.
	Unknown
	// Unconfirmed means that the key is not in the copy, and that the leader did not
	// confirm the copy.
	Unconfirmed
)

// Table keeps the copy of the keys. It is safe for concurrent use.
type Table struct {
	source Source
	log    *slog.Logger

	mu sync.Mutex
	// known is nil until a copy is loaded. Outdated is set if the leader has refused a
	// key that the copy passes on.
	known    *keys
	outdated bool
	// confirmedAt is the start of the newest call that confirmed the copy.
	confirmedAt time.Time
	// failedAt is the start of the newest call if that has failed with failure.
	failedAt time.Time
	failure  error
	// loading is closed when the call in progress has ended; nil if there is none.
	loading chan struct{}
}

// keys are the keys of one version of the catalog. They do not change.
type keys struct {
	version       int64
	accessControl bool
	digests       map[catalog.KeyDigest]catalog.KeyDigest
}

// passes reports whether there is no reason to refuse a key.
func (k *keys) passes(key catalog.KeyDigest) bool {
	if !k.accessControl {
		return true
	}
	found, known := k.digests[key]
	return known && subtle.ConstantTimeCompare(found[:], key[:]) == 1
}

// New returns an empty table, which calls the leader for the first key that it is asked
// about.
func New(source Source, log *slog.Logger) *Table { return &Table{source: source, log: log} }

// Judge tells what the table says of the key of a request that arrived at a time, and
// the version of the catalog by which it is unknown. It calls the leader if it would
// refuse the key by a copy that was confirmed too long ago. The error is why a copy is
// unconfirmed.
func (t *Table) Judge(ctx context.Context, arrived time.Time, key catalog.KeyDigest) (Verdict, int64, error) {
	for {
		t.mu.Lock()
		verdict, decided := t.judge(arrived, key)
		version, failure, loading := t.version(), t.failure, t.loading
		if !decided && loading == nil {
			loading = t.startLoad()
		}
		t.mu.Unlock()
		if decided {
			return verdict, version, failure
		}
		select {
		case <-loading:
		case <-ctx.Done():
			return Unconfirmed, 0, ctx.Err()
		}
	}
}

// judge returns the verdict, if no call of the leader is needed for it. The caller
// holds t.mu.
func (t *Table) judge(arrived time.Time, key catalog.KeyDigest) (verdict Verdict, decided bool) {
	passes := t.known == nil || t.known.passes(key)
	switch {
	case t.known != nil && !t.outdated && passes:
		return PassOn, true
	case !passes && arrived.Sub(t.confirmedAt) <= maxAge:
		return Unknown, true
	case t.failure == nil || time.Since(t.failedAt) >= retryInterval && t.failedAt.Before(arrived):
		return 0, false
	case passes:
		// The leader decides: access control may be off.
		return PassOn, true
	}
	return Unconfirmed, true
}

// version returns the version of the copy, or 0. The caller holds t.mu.
func (t *Table) version() int64 {
	if t.known == nil {
		return 0
	}
	return t.known.version
}

// Refused tells that the leader has refused a key as unknown. A copy that would pass it
// on is out of date.
func (t *Table) Refused(key catalog.KeyDigest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outdated = t.outdated || t.known != nil && t.known.passes(key)
}

// startLoad starts a call to the leader. The caller holds t.mu.
func (t *Table) startLoad() chan struct{} {
	done := make(chan struct{})
	t.loading = done
	go func() {
		defer close(done)
		t.load(time.Now())
	}()
	return done
}

func (t *Table) load(start time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	t.mu.Lock()
	former := t.version()
	t.mu.Unlock()
	answer, err := t.source.Accounts(ctx, workcall.AccountsRequest{Known: former})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loading, t.failure = nil, err
	if err != nil {
		t.failedAt = start
		t.log.Warn("known keys not confirmed", "version", former, "took_ms", time.Since(start).Milliseconds(), logging.Err(err))
		return
	}
	t.confirmedAt, t.outdated = start, false
	if t.known == nil || answer.Version != former {
		t.known = newKeys(&answer)
		t.log.Info("known keys loaded", "from", former, "to", answer.Version, "access_control", answer.AccessControl, "keys", len(answer.Keys))
	}
}

func newKeys(answer *workcall.AccountsResponse) *keys {
	k := &keys{version: answer.Version, accessControl: answer.AccessControl, digests: make(map[catalog.KeyDigest]catalog.KeyDigest, len(answer.Keys))}
	for _, key := range answer.Keys {
		k.digests[key] = key
	}
	return k
}
