package state

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"arbutusward.example/arbutusward/internal/request/claim"
)

// driver applies commands to a machine in the role of the leader.
type driver struct {
	machine *Machine
	index   uint64
	nowMS   int64
	// clockMS is the clock of the state: the latest time of a command.
	clockMS int64
	// entries holds the applied log entries.
	entries [][]byte
}

func newDriver() *driver { return &driver{machine: NewMachine(), nowMS: 1_000_000_000_000} }

func run[T any](t rapid.TB, d *driver, kind Kind, body any) (T, error) {
	t.Helper()
	d.index++
	d.clockMS = max(d.clockMS, d.nowMS)
	command, err := Encode(kind, d.nowMS, body)
	if err != nil {
		t.Fatal(err)
	}
	d.entries = append(d.entries, command)
	return DecodeResult[T](d.machine.Apply(d.index, command))
}

// restart replaces the machine by a new one restored from its snapshot.
func (d *driver) restart(t rapid.TB) {
	t.Helper()
	snapshot, err := d.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	d.machine = NewMachine()
	if err := d.machine.Restore(d.index, snapshot); err != nil {
		t.Fatal(err)
	}
}

func (d *driver) claim(t rapid.TB, command ClaimCommand) ClaimAnswer {
	t.Helper()
	answer, err := run[ClaimAnswer](t, d, ClaimKey, command)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

func (d *driver) end(t rapid.TB, kind Kind, end ClaimEnd) {
	t.Helper()
	// A refusal is expected if the claim is no longer held.
	_, _ = run[string](t, d, kind, end)
}

func command(key, entry, incarnation, attempt string) ClaimCommand {
	return ClaimCommand{Key: key, Digest: []byte("d"), Entry: entry, Incarnation: incarnation, Attempt: attempt, TimeoutMS: 1000}
}

// TestUnreleasedClaimIsNotGrantedToAnotherAttempt applies random sequences of claims, ends,
// repeated commands, restarts and clock steps. An attempt that was granted and
// not released may have run, so no other attempt may be granted the key while the
// claim is kept, nor in the time after that for which the key is refused.
func TestUnreleasedClaimIsNotGrantedToAnotherAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver()
		granted := map[string]grant{}
		released := map[string]bool{}
		var attempts []ClaimCommand
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for step := range steps {
			d.nowMS += rapid.SampledFrom([]int64{0, 1, 1500, 40_000, claim.Retention.Milliseconds() / 2, -5000}).Draw(t, "time")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				c := command(rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"), rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry"),
					rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "run"), fmt.Sprint("a", step))
				attempts = append(attempts, c)
				checkGrant(t, d, granted, released, c)
			case 2:
				if len(attempts) > 0 {
					checkGrant(t, d, granted, released, rapid.SampledFrom(attempts).Draw(t, "again"))
				}
			case 3, 4:
				if len(attempts) > 0 {
					c := rapid.SampledFrom(attempts).Draw(t, "ended")
					finish := rapid.Bool().Draw(t, "finish")
					if finish {
						d.end(t, FinishClaim, ClaimEnd{Key: c.Key, Attempt: c.Attempt, Answer: &claim.Answer{Status: 200}})
					} else if !released[c.Attempt] {
						released[c.Attempt] = true
						d.end(t, ReleaseClaim, ClaimEnd{Key: c.Key, Attempt: c.Attempt})
					}
				}
			case 5:
				d.restart(t)
			}
		}
	})
}

// grant is a granted claim.
type grant struct {
	attempt string
	// refusedUntilMS is the time on the state's clock until which the key must
	// not be granted to another attempt.
	refusedUntilMS int64
}

// checkGrant makes a claim. It fails if the claim is granted although another
// attempt, which may have run, was granted the key before and the key has to be
// refused. A released attempt has not run.
func checkGrant(t *rapid.T, d *driver, granted map[string]grant, released map[string]bool, c ClaimCommand) {
	answer := d.claim(t, c)
	if answer.State != claim.Granted {
		return
	}
	first, known := granted[c.Key]
	if known && first.attempt == c.Attempt && d.clockMS < first.refusedUntilMS {
		return
	}
	if known && !released[first.attempt] && d.clockMS < first.refusedUntilMS {
		t.Fatalf("key %s was granted to %s and to %s, %v before the first grant may be forgotten", c.Key, first.attempt, c.Attempt,
			time.Duration(first.refusedUntilMS-d.clockMS)*time.Millisecond)
	}
	granted[c.Key] = grant{c.Attempt, d.clockMS + (claim.Retention + claim.RefusalRetention).Milliseconds()}
}

