package request

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/version/view"
)

// TestDrainedVMGetsNoRequestUnderAnyTable guards against a request that is
// admitted under an older table and reaches a VM after Drained has confirmed
// its drain. Requests run while one VM is drained and restored repeatedly.
func TestDrainedVMGetsNoRequestUnderAnyTable(t *testing.T) {
	f := newTestFleet(nil)
	var started atomic.Int64
	f.addVM("a", "home", serveTarget(t, func(http.ResponseWriter, *http.Request) { started.Add(1) }))
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
		atDrain := started.Load()
		time.Sleep(5 * time.Millisecond)
		if later := started.Load(); later != atDrain {
			t.Fatalf("%d requests started after the drain was confirmed", later-atDrain)
		}
		if f.handler.Drained("a", epoch+1) {
			t.Fatal("drain confirmed for an epoch that is not in force")
		}
		f.setPhase("a", view.Serving)
		time.Sleep(2 * time.Millisecond)
	}
	cancel()
	group.Wait()
	if started.Load() == 0 {
		t.Fatal("nothing ran on the VM between the drains")
	}
}

// TestQueueTimeoutRacingAGrantLeaksNoSlot guards against a slot that stays in
// use because its waiter timed out while the slot was granted.
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
				g, _ := s.acquire(ctx, f.slotRequestFor("interactive", fmt.Sprint(i%5)))
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
		t.Fatalf("not released: busy %d, in flight %d, queued %d, callers %d", p.busy, s.workers["a"].inFlight, svc.queue.length, len(svc.queue.callers))
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
			g, _, _ := s.admit(f.slotRequestFor("interactive", "first"))
			So(g, ShouldNotBeNil)
			held = append(held, g)
		}
		wait := func(service, caller string) *waiter {
			_, w, refused := s.admit(f.slotRequestFor(service, caller))
			So(refused, ShouldBeNil)
			return w
		}
		settled := func(w *waiter) bool { return len(w.result) == 1 }
		Convey("interactive requests precede batch requests, but do not starve them", func() {
			batch := wait("batch", "x")
			for i := range batchEvery {
				interactive := wait("interactive", "x")
				s.release(held[i], succeeded, false)
				if settled(batch) {
					So(i, ShouldEqual, batchEvery-1)
					return
				}
				So(settled(interactive), ShouldBeTrue)
				held = append(held, (<-interactive.result).grant)
			}
			So("batch starved", ShouldBeEmpty)
		})
		Convey("another caller's request displaces one of the caller that fills the queue", func() {
			var heavy []*waiter
			for range 64 {
				heavy = append(heavy, wait("interactive", "hog"))
			}
			_, w, refused := s.admit(f.slotRequestFor("interactive", "hog"))
			So(w, ShouldBeNil)
			So(refused.reason, ShouldEqual, reasonQueueFull)
			other := wait("interactive", "other")
			So(settled(heavy[63]), ShouldBeTrue)
			So((<-heavy[63].result).refused.reason, ShouldEqual, reasonCallerShare)
			s.release(held[0], succeeded, false)
			s.release(held[1], succeeded, false)
			So(settled(other), ShouldBeTrue)
		})
		Convey("a waiter that can no longer finish in time is refused when a slot is free", func() {
			late, inTime := wait("interactive", "x"), wait("interactive", "y")
			late.deadline = time.Now().Add(600 * time.Millisecond)
			s.services["interactive"].observeServiceTime(700 * time.Millisecond)
			s.release(held[0], succeeded, false)
			So((<-late.result).refused.reason, ShouldEqual, reasonDeadline)
			So((<-inTime.result).grant, ShouldNotBeNil)
		})
		Convey("waiters of a removed service are refused", func() {
			w := wait("batch", "x")
			s.rejectWaiters(s.services["batch"])
			So((<-w.result).refused.reason, ShouldEqual, reasonRemoved)
		})
		Convey("a request that can't finish before its deadline is refused immediately", func() {
			s.services["interactive"].observeServiceTime(1500 * time.Millisecond)
			s.pools["home"].serviceTime.add(1.5)
			for range 2 {
				wait("interactive", "x")
			}
			_, w, refused := s.admit(f.slotRequestFor("interactive", "x"))
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
			t.Errorf("%d entries have %d slots in total", entries, sum)
		}
	}
}

func TestEjection(t *testing.T) {
	Convey("Given four VMs, one of which fails all requests", t, func() {
		f := newTestFleet(nil)
		for _, vm := range []string{"a", "b", "c", "d"} {
			f.addVM(vm, "home", "127.0.0.1:1")
		}
		f.publish()
		s := f.handler.scheduler
		run := func(v func(vm string) verdict) *grant {
			request := f.slotRequestFor("interactive", "x")
			request.idempotent = true
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
		Convey("the limit on ejected workers holds when all fail", func() {
			for range 300 {
				run(func(string) verdict { return failed })
			}
			So(s.pools["home"].ejected, ShouldEqual, 1)
		})
		Convey("a successful probe restores it", func() {
			s.workers["a"].probeAt = time.Now()
			g := run(func(string) verdict { return succeeded })
			So(g.probe, ShouldBeTrue)
			So(g.worker.vm, ShouldEqual, "a")
			So(s.pools["home"].ejected, ShouldEqual, 0)
		})
		Convey("a failed probe doubles its backoff", func() {
			s.workers["a"].probeAt = time.Now()
			run(func(string) verdict { return failed })
			So(s.workers["a"].backoff, ShouldEqual, 2*firstBackoff)
			So(s.pools["home"].ejected, ShouldEqual, 1)
		})
		Convey("a new incarnation of its target is healthy", func() {
			target := f.targets["a"]
			target.Incarnation = "2"
			f.targets["a"] = target
			f.publish()
			So(f.handler.Suspected("a"), ShouldBeFalse)
			So(s.pools["home"].ejected, ShouldEqual, 0)
		})
	})
}
