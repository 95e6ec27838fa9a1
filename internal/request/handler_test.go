package request

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/request/claim"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// testFleet is a handler over VMs whose targets run in the test.
type testFleet struct {
	handler *Handler
	view    *view.View
	targets map[string]announce.Target
}

// Snapshot implements LeaseSource.
func (f *testFleet) Snapshot() *announce.Snapshot { return &announce.Snapshot{Targets: f.targets} }

// newTestFleet makes a pool "home" and a spare pool, and the services
// "interactive", which spills, and "batch", both of home.
func newTestFleet(claimer claim.Claimer) *testFleet {
	f := &testFleet{view: view.Empty(), targets: map[string]announce.Target{}}
	recorder := timeline.NewRecorder("test", "z")
	f.handler = NewHandler(targetconn.NewClient(), claimer, recorder, slog.New(slog.DiscardHandler))
	f.handler.SetLeaseSource(f)
	f.view.Version, f.view.SparePool = 1, "spare"
	f.addService("interactive", "home", fleet.Interactive)
	f.addService("batch", "home", fleet.Batch)
	f.addService("own", "spare", fleet.Interactive)
	return f
}

func (f *testFleet) addService(name, pool string, class fleet.Class) {
	f.view.Services[name] = fleet.Service{Name: name, Pool: pool, PathPrefix: "/" + name + "/", Class: class, DeadlineMS: 2000,
		QueueLimit: 64, MaxRequestBytes: 1 << 20, MaxResponseBytes: 8 << 20, Spill: pool == "home", IdempotentMethods: []string{"GET"}}
}

// addVM adds a VM whose target is at the address.
func (f *testFleet) addVM(name, pool, address string) {
	f.view.VMs[name] = view.VM{Name: name, Pool: pool, Zone: "z", Rack: "r" + name, Epoch: 1, Phase: view.Serving, Slots: 8, Connections: 64}
	f.targets[name] = announce.Target{Announcement: announce.Announcement{VM: name, Address: address, Incarnation: "1"},
		Pool: pool, Expires: time.Now().Add(time.Hour)}
}

// publish puts the present view and targets in force.
func (f *testFleet) publish() { f.handler.SetTable(NewTable(f.view, f.Snapshot(), 1)) }

// setPhase changes a VM under a new epoch.
func (f *testFleet) setPhase(name string, phase view.Phase) uint64 {
	vm := f.view.VMs[name]
	vm.Phase = phase
	vm.Epoch++
	next := *f.view
	next.VMs = map[string]view.VM{}
	for other := range f.view.VMs {
		next.VMs[other] = f.view.VMs[other]
	}
	next.VMs[name] = vm
	f.view = &next
	f.publish()
	return vm.Epoch
}

// serveTarget runs a target for the test.
func serveTarget(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// ticketFor asks for a slot of a service.
func (f *testFleet) ticketFor(service, caller string) ticket {
	return ticket{service: f.handler.scheduler.services[service], caller: caller, deadline: time.Now().Add(2 * time.Second)}
}

func TestDrainedMeansNoWorkUnderAnyTable(t *testing.T) {
	f := newTestFleet(nil)
	var begun atomic.Int64
	f.addVM("a", "home", serveTarget(t, func(http.ResponseWriter, *http.Request) { begun.Add(1) }))
	f.addVM("b", "home", serveTarget(t, func(http.ResponseWriter, *http.Request) {}))
	f.publish()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for ctx.Err() == nil {
				f.handler.Dispatch(ctx, Dispatch{ID: "x", Service: "interactive", Method: "GET", URI: "/interactive/"})
			}
		})
	}
	for range 40 {
		epoch := f.setPhase("a", view.Draining)
		for !f.handler.Drained("a", epoch) {
			time.Sleep(time.Millisecond)
		}
		atDrain := begun.Load()
		time.Sleep(5 * time.Millisecond)
		if later := begun.Load(); later != atDrain {
			t.Fatalf("%d requests began after the drain was confirmed", later-atDrain)
		}
		if f.handler.Drained("a", epoch+1) {
			t.Fatal("confirmed an epoch that is not in force")
		}
		f.setPhase("a", view.Serving)
		time.Sleep(2 * time.Millisecond)
	}
	cancel()
	group.Wait()
	if begun.Load() == 0 {
		t.Fatal("nothing ran on the VM between the drains")
	}
}

