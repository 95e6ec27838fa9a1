// Package capacity fits a line to measured costs, so that costs can be estimated for
// sizes that were not measured.
package capacity

import "math"

// Point is one measurement: the cost at a size.
type Point struct{ Size, Cost float64 }

// Line is the fitted function cost = Base + Slope * size.
type Line struct {
	Base, Slope float64
	// Error is the root mean square of the residuals, in the unit of the cost.
	Error float64
	// R2 is the coefficient of determination: the share of the variance that the
	// line explains, 0 to 1.
	R2 float64
}

// Fit returns the least-squares line through the points. If the points have fewer
// than two different sizes, the slope is 0.
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
	// Sums of the squared deviations of sizes and costs from their means, and of
	// the products of both deviations.
	var sizeSquares, products, costSquares float64
	for _, p := range points {
		sizeSquares += (p.Size - meanSize) * (p.Size - meanSize)
		products += (p.Size - meanSize) * (p.Cost - meanCost)
		costSquares += (p.Cost - meanCost) * (p.Cost - meanCost)
	}
	line := Line{Base: meanCost}
	if sizeSquares > 0 {
		line.Slope = products / sizeSquares
		line.Base = meanCost - line.Slope*meanSize
	}
	line.Error, line.R2 = fitQuality(points, line, costSquares)
	return line
}

// At returns the cost that the line gives for a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// fitQuality returns the root mean square of the residuals and R2. costSquares is
// the sum of squared deviations of the costs from their mean.
func fitQuality(points []Point, line Line, costSquares float64) (rms, r2 float64) {
	var residuals float64
	for _, p := range points {
		d := p.Cost - line.At(p.Size)
		residuals += d * d
	}
	rms = math.Sqrt(residuals / float64(len(points)))
	if costSquares == 0 {
		return rms, 1
	}
	return rms, 1 - residuals/costSquares
}
