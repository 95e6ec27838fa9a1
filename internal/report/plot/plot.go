// Package plot draws step lines over time as plain SVG. The SVG has no scripts and
// no inline styles, so that it can be embedded in a page with a strict Content
// Security Policy and in a stand-alone file.
package plot

import (
	"fmt"
	"html"
	"html/template"
	"strings"
	"time"
)

// Size of a plot and of its margins, in user units.
const (
	width        = 720
	height       = 200
	marginLeft   = 48
	marginRight  = 12
	marginTop    = 12
	marginBottom = 40
)

// gridLines is the number of labelled grid lines above zero.
const gridLines = 4

// Point is a value that holds from its time on, up to the next point.
type Point struct {
	At    time.Time `json:"at"`
	Value float64   `json:"value"`
}

// Line is one step line.
type Line struct {
	Name string
	// Color is an SVG color. Dashed distinguishes the line for readers who can't
	// see the color.
	Color  string
	Dashed bool
	Points []Point
}

// Plot is a set of step lines over one span of time.
type Plot struct {
	// Title and Description are read out by screen readers.
	Title, Description string
	From, To           time.Time
	Lines              []Line
}

// SVG returns the plot as an svg element.
func (p Plot) SVG() template.HTML {
	var out strings.Builder
	fmt.Fprintf(&out, `<svg class="plot" role="img" viewBox="0 0 %d %d" width="%d" height="%d" font-family="sans-serif" font-size="11">`, width, height, width, height)
	fmt.Fprintf(&out, "<title>%s</title><desc>%s</desc>", html.EscapeString(p.Title), html.EscapeString(p.Description))
	top := p.top()
	p.drawGrid(&out, top)
	for i, line := range p.Lines {
		p.drawLine(&out, line, top)
		p.drawLegend(&out, line, i)
	}
	out.WriteString("</svg>")
	// All text is escaped above.
	return template.HTML(out.String())
}

// top returns the value at the upper edge of the plot, which is the smallest
// multiple of gridLines that is at least the largest value.
func (p Plot) top() float64 {
	largest := 1.0
	for _, line := range p.Lines {
		for _, point := range line.Points {
			largest = max(largest, point.Value)
		}
	}
	step := 1.0
	for step*gridLines < largest {
		step++
	}
	return step * gridLines
}

// x returns the horizontal position of a time, clamped to the plot.
func (p Plot) x(at time.Time) float64 {
	span := p.To.Sub(p.From)
	if span <= 0 {
		return marginLeft
	}
	share := float64(at.Sub(p.From)) / float64(span)
	return marginLeft + min(max(share, 0), 1)*(width-marginLeft-marginRight)
}

// y returns the vertical position of a value.
func y(value, top float64) float64 {
	return height - marginBottom - value/top*(height-marginTop-marginBottom)
}

// drawGrid draws the grid lines with their values and the limits of the time axis.
func (p Plot) drawGrid(out *strings.Builder, top float64) {
	for i := 0; i <= gridLines; i++ {
		value := top * float64(i) / gridLines
		at := y(value, top)
		fmt.Fprintf(out, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ccc"/>`, marginLeft, width-marginRight, at, at)
		fmt.Fprintf(out, `<text x="%d" y="%.1f" text-anchor="end" fill="#333">%g</text>`, marginLeft-6, at+4, value)
	}
	labels := height - marginBottom + 14
	fmt.Fprintf(out, `<text x="%d" y="%d" fill="#333">%s</text>`, marginLeft, labels, p.From.UTC().Format("2006-01-02 15:04:05"))
	fmt.Fprintf(out, `<text x="%d" y="%d" text-anchor="end" fill="#333">%s UTC</text>`, width-marginRight, labels, p.To.UTC().Format("2006-01-02 15:04:05"))
}

// drawLine draws one step line.
func (p Plot) drawLine(out *strings.Builder, line Line, top float64) {
	if len(line.Points) == 0 {
		return
	}
	var path strings.Builder
	for i, point := range line.Points {
		if i == 0 {
			fmt.Fprintf(&path, "M%.1f %.1f", p.x(point.At), y(point.Value, top))
			continue
		}
		fmt.Fprintf(&path, "H%.1fV%.1f", p.x(point.At), y(point.Value, top))
	}
	fmt.Fprintf(&path, "H%.1f", p.x(p.To))
	fmt.Fprintf(out, `<path d="%s" fill="none" stroke="%s" stroke-width="2"%s/>`, path.String(), html.EscapeString(line.Color), dashes(line))
}

// drawLegend draws the legend entry of a line below the time axis.
func (p Plot) drawLegend(out *strings.Builder, line Line, index int) {
	left := marginLeft + index*180
	at := height - 8
	fmt.Fprintf(out, `<line x1="%d" x2="%d" y1="%d" y2="%d" stroke="%s" stroke-width="2"%s/>`,
		left, left+24, at-4, at-4, html.EscapeString(line.Color), dashes(line))
	fmt.Fprintf(out, `<text x="%d" y="%d" fill="#333">%s</text>`, left+30, at, html.EscapeString(line.Name))
}

// dashes returns the SVG attribute of a dashed line, or "".
func dashes(line Line) string {
	if !line.Dashed {
		return ""
	}
	return ` stroke-dasharray="6 4"`
}
