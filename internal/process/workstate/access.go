package workstate

import (
	"time"

	"arbutusward.example/arbutusward/internal/version/access"
	"arbutusward.example/arbutusward/internal/version/catalog"
)

// Access returns the index by which calls are checked against the catalog in force.
func (v *View) Access() *access.Index { return v.m.access }

// JobAccess decides about a call for the job at a location, which need not be known. The
// key is nil if the call has none.
func (v *View) JobAccess(host, path string, key *catalog.KeyDigest) access.Reason {
	return v.m.jobAccess(v.m.jobAt(host, path), host, path, key)
}

// jobAccess decides about a call for a job, or for an unknown one, which is nil.
func (m *Machine) jobAccess(job *Job, host, path string, key *catalog.KeyDigest) access.Reason {
	if job == nil {
		return m.access.UnknownJob(host, path, key)
	}
	return m.access.Job(job.Account, m.queues[job.Queue], key)
}

// RepetitionAccess decides about the repeated submission of a job that the state has.
func (v *View) RepetitionAccess(job *Job, key *catalog.KeyDigest) access.Reason {
	return v.m.repetitionAccess(job, key)
}

// repetitionAccess allows the repetition of a job of which no queue is known any more. It
// has no effect, and the job was accepted.
func (m *Machine) repetitionAccess(job *Job, key *catalog.KeyDigest) access.Reason {
	reason := m.access.Job(job.Account, m.queues[job.Queue], key)
	if reason == access.UnknownQueue {
		return access.Allowed
	}
	return reason
}

// codeOf returns the result of a command with a decision about access.
func codeOf(reason access.Reason) Code {
	switch reason {
	case access.Allowed:
		return OK
	case access.UnknownQueue:
		return UnknownQueue
	case access.OtherAccount:
		return Forbidden
	}
	return Unauthorized
}

// Units of a rateBucket. All figures are integers, since processes on machines of
// different kinds must compute the same state.
const (
	// jobTokens are the tokens that one job takes.
	jobTokens = 1_000_000_000
	// tokensPerWeight are the tokens in a millisecond at one job a second.
	tokensPerWeight = jobTokens / 1000
	// maxRate bounds the rate of an account, in jobs a second, so that no product
	// overflows.
	maxRate = 1_000_000
	// burstMS is the time whose jobs a full bucket holds, in milliseconds.
	burstMS = int64(2 * time.Second / time.Millisecond)
	// minBurst is the fewest jobs that a full bucket holds. Jobs that arrive at random times
	// below a small rate would often find a bucket of one or two jobs empty.
	minBurst = 5
)

// rateBucket is the token bucket of one account.
type rateBucket struct {
	// Tokens were left at AtMS, a time on the state's clock in milliseconds.
	Tokens int64 `cbor:"1,keyasint"`
	AtMS   int64 `cbor:"2,keyasint"`
}

// overRate takes the tokens of one job of an account and reports whether there were
// too few. An account without a bucket has a full one.
func (m *Machine) overRate(account *catalog.Account) bool {
	tokens := m.tokens(account)
	over := tokens < jobTokens
	if !over {
		tokens -= jobTokens
	}
	if m.data.Buckets == nil {
		m.data.Buckets = map[string]rateBucket{}
	}
	m.data.Buckets[account.Name] = rateBucket{Tokens: tokens, AtMS: m.data.ClockMS}
	return over
}

// ExceedsRate reports whether a job that the account submitted now would exceed its
// rate.
func (v *View) ExceedsRate(account *catalog.Account) bool { return v.m.tokens(account) < jobTokens }

// tokens returns the tokens that an account has now.
func (m *Machine) tokens(account *catalog.Account) int64 {
	perMS := max(1, int64(min(account.Weight, maxRate)*tokensPerWeight))
	full := max(minBurst*jobTokens, perMS*burstMS)
	if bucket, known := m.data.Buckets[account.Name]; known {
		return bucket.fill(m.data.ClockMS, perMS, full)
	}
	return full
}

// fill returns the tokens at a time, of which perMS are added each millisecond, up to
// full.
func (b *rateBucket) fill(nowMS, perMS, full int64) int64 {
	elapsed := nowMS - b.AtMS
	if elapsed > full/perMS {
		return full
	}
	return min(full, b.Tokens+elapsed*perMS)
}

// removeBuckets removes the buckets of the accounts that the catalog does not have.
func (m *Machine) removeBuckets() {
	for name := range m.data.Buckets {
		if m.data.Catalog.Account(name) == nil {
			delete(m.data.Buckets, name)
		}
	}
}
