package state

import (
	"bytes"
	"time"

	"arbutusward.example/arbutusward/internal/request/claim"
)

// Limits of the claim table. At a limit, new claims are refused. A claim is
// never removed within its retention.
const (
	maxClaims       = 100_000
	maxRetiredKeys  = 500_000
	maxClaimAnswers = 32 << 20
	// claimGrace is the time after the end of a claim's timeout after which
	// its owner is considered lost.
	claimGrace = 30 * time.Second
	// orderSlack is the number of superseded records in Order that are
	// tolerated before Order is compacted.
	orderSlack = 1024
)

// ClaimCommand is the body of a ClaimKey command.
type ClaimCommand struct {
	// Key is the scoped digest of the caller's key.
	Key string `cbor:"1,keyasint"`
	// KeyTimeMS is the time contained in the key, in Unix milliseconds; 0 if
	// there is none.
	KeyTimeMS int64 `cbor:"2,keyasint"`
	// Digest is the digest of the request's content.
	Digest []byte `cbor:"3,keyasint"`
	// Entry and Incarnation identify the entry process that makes the claim.
	Entry       string `cbor:"4,keyasint"`
	Incarnation string `cbor:"5,keyasint"`
	// Attempt is chosen by the entry for each claim. A command that is
	// repeated after a lost answer carries the same value.
	Attempt string `cbor:"6,keyasint"`
	// TimeoutMS is the maximum duration of the request, in ms.
	TimeoutMS int64 `cbor:"7,keyasint"`
}

// ClaimAnswer is the result body of a ClaimKey command.
type ClaimAnswer struct {
	State  claim.State   `cbor:"1,keyasint"`
	Answer *claim.Answer `cbor:"2,keyasint,omitempty"`
	Reason string        `cbor:"3,keyasint,omitempty"`
}

// ClaimEnd is the body of FinishClaim and ReleaseClaim commands.
type ClaimEnd struct {
	Key     string `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	// Answer is the answer to record; nil means that the outcome is unknown.
	Answer *claim.Answer `cbor:"3,keyasint,omitempty"`
	// Reason explains why there is no answer.
	Reason string `cbor:"4,keyasint,omitempty"`
}

// Incarnation is the body of a RecordIncarnation command. It names the current
// incarnation of an entry; all earlier incarnations have ended.
type Incarnation struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// claimRecord is a claim in the table.
type claimRecord struct {
	Digest      []byte        `cbor:"1,keyasint"`
	State       claim.State   `cbor:"2,keyasint"`
	Entry       string        `cbor:"3,keyasint"`
	Incarnation string        `cbor:"4,keyasint"`
	Attempt     string        `cbor:"5,keyasint"`
	EndMS       int64         `cbor:"6,keyasint"`
	RetireMS    int64         `cbor:"7,keyasint"`
	Timed       bool          `cbor:"8,keyasint,omitempty"`
	Answer      *claim.Answer `cbor:"9,keyasint,omitempty"`
	Reason      string        `cbor:"10,keyasint,omitempty"`
}

// claimRef identifies a grant of a claim.
type claimRef struct {
	Key     string `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
}

// retiredKey is a used key whose claim is past its retention.
type retiredKey struct {
	Key     string `cbor:"1,keyasint"`
	UntilMS int64  `cbor:"2,keyasint"`
}

// claimTable holds all claims within their retention.
type claimTable struct {
	Held map[string]claimRecord `cbor:"1,keyasint"`
	// Order lists the grants, oldest first. Claims are retired in this order.
	Order []claimRef `cbor:"2,keyasint"`
	// Answered lists the claims with a recorded answer, oldest first.
	Answered    []claimRef `cbor:"3,keyasint"`
	AnswerBytes int        `cbor:"4,keyasint"`
	// Retired lists used keys that contain no time, oldest first. Claims of
	// these keys are refused.
	Retired []retiredKey `cbor:"5,keyasint"`
	// Incarnations holds the newest known incarnation of each entry.
	Incarnations map[string]string `cbor:"6,keyasint"`
	// retiredSet indexes Retired. It is built on first use.
	retiredSet map[string]bool
}

