package request

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"arbutusward.example/arbutusward/internal/request/claim"
)

// fakeClaimer returns a fixed decision and records how claims end.
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
		Convey("a request with a granted claim runs and its answer is recorded", func() {
			So(outcome(send()), ShouldEqual, Ran)
			So(string(claimer.finished[0].Body), ShouldEqual, "receipt")
		})
		Convey("a recorded answer is returned without a run", func() {
			claimer.decision = claim.Decision{State: claim.Finished, Answer: &claim.Answer{Status: 201, Body: []byte("old")}}
			w := send()
			So(w.Code, ShouldEqual, 201)
			So(w.Body.String(), ShouldEqual, "old")
			So(runs.Load(), ShouldEqual, 0)
		})
		Convey("a request whose claim is in progress, unknown or expired never runs", func() {
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
		Convey("a lost answer is recorded as an unknown outcome", func() {
			cut.Store(true)
			So(outcome(send()), ShouldEqual, Unknown)
			So(claimer.finished, ShouldResemble, []*claim.Answer{nil})
			So(runs.Load(), ShouldEqual, 1)
		})
		Convey("the claim is released if no byte was sent", func() {
			f.addVM("a", "home", "127.0.0.1:1")
			f.publish()
			So(outcome(send()), ShouldEqual, NotRun)
			So(claimer.released, ShouldEqual, 1)
		})
	})
}
