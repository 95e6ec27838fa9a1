package state

import "arbutusward.example/arbutusward/internal/request/claim"

// Limits of the claim table. At a limit, new claims are refused. A claim is
// never removed within its retention.
const (
	maxClaims       = 100_000
	maxRetiredKeys  = 500_000
	maxClaimAnswers = 32 << 20
	// orderSlack is the number of superseded records in Order that are
	// tolerated before Order is compacted.
	orderSlack = 1024
)

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