func TestClaimStates(t *testing.T) {
	d := newDriver()
	if got := d.claim(t, command("k", "e1", "r1", "a1")); got.State != claim.Granted {
		t.Fatalf("first claim: %+v", got)
	}
	if got := d.claim(t, command("k", "e1", "r1", "a1")); got.State != claim.Granted {
		t.Errorf("claim repeated after a lost answer: %+v", got)
	}
	if got := d.claim(t, command("k", "e2", "r9", "a2")); got.State != claim.InProgress {
		t.Errorf("claim through another entry: %+v", got)
	}
	other := command("k", "e2", "r9", "a3")
	other.Digest = []byte("other")
	if got := d.claim(t, other); got.State != claim.Mismatch {
		t.Errorf("other content: %+v", got)
	}
	if _, err := run[Incarnation](t, d, RecordIncarnation, Incarnation{Entry: "e1", Incarnation: "r2"}); err != nil {
		t.Fatal(err)
	}
	if got := d.claim(t, command("k", "e2", "r9", "a4")); got.State != claim.Unknown {
		t.Errorf("claim after its owner restarted: %+v", got)
	}
	d.end(t, FinishClaim, ClaimEnd{Key: "k", Attempt: "a1", Answer: &claim.Answer{Status: 201, Body: []byte("booked")}})
	if got := d.claim(t, command("k", "e2", "r9", "a5")); got.State != claim.Finished || string(got.Answer.Body) != "booked" {
		t.Errorf("claim after the answer came late: %+v", got)
	}
}

func TestClaimPastItsRetentionIsRefused(t *testing.T) {
	d := newDriver()
	timed := command("timed", "e1", "r1", "a1")
	timed.KeyTimeMS = d.nowMS + claim.MaxKeySkew.Milliseconds()
	opaque := command("opaque", "e1", "r1", "a2")
	for _, c := range []ClaimCommand{timed, opaque} {
		if got := d.claim(t, c); got.State != claim.Granted {
			t.Fatalf("%s: %+v", c.Key, got)
		}
		d.end(t, FinishClaim, ClaimEnd{Key: c.Key, Attempt: c.Attempt})
	}
	for hours := int64(0); hours < 7*24; hours++ {
		d.nowMS += 3_600_000
		for _, c := range []ClaimCommand{timed, opaque} {
			c.Attempt = fmt.Sprint("later", hours)
			if got := d.claim(t, c); got.State == claim.Granted {
				t.Fatalf("%s ran again after %d hours", c.Key, hours+1)
			}
		}
	}
	future := command("future", "e1", "r1", "a3")
	future.KeyTimeMS = d.nowMS + 2*claim.MaxKeySkew.Milliseconds()
	if got := d.claim(t, future); got.State != claim.Expired {
		t.Errorf("key from the future: %+v", got)
	}
	if held := len(d.machine.data.Claims.Held); held != 0 {
		t.Errorf("%d claims are held past their retention", held)
	}
}

func TestClaimAnswersStayWithinTheirBound(t *testing.T) {
	d := newDriver()
	body := make([]byte, claim.MaxAnswerBytes)
	for i := range maxClaimAnswers/claim.MaxAnswerBytes + 10 {
		c := command(fmt.Sprint("k", i), "e1", "r1", fmt.Sprint("a", i))
		d.claim(t, c)
		d.end(t, FinishClaim, ClaimEnd{Key: c.Key, Attempt: c.Attempt, Answer: &claim.Answer{Status: 200, Body: body}})
	}
	if bytes := d.machine.data.Claims.AnswerBytes; bytes > maxClaimAnswers {
		t.Errorf("%d bytes of answers are kept", bytes)
	}
	if got := d.claim(t, command("k0", "e1", "r1", "again")); got.State != claim.Unknown {
		t.Errorf("claim whose answer was dropped: %+v", got)
	}
}
