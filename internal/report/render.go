package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"arbutusward.example/arbutusward/internal/report/plot"
)

// maxRows is the largest number of requests in each list of the HTML page and the
// text. The JSON form lists all.
const maxRows = 1000

//go:embed page.html
var pageText string

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"time":   formatTime,
	"until":  formatEnd,
	"join":   func(values []string) string { return strings.Join(values, ", ") },
	"svg":    PoolPlot,
	"firsts": firstRows,
	"more":   func(rows []RequestEvent) int { return max(0, len(rows)-maxRows) },
}).Parse(pageText))

// WriteHTML writes the report as one self-contained HTML page.
func (r Report) WriteHTML(w io.Writer) error {
	if err := page.Execute(w, r); err != nil {
		return fmt.Errorf("write report page: %w", err)
	}
	return nil
}

// PoolPlot draws a pool's capacity and promised slots over the span of the report.
func PoolPlot(r Report, m PoolMargin) template.HTML {
	return plot.Plot{
		Title:       "Slots of pool " + m.Pool,
		Description: fmt.Sprintf("Capacity against %d promised slots; lowest margin %d at %s", m.Promised, m.Lowest, formatTime(m.LowestAt)),
		From:        r.From, To: r.To,
		Lines: []plot.Line{
			{Name: "slots that could serve", Color: "#0a5a8c", Points: m.Capacity},
			{Name: "slots promised", Color: "#a33", Dashed: true, Points: []plot.Point{{At: r.From, Value: float64(m.Promised)}}},
		},
	}.SVG()
}

func formatTime(at time.Time) string { return at.UTC().Format("2006-01-02 15:04:05.000") }

// formatEnd formats the end of an interruption, which may not have been recorded.
func formatEnd(at *time.Time) string {
	if at == nil {
		return "no end seen"
	}
	return formatTime(*at)
}

// firstRows returns the first maxRows rows.
func firstRows(rows []RequestEvent) []RequestEvent { return rows[:min(len(rows), maxRows)] }

// WriteText writes the report as text tables for a terminal.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "Disclosure for %s from %s to %s UTC, version %d\n", r.Deployment, formatTime(r.From), formatTime(r.To), r.Version)
	r.writeCoverage(table)
	r.writeInterruptions(table)
	r.writeRequests(table)
	r.writeBudgets(table)
	return table.Flush()
}

func (r Report) writeBudgets(w io.Writer) {
	fmt.Fprintf(w, "\nBUDGETS\nPOOL\tPROMISED\tLOWEST MARGIN\tAT\tKNOWN SINCE\tCAUSE\n")
	for _, m := range r.Pools {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\n", m.Pool, m.Promised, m.Lowest, formatTime(m.LowestAt), formatTime(m.KnownSince), strings.Join(m.Causes, "; "))
	}
	if len(r.Gaps) > 0 {
		fmt.Fprintln(w, "some processes hold only a part of the span, so a margin may have been lower than shown")
	}
}

// writeCoverage writes what could not be collected and which processes answered.
func (r Report) writeCoverage(w io.Writer) {
	fmt.Fprintf(w, "\nNOT COLLECTED\n")
	if r.Complete {
		fmt.Fprintln(w, "nothing: every known process answered and holds the whole span")
	}
	for _, u := range r.Unreachable {
		fmt.Fprintf(w, "%s at %s was not reached: %s\n", u.Process, u.Address, u.Reason)
	}
	for _, gap := range r.Gaps {
		fmt.Fprintf(w, "%s has no events until %s: %s\n", gap.Process, formatTime(gap.Until), gap.Reason)
	}
	fmt.Fprintf(w, "\nCOLLECTED\nPROCESS\tEVENTS\tDROPPED\n")
	for _, s := range r.Sources {
		fmt.Fprintf(w, "%s\t%d\t%d\n", s.Process, s.Events, s.Dropped)
	}
}

func (r Report) writeInterruptions(w io.Writer) {
	fmt.Fprintf(w, "\nINTERRUPTIONS (%d)\nKIND\tSUBJECT\tFROM\tTO\tSEEN BY\tCAUSE\n", len(r.Interruptions))
	for _, i := range r.Interruptions {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", i.Kind, i.Subject, formatTime(i.From), formatEnd(i.To), strings.Join(i.SeenBy, ","), i.Cause)
	}
}

func (r Report) writeRequests(w io.Writer) {
	fmt.Fprintf(w, "\nREFUSALS (%d)\nSERVICE\tCOUNT\tFIRST\tLAST\tREASON\n", len(r.RefusedRequests))
	for _, g := range r.Refusals {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", g.Service, g.Count, formatTime(g.First), formatTime(g.Last), g.Reason)
	}
	writeRows(w, "REFUSED REQUESTS", r.RefusedRequests)
	writeRows(w, "UNKNOWN OUTCOMES", r.UnknownRequests)
	fmt.Fprintf(w, "\nREFUSED DOCUMENTS (%d)\n", len(r.RefusedVersions))
	for _, v := range r.RefusedVersions {
		fmt.Fprintf(w, "%s\t%s\n", formatTime(v.At), v.Reason)
	}
}

func writeRows(w io.Writer, title string, rows []RequestEvent) {
	fmt.Fprintf(w, "\n%s (%d)\nAT\tREQUEST\tSERVICE\tVM\tPROCESS\tREASON\n", title, len(rows))
	for _, row := range firstRows(rows) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", formatTime(row.At), row.Request, row.Service, row.VM, row.Process, row.Reason)
	}
	if len(rows) > maxRows {
		fmt.Fprintf(w, "and %d more, which the JSON form lists\n", len(rows)-maxRows)
	}
}
