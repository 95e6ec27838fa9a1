package state

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"arbutusward.example/arbutusward/internal/request/batch"
	"arbutusward.example/arbutusward/internal/request/claim"
)

func (d *driver) accept(t rapid.TB, request batch.Request) string {
	t.Helper()
	id, err := run[string](t, d, AcceptBatch, request)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func (d *driver) pull(t rapid.TB, entry, incarnation string, limit int, held ...batch.LeaseRef) batch.Leases {
	t.Helper()
	leases, err := run[batch.Leases](t, d, LeaseBatch, batch.Pull{Entry: entry, Incarnation: incarnation, Held: held, Max: limit, Services: []string{"cleanup"}})
	if err != nil {
		t.Fatal(err)
	}
	return leases
}

func (d *driver) cancel(t rapid.TB, ids ...string) {
	t.Helper()
	if _, err := run[batch.States](t, d, CancelBatch, batch.Cancel{IDs: ids}); err != nil {
		t.Fatal(err)
	}
}

func (d *driver) state(t rapid.TB, id string) batch.State {
	t.Helper()
	job, known := d.machine.BatchJob(id)
	if !known {
		t.Fatalf("batch request %s has vanished", id)
	}
	return job.State
}

// entryModel is one entry of the property test: its incarnation and its
// leases.
type entryModel struct {
	name   string
	run    int
	leases map[string]batch.LeaseRef
}

func (e *entryModel) incarnation() string { return fmt.Sprint(e.name, e.run) }

// TestBatchRequestsFinishAndNonIdempotentStartAtMostOnce takes random steps: it accepts,
// leases, ends and cancels requests, loses answers, and restarts entries and
// the state machine. At the end every request must have a final state, and no
// request that is not idempotent may have started twice.
func TestBatchRequestsFinishAndNonIdempotentStartAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver()
		entries := []*entryModel{{name: "e1", leases: map[string]batch.LeaseRef{}}, {name: "e2", leases: map[string]batch.LeaseRef{}}}
		started := map[string]int{}
		idempotent := map[string]bool{}
		start := func(e *entryModel, leases batch.Leases) {
			for _, job := range leases.Jobs {
				if _, runs := e.leases[job.ID]; runs {
					continue
				}
				e.leases[job.ID] = batch.LeaseRef{ID: job.ID, Epoch: job.Epoch}
				started[job.ID]++
				if started[job.ID] > 1 && !idempotent[job.ID] {
					t.Fatalf("non-idempotent request %s was started twice", job.ID)
				}
			}
			for _, id := range leases.Lost {
				delete(e.leases, id)
			}
		}
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			e := rapid.SampledFrom(entries).Draw(t, "entry")
			d.nowMS += rapid.SampledFrom([]int64{0, 10, 3000, 11_000, -4000}).Draw(t, "time")
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0, 1:
				id := fmt.Sprint("b", step)
				idempotent[id] = rapid.Bool().Draw(t, "idempotent")
				d.accept(t, batch.Request{Service: "cleanup", ID: id, Idempotent: idempotent[id], Body: []byte("x")})
			case 2, 3:
				leases := d.pull(t, e.name, e.incarnation(), 3, leaseRefs(e)...)
				if rapid.IntRange(0, 3).Draw(t, "lost answer") > 0 {
					start(e, leases)
				}
			case 4:
				for _, ref := range leaseRefs(e) {
					end := batch.End{LeaseRef: ref, Answer: &claim.Answer{Status: 200}}
					switch rapid.IntRange(0, 2).Draw(t, "outcome") {
					case 0:
						end.Ran = true
					case 1:
						end.NotRun = true
						started[ref.ID]--
					}
					_, _ = run[string](t, d, FinishBatch, end)
					delete(e.leases, ref.ID)
				}
			case 5:
				e.run++
				e.leases = map[string]batch.LeaseRef{}
			case 6:
				if len(idempotent) > 0 {
					d.cancel(t, rapid.SampledFrom(keysOf(idempotent)).Draw(t, "cancelled"))
				}
			case 7:
				d.restart(t)
			}
		}
		finishAll(t, d, keysOf(idempotent))
	})
}

// finishAll finishes all open requests and checks the final states.
func finishAll(t *rapid.T, d *driver, ids []string) {
	for range 40 {
		d.nowMS += 40_000
		for _, job := range d.pull(t, "last", "r", 16).Jobs {
			_, _ = run[string](t, d, FinishBatch, batch.End{LeaseRef: batch.LeaseRef{ID: job.ID, Epoch: job.Epoch}, Ran: true, Answer: &claim.Answer{Status: 200}})
		}
	}
	for _, id := range ids {
		if state := d.state(t, id); state == batch.Queued || state == batch.Running {
			t.Fatalf("request %s ended as %s", id, state)
		}
	}
	table := &d.machine.data.Batch
	if table.Queued != 0 || len(table.Running) != 0 || table.BodyBytes != 0 {
		t.Fatalf("queued %d, running %d, body bytes %d after all ended", table.Queued, len(table.Running), table.BodyBytes)
	}
}

func leaseRefs(e *entryModel) []batch.LeaseRef {
	var refs []batch.LeaseRef
	for _, id := range keysOf(e.leases) {
		refs = append(refs, e.leases[id])
	}
	return refs
}

func keysOf[V any](m map[string]V) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func TestBatchKeyUsedAgainGetsTheFirstRequest(t *testing.T) {
	d := newDriver()
	first := batch.Request{Service: "cleanup", ID: "b1", Key: "k", Digest: []byte("d")}
	d.accept(t, first)
	again := first
	again.ID = "b2"
	if id := d.accept(t, again); id != "b1" {
		t.Errorf("the same key was accepted again as %s", id)
	}
	again.Digest = []byte("other")
	if _, err := run[string](t, d, AcceptBatch, again); err == nil {
		t.Error("the same key with other content was accepted")
	}
	if got := d.claim(t, command("k", "e1", "r1", "a1")); got.State == claim.Granted {
		t.Error("the key of a batch request was granted for a direct run")
	}
}

// TestManyRequestsAreCancelledByOneCommand cancels a queue of 10,000 requests
// with one command.
func TestManyRequestsAreCancelledByOneCommand(t *testing.T) {
	d := newDriver()
	ids := make([]string, 10_000)
	for i := range ids {
		ids[i] = fmt.Sprint("b", i)
		d.accept(t, batch.Request{Service: "cleanup", ID: ids[i]})
	}
	d.pull(t, "e1", "r1", 10)
	d.cancel(t, ids...)
	if table := &d.machine.data.Batch; table.Queued != 0 || len(table.Ended) != len(ids)-10 {
		t.Errorf("queued %d, ended %d", table.Queued, len(table.Ended))
	}
	if leases := d.pull(t, "e2", "r1", 10); len(leases.Jobs) != 0 {
		t.Errorf("%d cancelled requests were leased", len(leases.Jobs))
	}
}

// TestLatePullOfAFormerIncarnationEndsNoLeases guards against a request that is shown as lost, or runs again, while the entry that runs it is alive.
func TestLatePullOfAFormerIncarnationEndsNoLeases(t *testing.T) {
	d := newDriver()
	first := d.accept(t, batch.Request{Service: "cleanup"})
	d.pull(t, "e1", "former", 0)
	if leases := d.pull(t, "e1", "present", 1); len(leases.Jobs) != 1 {
		t.Fatalf("no lease: %+v", leases)
	}
	d.pull(t, "e1", "former", 0)
	if state := d.state(t, first); state != batch.Running {
		t.Errorf("the request is %s", state)
	}
}