func TestQueueTimeoutRacingAGrantLeaksNoSlot(t *testing.T) {
	f := newTestFleet(nil)
	f.addVM("a", "home", "127.0.0.1:1")
	f.publish()
	s := f.handler.scheduler
	var group sync.WaitGroup
	for i := range 64 {
		group.Go(func() {
			for range 200 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*10*time.Microsecond)
				g, _ := s.acquire(ctx, f.ticketFor("interactive", fmt.Sprint(i%5)))
				if g != nil {
					s.release(g, succeeded, true)
				}
				cancel()
			}
		})
	}
	group.Wait()
	p := s.pools["home"]
	svc := s.services["interactive"]
	if p.busy != 0 || s.workers["a"].inFlight != 0 || svc.queue.length != 0 || len(svc.queue.callers) != 0 || p.interactiveWaiting != 0 {
		t.Fatalf("left over: busy %d, in flight %d, queued %d, callers %d", p.busy, s.workers["a"].inFlight, svc.queue.length, len(svc.queue.callers))
	}
}

func TestQueues(t *testing.T) {
	Convey("Given a pool with one VM whose slots are all taken", t, func() {
		f := newTestFleet(nil)
		f.addVM("a", "home", "127.0.0.1:1")
		f.publish()
		s := f.handler.scheduler
		var held []*grant
		for range 8 {
			g, _, _ := s.admit(f.ticketFor("interactive", "first"))
			So(g, ShouldNotBeNil)
			held = append(held, g)
		}
		wait := func(service, caller string) *waiter {
			_, w, refused := s.admit(f.ticketFor(service, caller))
			So(refused, ShouldBeNil)
			return w
		}
		granted := func(w *waiter) bool { return len(w.settled) == 1 }
		Convey("interactive goes before batch, and batch has its turn", func() {
			batch := wait("batch", "x")
			for i := range batchTurn {
				interactive := wait("interactive", "x")
				s.release(held[i], succeeded, false)
				if granted(batch) {
					So(i, ShouldEqual, batchTurn-1)
					return
				}
				So(granted(interactive), ShouldBeTrue)
				held = append(held, (<-interactive.settled).grant)
			}
			So("batch starved", ShouldBeEmpty)
		})
		Convey("a full queue makes room for another caller at the cost of the greediest", func() {
			var hog []*waiter
			for range 64 {
				hog = append(hog, wait("interactive", "hog"))
			}
			_, w, refused := s.admit(f.ticketFor("interactive", "hog"))
			So(w, ShouldBeNil)
			So(refused.reason, ShouldEqual, reasonQueueFull)
			other := wait("interactive", "other")
			So(granted(hog[63]), ShouldBeTrue)
			So((<-hog[63].settled).refused.reason, ShouldEqual, reasonCallerShare)
			s.release(held[0], succeeded, false)
			s.release(held[1], succeeded, false)
			So(granted(other), ShouldBeTrue)
		})
		Convey("what can no longer finish gets its refusal in place of a slot", func() {
			late, inTime := wait("interactive", "x"), wait("interactive", "y")
			late.deadline = time.Now().Add(600 * time.Millisecond)
			s.services["interactive"].answered(700 * time.Millisecond)
			s.release(held[0], succeeded, false)
			So((<-late.settled).refused.reason, ShouldEqual, reasonDeadline)
			So((<-inTime.settled).grant, ShouldNotBeNil)
		})
		Convey("waiters of a removed service are told so", func() {
			w := wait("batch", "x")
			s.dismiss(s.services["batch"])
			So((<-w.settled).refused.reason, ShouldEqual, reasonRemoved)
		})
		Convey("what can't finish before its deadline is refused at once", func() {
			s.services["interactive"].answered(1500 * time.Millisecond)
			s.pools["home"].serviceTime.add(1.5)
			for range 2 {
				wait("interactive", "x")
			}
			_, w, refused := s.admit(f.ticketFor("interactive", "x"))
			So(w, ShouldBeNil)
			So(refused.reason, ShouldEqual, reasonDeadline)
			So(refused.retryAfterS, ShouldBeGreaterThanOrEqualTo, 1)
		})
	})
}

func TestSharesOfAllEntriesAddUpToTheSlots(t *testing.T) {
	for entries := 1; entries <= 8; entries++ {
		sum := 0
		for rank := range entries {
			sum += NewTable(view.Empty(), &announce.Snapshot{}, entries).WithRank(rank).share("vm-1", 8)
		}
		if sum != 8 {
			t.Errorf("%d entries share %d slots", entries, sum)
		}
	}
}

