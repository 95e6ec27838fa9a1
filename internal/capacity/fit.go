// Package capacity fits measured costs to a line, so that a cost can be
// worked out for sizes that were not measured.
package capacity

import "math"

// Point is one measurement: a cost at a size.
type Point struct{ Size, Cost float64 }

// Line is a fitted cost = Base + Slope * size.
type Line struct {
	Base, Slope float64
	// Error is the root mean square of the residuals, in the unit of the cost.
	Error float64
	// R2 is the share of the variance that the line explains, 0 to 1.
	R2 float64
}

// Fit returns the least-squares line through the points. It needs two
// different sizes; with fewer the slope is 0.
func Fit(points []Point) Line {
	n := float64(len(points))
	if n == 0 {
		return Line{}
	}
	var meanSize, meanCost float64
	for _, p := range points {
		meanSize += p.Size / n
		meanCost += p.Cost / n
	}
	var sizes, both, costs float64
	for _, p := range points {
		sizes += (p.Size - meanSize) * (p.Size - meanSize)
		both += (p.Size - meanSize) * (p.Cost - meanCost)
		costs += (p.Cost - meanCost) * (p.Cost - meanCost)
	}
	line := Line{Base: meanCost}
	if sizes > 0 {
		line.Slope = both / sizes
		line.Base = meanCost - line.Slope*meanSize
	}
	line.Error, line.R2 = quality(points, line, costs)
	return line
}

// At returns the cost at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

func quality(points []Point, line Line, costs float64) (rms, r2 float64) {
	var residuals float64
	for _, p := range points {
		d := p.Cost - line.At(p.Size)
		residuals += d * d
	}
	rms = math.Sqrt(residuals / float64(len(points)))
	if costs == 0 {
		return rms, 1
	}
	return rms, 1 - residuals/costs
}