func newClaimTable() claimTable {
	return claimTable{Held: map[string]claimRecord{}, Incarnations: map[string]string{}}
}

// advanceClock advances the state's clock to the time of a command, if that is
// later, and returns the clock.
func (m *Machine) advanceClock(pos position) int64 {
	m.data.ClockMS = max(m.data.ClockMS, pos.atMS)
	return m.data.ClockMS
}

// applyClaim grants a key to the first attempt that claims it.
func applyClaim(m *Machine, pos position, command ClaimCommand) Result {
	now := m.advanceClock(pos)
	t := &m.data.Claims
	t.retire(now)
	t.Incarnations[command.Entry] = command.Incarnation
	if held, known := t.Held[command.Key]; known {
		return okResult(m.answerHeldClaim(held, command, now))
	}
	if id, batch := m.data.Batch.ByKey[command.Key]; batch {
		return okResult(answerBatchClaim(m.data.Batch.Jobs[id]))
	}
	if reason := t.expiryReason(command, now); reason != "" {
		return okResult(ClaimAnswer{State: claim.Expired, Reason: reason})
	}
	if len(t.Held) >= maxClaims || len(t.Retired) >= maxRetiredKeys {
		return refuse(Refused, "the claim table is full")
	}
	t.grant(command, now)
	return okResult(ClaimAnswer{State: claim.Granted})
}

// answerHeldClaim returns the answer to a claim of a key that is already
// claimed.
func (m *Machine) answerHeldClaim(held claimRecord, command ClaimCommand, now int64) ClaimAnswer {
	switch {
	case !bytes.Equal(held.Digest, command.Digest):
		return ClaimAnswer{State: claim.Mismatch, Reason: "the key was used with other content"}
	case held.State != claim.InProgress:
		return ClaimAnswer{State: held.State, Answer: held.Answer, Reason: held.Reason}
	case held.Attempt == command.Attempt:
		return ClaimAnswer{State: claim.Granted}
	case m.ownerLost(held, now):
		return ClaimAnswer{State: claim.Unknown, Reason: "the entry that ran the request is gone"}
	}
	return ClaimAnswer{State: claim.InProgress, Reason: "another request with the key is in progress"}
}

// ownerLost reports whether the owner of a claim can no longer finish it.
func (m *Machine) ownerLost(held claimRecord, now int64) bool {
	if m.data.Claims.Incarnations[held.Entry] != held.Incarnation {
		return true
	}
	return now > held.EndMS+claimGrace.Milliseconds()
}

// expiryReason returns why a key without a claim must not run, or "".
func (t *claimTable) expiryReason(command ClaimCommand, now int64) string {
	if command.KeyTimeMS == 0 {
		if t.isRetired(command.Key) {
			return "the key was used and is past its retention"
		}
		return ""
	}
	if command.KeyTimeMS+claim.Retention.Milliseconds() <= now {
		return "the time in the key is past the retention"
	}
	if command.KeyTimeMS > now+claim.MaxKeySkew.Milliseconds() {
		return "the time in the key lies in the future"
	}
	return ""
}

func (t *claimTable) grant(command ClaimCommand, now int64) {
	t.Held[command.Key] = claimRecord{
		Digest: command.Digest, State: claim.InProgress,
		Entry: command.Entry, Incarnation: command.Incarnation, Attempt: command.Attempt,
		EndMS:    now + command.TimeoutMS,
		RetireMS: max(now, command.KeyTimeMS) + claim.Retention.Milliseconds(),
		Timed:    command.KeyTimeMS != 0,
	}
	t.Order = append(t.Order, claimRef{Key: command.Key, Attempt: command.Attempt})
	if len(t.Order) > 2*len(t.Held)+orderSlack {
		t.compact()
	}
}

// compact removes the records of released claims from Order.
func (t *claimTable) compact() {
	kept := make([]claimRef, 0, len(t.Held))
	for _, ref := range t.Order {
		if t.Held[ref.Key].Attempt == ref.Attempt {
			kept = append(kept, ref)
		}
	}
	t.Order = kept
}

