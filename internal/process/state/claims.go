package state

import (
	"bytes"
	"time"

	"arbutusward.example/arbutusward/internal/request/claim"
)

// Bounds of the claim table. At a bound new claims are refused; a claim
// within its retention is never forgotten.
const (
	maxClaims       = 100_000
	maxRetiredKeys  = 500_000
	maxClaimAnswers = 32 << 20
	// claimGrace is the time past a claim's own life after which its owner
	// is taken for lost.
	claimGrace = 30 * time.Second
	// orderSlack is the number of superseded order records kept before the
	// order is rebuilt.
	orderSlack = 1024
)

// ClaimCommand is the body of a ClaimKey command.
type ClaimCommand struct {
	// Key is the scoped digest of the caller's key.
	Key string `cbor:"1,keyasint"`
	// KeyTimeMS is the time that the key bears, 0 if none.
	KeyTimeMS int64 `cbor:"2,keyasint"`
	// Digest identifies the request's content.
	Digest []byte `cbor:"3,keyasint"`
	// Entry and Incarnation name the run of the entry that claims.
	Entry       string `cbor:"4,keyasint"`
	Incarnation string `cbor:"5,keyasint"`
	// Attempt is made by the entry for one claim; a command that is sent
	// again after a lost answer bears it again.
	Attempt string `cbor:"6,keyasint"`
	// TimeoutMS is the time that the request may take.
	TimeoutMS int64 `cbor:"7,keyasint"`
}

// ClaimAnswer is the result of a ClaimKey command.
type ClaimAnswer struct {
	State  claim.State   `cbor:"1,keyasint"`
	Answer *claim.Answer `cbor:"2,keyasint,omitempty"`
	Reason string        `cbor:"3,keyasint,omitempty"`
}

// ClaimEnd is the body of FinishClaim and ReleaseClaim commands.
type ClaimEnd struct {
	Key     string `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	// Answer is the recorded answer; nil means that the outcome is unknown.
	Answer *claim.Answer `cbor:"3,keyasint,omitempty"`
	// Reason explains a missing answer.
	Reason string `cbor:"4,keyasint,omitempty"`
}

// Incarnation is the body of a NoteIncarnation command: the run of an entry
// that is alive. Earlier runs of the entry are over.
type Incarnation struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// heldClaim is one claim in the table.
type heldClaim struct {
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

// claimRef names a claim in the order of grants.
type claimRef struct {
	Key     string `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
}

// retiredKey is a key whose claim is past its retention.
type retiredKey struct {
	Key     string `cbor:"1,keyasint"`
	UntilMS int64  `cbor:"2,keyasint"`
}

// claimTable holds all claims within their retention.
type claimTable struct {
	Held map[string]heldClaim `cbor:"1,keyasint"`
	// Order lists the grants, oldest first, for retirement.
	Order []claimRef `cbor:"2,keyasint"`
	// Answered lists the claims with an answer, oldest first.
	Answered    []claimRef `cbor:"3,keyasint"`
	AnswerBytes int        `cbor:"4,keyasint"`
	// Retired lists keys without a time that are refused, oldest first.
	Retired []retiredKey `cbor:"5,keyasint"`
	// Incarnations is the newest known run of each entry.
	Incarnations map[string]string `cbor:"6,keyasint"`
	// retiredSet indexes Retired; it is built when first needed.
	retiredSet map[string]bool
}

func newClaimTable() claimTable {
	return claimTable{Held: map[string]heldClaim{}, Incarnations: map[string]string{}}
}

// clock moves the state's clock to a command's time and returns it.
func (m *Machine) clock(c position) int64 {
	m.data.ClockMS = max(m.data.ClockMS, c.atMS)
	return m.data.ClockMS
}

// applyClaim grants a key to the first attempt that claims it.
func applyClaim(m *Machine, c position, command ClaimCommand) Result {
	now := m.clock(c)
	t := &m.data.Claims
	t.retire(now)
	t.Incarnations[command.Entry] = command.Incarnation
	if held, known := t.Held[command.Key]; known {
		return okResult(m.judge(held, command, now))
	}
	if id, batch := m.data.Batch.ByKey[command.Key]; batch {
		return okResult(judgeBatch(m.data.Batch.Jobs[id]))
	}
	if reason := t.expired(command, now); reason != "" {
		return okResult(ClaimAnswer{State: claim.Expired, Reason: reason})
	}
	if len(t.Held) >= maxClaims || len(t.Retired) >= maxRetiredKeys {
		return refuse(Refused, "the claim table is full")
	}
	t.grant(command, now)
	return okResult(ClaimAnswer{State: claim.Granted})
}

// judge answers a claim on a key that is held.
func (m *Machine) judge(held heldClaim, command ClaimCommand, now int64) ClaimAnswer {
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

// ownerLost says that nobody will end the claim any more.
func (m *Machine) ownerLost(held heldClaim, now int64) bool {
	if m.data.Claims.Incarnations[held.Entry] != held.Incarnation {
		return true
	}
	return now > held.EndMS+claimGrace.Milliseconds()
}

// expired returns why a key that is not held must not run, or "".
func (t *claimTable) expired(command ClaimCommand, now int64) string {
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
	t.Held[command.Key] = heldClaim{
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

// compact drops order records of claims that were released.
func (t *claimTable) compact() {
	kept := make([]claimRef, 0, len(t.Held))
	for _, ref := range t.Order {
		if t.Held[ref.Key].Attempt == ref.Attempt {
			kept = append(kept, ref)
		}
	}
	t.Order = kept
}

// retire forgets claims and refusals that are past their retention.
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
			t.forget(ref.Key, held, now)
		}
	}
	for len(t.Retired) > 0 && t.Retired[0].UntilMS <= now {
		delete(t.retiredSet, t.Retired[0].Key)
		t.Retired = t.Retired[1:]
	}
}

// forget removes a claim; a key without a time leaves a refusal behind.
func (t *claimTable) forget(key string, held heldClaim, now int64) {
	delete(t.Held, key)
	if held.Answer != nil {
		t.AnswerBytes -= held.Answer.Size()
	}
	if !held.Timed {
		t.refuseLater(key, now)
	}
}

// refuseLater remembers a key without a time as used.
func (t *claimTable) refuseLater(key string, now int64) {
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

// applyFinishClaim records the answer of a claim, also one that was
// already told to others as unknown.
func applyFinishClaim(m *Machine, c position, end ClaimEnd) Result {
	m.clock(c)
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

// dropAnswers keeps the recorded answers within their bound; the claims stay.
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

// applyReleaseClaim gives a claim back: its attempt sent nothing.
func applyReleaseClaim(m *Machine, c position, end ClaimEnd) Result {
	m.clock(c)
	t := &m.data.Claims
	held, known := t.Held[end.Key]
	if known && held.Attempt == end.Attempt && held.State == claim.InProgress {
		delete(t.Held, end.Key)
	}
	return okResult(end.Attempt)
}

// applyNoteIncarnation records the run of an entry that is alive.
func applyNoteIncarnation(m *Machine, _ position, alive Incarnation) Result {
	m.data.Claims.Incarnations[alive.Entry] = alive.Incarnation
	return okResult(alive)
}

// Incarnation returns the newest known run of an entry.
func (m *Machine) Incarnation(entry string) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.data.Claims.Incarnations[entry]
}
