package capacity

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFit(t *testing.T) {
	Convey("Points on a line are fitted without error", t, func() {
		line := Fit([]Point{{50, 110}, {200, 410}, {800, 1610}, {2000, 4010}})
		So(line.Slope, ShouldAlmostEqual, 2, 1e-9)
		So(line.Base, ShouldAlmostEqual, 10, 1e-6)
		So(line.Error, ShouldAlmostEqual, 0, 1e-6)
		So(line.At(2000), ShouldAlmostEqual, 4010, 1e-6)
	})
	Convey("Deviations from the line show in Error and R2", t, func() {
		line := Fit([]Point{{1, 1}, {2, 3}, {3, 2}, {4, 4}})
		So(line.Error, ShouldBeGreaterThan, 0)
		So(line.R2, ShouldBeLessThan, 1)
	})
	Convey("Points of a single size give a constant line", t, func() {
		line := Fit([]Point{{5, 7}, {5, 9}})
		So(line.At(100), ShouldEqual, 8)
		So(math.IsNaN(line.R2), ShouldBeFalse)
	})
}