// retire removes claims and retired keys that are past their retention.
func (t *claimTable) retire(now int64) {
	for len(t.Order) > 0 {
		ref := t.Order[0]
		held, known := t.Held[ref.Key]
		current := known && held.Attempt == ref.Attempt
		if current && held.RetireMS > now {
			break
		}
		t.Order = t.Order[1:]
		if current {
			t.remove(ref.Key, held, now)
		}
	}
	for len(t.Retired) > 0 && t.Retired[0].UntilMS <= now {
		delete(t.retiredSet, t.Retired[0].Key)
		t.Retired = t.Retired[1:]
	}
}

// remove removes a claim. A key that contains no time is retired, so that it
// stays refused.
func (t *claimTable) remove(key string, held claimRecord, now int64) {
	delete(t.Held, key)
	if held.Answer != nil {
		t.AnswerBytes -= held.Answer.Size()
	}
	if !held.Timed {
		t.retireKey(key, now)
	}
}

// retireKey records a key that contains no time as used.
func (t *claimTable) retireKey(key string, now int64) {
	t.Retired = append(t.Retired, retiredKey{Key: key, UntilMS: now + claim.RefusalRetention.Milliseconds()})
	if t.retiredSet != nil {
		t.retiredSet[key] = true
	}
}

func (t *claimTable) isRetired(key string) bool {
	if t.retiredSet == nil {
		t.retiredSet = make(map[string]bool, len(t.Retired))
		for _, retired := range t.Retired {
			t.retiredSet[retired.Key] = true
		}
	}
	return t.retiredSet[key]
}

// applyFinishClaim records the outcome of a claim. It also accepts an outcome
// after other claims of the key were answered with Unknown.
func applyFinishClaim(m *Machine, pos position, end ClaimEnd) Result {
	m.advanceClock(pos)
	t := &m.data.Claims
	held, known := t.Held[end.Key]
	if !known || held.Attempt != end.Attempt {
		return refuse(NotFound, "the claim is not held by this attempt")
	}
	if held.State != claim.InProgress {
		return okResult(end.Attempt)
	}
	held.State, held.Reason = claim.Unknown, end.Reason
	if end.Answer != nil && end.Answer.Size() > claim.MaxAnswerBytes {
		held.Reason = "the request ran, its answer is too large to be recorded"
	} else if end.Answer != nil {
		held.State, held.Answer = claim.Finished, end.Answer
	}
	t.Held[end.Key] = held
	if held.Answer != nil {
		t.AnswerBytes += held.Answer.Size()
		t.Answered = append(t.Answered, claimRef{Key: end.Key, Attempt: end.Attempt})
		t.dropAnswers()
	}
	return okResult(end.Attempt)
}

// dropAnswers drops the oldest recorded answers while their total size exceeds
// maxClaimAnswers. The claims themselves remain.
func (t *claimTable) dropAnswers() {
	for len(t.Answered) > 0 {
		ref := t.Answered[0]
		held, known := t.Held[ref.Key]
		current := known && held.Attempt == ref.Attempt && held.Answer != nil
		if current && t.AnswerBytes <= maxClaimAnswers {
			return
		}
		t.Answered = t.Answered[1:]
		if current {
			t.AnswerBytes -= held.Answer.Size()
			held.Answer, held.State = nil, claim.Unknown
			held.Reason = "the request ran, its answer was dropped for space"
			t.Held[ref.Key] = held
		}
	}
}

// applyReleaseClaim releases a claim whose attempt has sent no request.
func applyReleaseClaim(m *Machine, pos position, end ClaimEnd) Result {
	m.advanceClock(pos)
	t := &m.data.Claims
	held, known := t.Held[end.Key]
	if known && held.Attempt == end.Attempt && held.State == claim.InProgress {
		delete(t.Held, end.Key)
	}
	return okResult(end.Attempt)
}

// applyRecordIncarnation records the current incarnation of an entry.
func applyRecordIncarnation(m *Machine, _ position, alive Incarnation) Result {
	m.data.Claims.Incarnations[alive.Entry] = alive.Incarnation
	return okResult(alive)
}

// Incarnation returns the newest known incarnation of an entry.
func (m *Machine) Incarnation(entry string) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.data.Claims.Incarnations[entry]
}
