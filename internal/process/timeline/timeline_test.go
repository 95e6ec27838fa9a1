package timeline

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRecorder(t *testing.T) {
	Convey("Given a recorder with a notable event", t, func() {
		recorder := NewRecorder("entry", "za")
		recorder.Record(Event{Kind: LeaderLost})

		Convey("when more routine events are recorded than it keeps", func() {
			for range Capacity + 10 {
				recorder.Record(Event{Kind: RequestRan})
			}
			page := recorder.Since(0)

			Convey("then the notable event is still there, first", func() {
				So(page.Events, ShouldHaveLength, Capacity+1)
				So(page.Events[0].Kind, ShouldEqual, LeaderLost)
			})
			Convey("then the page holds the number of dropped events", func() {
				So(page.Dropped, ShouldEqual, uint64(10))
				So(page.DroppedNotable, ShouldEqual, uint64(0))
			})
		})

		Convey("when more notable events are recorded than it keeps", func() {
			for range Capacity {
				recorder.Record(Event{Kind: RequestRefused})
			}
			page := recorder.Since(0)

			Convey("then the page holds the stamp of the newest dropped notable event", func() {
				So(page.DroppedNotable, ShouldEqual, uint64(1))
				So(page.NotableLost.Before(page.Events[0].Stamp), ShouldBeTrue)
				So(page.NotableLost.WallUS, ShouldBeGreaterThan, int64(0))
			})
		})
	})
}

func TestMergeOrdersAnEffectAfterItsCauseDespiteClockSkew(t *testing.T) {
	Convey("Given a cause recorded by a process whose clock is an hour ahead", t, func() {
		cause, effect := NewRecorder("z-cause", ""), NewRecorder("a-effect", "")
		cause.clock.WallUS = time.Now().Add(time.Hour).UnixMicro()
		cause.Record(Event{Kind: VersionAccepted})

		Convey("when the process that records the effect has received a message with its stamp", func() {
			effect.Observe(cause.Now())
			effect.Record(Event{Kind: VersionInForce})

			Convey("then the merged events have the cause first", func() {
				events := Merge([]Page{effect.Since(0), cause.Since(0)})
				So(events[0].Kind, ShouldEqual, VersionAccepted)
				So(events[1].Kind, ShouldEqual, VersionInForce)
			})
		})
	})
}

func TestFilter(t *testing.T) {
	Convey("Given a filter with every field", t, func() {
		filter := Filter{Request: "r", VM: "v", Service: "s", Wave: "w", Kind: VMLost, Version: 3,
			From: time.UnixMicro(1).UTC(), To: time.UnixMicro(9).UTC()}

		Convey("it is unchanged when its query is parsed", func() {
			parsed, err := ParseFilter(filter.Query())
			So(err, ShouldBeNil)
			So(parsed, ShouldResemble, filter)
		})
		Convey("it matches an event with equal fields before its end time", func() {
			event := Event{Request: "r", VM: "v", Service: "s", Wave: "w", Kind: VMLost, Version: 3, Stamp: Stamp{WallUS: 8}}
			So(filter.Matches(event), ShouldBeTrue)
			event.Stamp.WallUS = 9
			So(filter.Matches(event), ShouldBeFalse)
		})
	})
}
