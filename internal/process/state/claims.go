package state

import (
	"bytes"
	"time"

	"arbutusward.example/arbutusward/internal/request/claim"
)

// claimGrace is the time after the end of a claim's timeout after which its
// owner is considered lost.
const claimGrace = 30 * time.Second

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