func TestEjection(t *testing.T) {
	Convey("Given four VMs of which one fails", t, func() {
		f := newTestFleet(nil)
		for _, vm := range []string{"a", "b", "c", "d"} {
			f.addVM(vm, "home", "127.0.0.1:1")
		}
		f.publish()
		s := f.handler.scheduler
		run := func(v func(vm string) verdict) *grant {
			request := f.ticketFor("interactive", "x")
			request.repeatable = true
			g, _, _ := s.admit(request)
			s.release(g, v(g.worker.vm), false)
			return g
		}
		onlyA := func(vm string) verdict {
			if vm == "a" {
				return failed
			}
			return succeeded
		}
		for range 300 {
			run(onlyA)
		}
		So(f.handler.Suspected("a"), ShouldBeTrue)
		So(s.pools["home"].ejected, ShouldEqual, 1)
		Convey("the cap spares the others when all fail", func() {
			for range 300 {
				run(func(string) verdict { return failed })
			}
			So(s.pools["home"].ejected, ShouldEqual, 1)
		})
		Convey("a due probe that succeeds brings it back", func() {
			s.workers["a"].probeAt = time.Now()
			g := run(func(string) verdict { return succeeded })
			So(g.probe, ShouldBeTrue)
			So(g.worker.vm, ShouldEqual, "a")
			So(s.pools["home"].ejected, ShouldEqual, 0)
		})
		Convey("a probe that fails waits twice as long", func() {
			s.workers["a"].probeAt = time.Now()
			run(func(string) verdict { return failed })
			So(s.workers["a"].backoff, ShouldEqual, 2*firstBackoff)
			So(s.pools["home"].ejected, ShouldEqual, 1)
		})
		Convey("a new run of its target starts clean", func() {
			target := f.targets["a"]
			target.Incarnation = "2"
			f.targets["a"] = target
			f.publish()
			So(f.handler.Suspected("a"), ShouldBeFalse)
			So(s.pools["home"].ejected, ShouldEqual, 0)
		})
	})
}

// fakeClaimer keeps claims in memory.
type fakeClaimer struct {
	err      error
	decision claim.Decision
	finished []*claim.Answer
	released int
}

// Claim implements claim.Claimer.
func (c *fakeClaimer) Claim(context.Context, claim.Request) (claim.Decision, error) {
	return c.decision, c.err
}

// Finish implements claim.Claimer.
func (c *fakeClaimer) Finish(_ context.Context, _ string, answer *claim.Answer) error {
	c.finished = append(c.finished, answer)
	return nil
}

// Release implements claim.Claimer.
func (c *fakeClaimer) Release(context.Context, string) error {
	c.released++
	return nil
}

func TestKeyedRequests(t *testing.T) {
	Convey("Given a service and a claimer", t, func() {
		claimer := &fakeClaimer{decision: claim.Decision{State: claim.Granted, Token: "t"}}
		f := newTestFleet(claimer)
		var runs atomic.Int64
		var cut atomic.Bool
		address := serveTarget(t, func(w http.ResponseWriter, _ *http.Request) {
			runs.Add(1)
			if cut.Load() {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write([]byte("receipt"))
		})
		f.addVM("a", "home", address)
		f.publish()
		send := func() *httptest.ResponseRecorder {
			r := httptest.NewRequest(http.MethodPost, "/interactive/fee", nil)
			r.Header.Set(claim.KeyHeader, "k")
			w := httptest.NewRecorder()
			f.handler.ServeHTTP(w, r)
			return w
		}
		outcome := func(w *httptest.ResponseRecorder) Outcome { return Outcome(w.Header().Get(OutcomeHeader)) }
		Convey("a granted claim runs and records its answer", func() {
			So(outcome(send()), ShouldEqual, Ran)
			So(string(claimer.finished[0].Body), ShouldEqual, "receipt")
		})
		Convey("a recorded answer is given again without a run", func() {
			claimer.decision = claim.Decision{State: claim.Finished, Answer: &claim.Answer{Status: 201, Body: []byte("old")}}
			w := send()
			So(w.Code, ShouldEqual, 201)
			So(w.Body.String(), ShouldEqual, "old")
			So(runs.Load(), ShouldEqual, 0)
		})
		Convey("a claim in progress, unknown or expired is never run", func() {
			for _, state := range []claim.State{claim.InProgress, claim.Unknown, claim.Expired} {
				claimer.decision = claim.Decision{State: state}
				So(outcome(send()), ShouldEqual, Unknown)
			}
			So(runs.Load(), ShouldEqual, 0)
		})
		Convey("without a durable claim nothing is dispatched", func() {
			claimer.err = errors.New("no majority")
			w := send()
			So(outcome(w), ShouldEqual, NotRun)
			So(w.Header().Get("Retry-After"), ShouldNotBeBlank)
			So(runs.Load(), ShouldEqual, 0)
		})
		Convey("a lost answer is recorded as unknown", func() {
			cut.Store(true)
			So(outcome(send()), ShouldEqual, Unknown)
			So(claimer.finished, ShouldResemble, []*claim.Answer{nil})
			So(runs.Load(), ShouldEqual, 1)
		})
		Convey("a run of which no byte left gives the claim back", func() {
			f.addVM("a", "home", "127.0.0.1:1")
			f.publish()
			So(outcome(send()), ShouldEqual, NotRun)
			So(claimer.released, ShouldEqual, 1)
		})
	})
}
