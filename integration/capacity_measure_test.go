//go:build capacity

package integration

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/capacity"
)

// Times and number of changes of a capacity run.
const (
	warmUp          = 6 * time.Second
	observationTime = 10 * time.Second
	// changes is the number of documents submitted one after another.
	changes = 12
)

// zonesAtTarget and vmSizes follow the size that users plan for in the long run.
const zonesAtTarget = 7

var vmSizes = []int{50, 200, 500, 1000, 2000}

// clockTicks is the number of clock ticks per second, the unit of the CPU times
// in /proc.
const clockTicks = 100

// sample is the use of resources by one process since its start.
type sample struct {
	cpu time.Duration
	// rss is the resident memory in bytes.
	rss int64
	// sent and received are the bytes of messages on links.
	sent, received float64
}

// sample reads the CPU time and memory of the process from /proc.
func (p *process) sample() sample {
	p.t.Helper()
	pid := p.cmd.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	must(p.t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	must(p.t, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	must(p.t, err)
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	must(p.t, err)
	return sample{cpu: time.Duration(user+system) * time.Second / clockTicks, rss: pages * int64(os.Getpagesize())}
}

// linkBytes returns the sample with the link counters from the metrics of the
// process.
func (d *deployment) linkBytes(s sample, admin string) sample {
	d.t.Helper()
	var text adminclient.Raw
	must(d.t, d.client.DoAt(context.Background(), admin, http.MethodGet, "/metrics", nil, &text))
	for line := range strings.Lines(string(text.Body)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "} ")
		number, err := strconv.ParseFloat(value, 64)
		switch {
		case err != nil:
		case name == `arbutus_link_message_bytes_total{direction="sent"`:
			s.sent = number
		case name == `arbutus_link_message_bytes_total{direction="received"`:
			s.received = number
		}
	}
	return s
}

// largeFleetDocument returns a fleet document with the given number of VMs in 7 zones.
// Documents of different revisions differ in the deployment's name and the
// deadline of one service.
func largeFleetDocument(vms, revision int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"schema": 1, "deployment": "large-%d", "weights": {"buffer": 1, "rollout": 1, "moves": 1}, "zones": [`, revision)
	for z := range zonesAtTarget {
		fmt.Fprintf(&b, `%s{"name": "z%d", "racks": ["r%d"]}`, comma(z), z, z)
	}
	pools := max(5, vms*217/2000)
	b.WriteString(`], "pools": [`)
	for p := range pools {
		fmt.Fprintf(&b, `%s{"name": "p%d", "tolerate": {"racks": 0, "vms": 0}}`, comma(p), p)
	}
	b.WriteString(`], "vms": [`)
	for v := range vms {
		fmt.Fprintf(&b, `%s{"name": "w%d", "pool": "p%d", "zone": "z%d", "rack": "r%d", "cpu_cores": 64, "memory_gib": 256}`, comma(v), v, v%pools, v%zonesAtTarget, v%zonesAtTarget)
	}
	b.WriteString(`], "services": [`)
	for p := range pools {
		fmt.Fprintf(&b, `%s{"name": "s%d", "pool": "p%d", "path_prefix": "/s%d/", "class": "interactive", "deadline_ms": %d, "budget": {"promised_slots": 0}}`, comma(p), p, p, p, 3000+boolInt(p == 0)*revision)
	}
	b.WriteString(`]}`)
	return b.String()
}

func comma(i int) string {
	if i == 0 {
		return ""
	}
	return ", "
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// costs holds the measured points by the name of the cost.
type costs map[string][]capacity.Point

func (c costs) add(name string, size int, cost float64) {
	c[name] = append(c[name], capacity.Point{Size: float64(size), Cost: cost})
}

// TestCapacity measures the steady state and changes of the document at five
// sizes and prints the fitted lines. It checks no limits.
func TestCapacity(t *testing.T) {
	measured := costs{}
	for _, size := range vmSizes {
		t.Run(fmt.Sprintf("vms=%d", size), func(t *testing.T) { measureSize(t, size, measured) })
	}
	for _, name := range []string{
		"control cpu, share of a core", "control memory, MB", "control link, KB/s",
		"entry cpu, share of a core", "entry memory, MB", "entry link messages, KB/s", "entry to control on the wire, KB/s",
		"time to in force, ms", "control cpu a change, ms", "entry cpu a change, ms", "entry bytes a change on the wire",
	} {
		line := capacity.Fit(measured[name])
		fmt.Printf("| %s |", name)
		for _, point := range measured[name] {
			fmt.Printf(" %.4g |", point.Cost)
		}
		fmt.Printf(" %.4g + %.4g per VM | %.2g | %.3f |\n", line.Base, line.Slope, line.Error, line.R2)
	}
}

// measureSize measures all costs with the given number of VMs.
func measureSize(t *testing.T, size int, measured costs) {
	d := newDeployment(t)
	d.addControls("z0")
	control := d.controls["control-1"]
	relay := newUDPRelay(t, control.settings.Link)
	var entries []*entryProcess
	for z := range zonesAtTarget {
		link := control.settings.Link
		if z == 0 {
			link = relay.address
		}
		entries = append(entries, d.addEntry(fmt.Sprintf("entry-%d", z), fmt.Sprintf("z%d", z), link))
	}
	d.apply(largeFleetDocument(size, 0))
	d.waitInForce(20 * time.Second)
	pools := max(5, size*217/2000)
	for v := range size {
		d.addTarget(fmt.Sprintf("w%d", v), fmt.Sprintf("p%d", v%pools), fmt.Sprintf("z%d", v%zonesAtTarget), fmt.Sprintf("s%d", v%pools))
	}
	time.Sleep(warmUp)
	measureSteady(d, control, entries[0], relay, size, measured)
	measureChanges(d, control, entries[0], relay, size, measured)
}

// wireBytes returns the number of bytes relayed in both directions.
func (r *relay) wireBytes() int64 { return r.toServer.passed.Load() + r.toClient.passed.Load() }

// measureSteady measures the costs while nothing changes.
func measureSteady(d *deployment, control *controlProcess, entry *entryProcess, relay *relay, size int, measured costs) {
	controlBefore := d.linkBytes(control.sample(), control.settings.Admin)
	entryBefore := d.linkBytes(entry.sample(), entry.settings.Admin)
	wireBefore := relay.wireBytes()
	start := time.Now()
	time.Sleep(observationTime)
	seconds := time.Since(start).Seconds()
	wire := float64(relay.wireBytes() - wireBefore)
	controlAfter := d.linkBytes(control.sample(), control.settings.Admin)
	entryAfter := d.linkBytes(entry.sample(), entry.settings.Admin)
	addSteady(measured, "control", size, seconds, controlBefore, controlAfter)
	addSteady(measured, "entry", size, seconds, entryBefore, entryAfter)
	measured.add("control link, KB/s", size, messageBytes(controlBefore, controlAfter)/seconds/1000)
	measured.add("entry link messages, KB/s", size, messageBytes(entryBefore, entryAfter)/seconds/1000)
	measured.add("entry to control on the wire, KB/s", size, wire/seconds/1000)
}

func addSteady(measured costs, program string, size int, seconds float64, before, after sample) {
	measured.add(program+" cpu, share of a core", size, (after.cpu-before.cpu).Seconds()/seconds)
	measured.add(program+" memory, MB", size, float64(after.rss)/1e6)
}

func messageBytes(before, after sample) float64 {
	return after.sent + after.received - before.sent - before.received
}

// measureChanges submits documents that each change one service. The costs of a
// change are those above the steady state.
func measureChanges(d *deployment, control *controlProcess, entry *entryProcess, relay *relay, size int, measured costs) {
	controlBefore, entryBefore, wireBefore := control.sample(), entry.sample(), relay.wireBytes()
	start := time.Now()
	slowest := time.Duration(0)
	for revision := range changes {
		submitted := time.Now()
		d.apply(largeFleetDocument(size, revision+1))
		d.waitInForce(10 * time.Second)
		slowest = max(slowest, time.Since(submitted))
	}
	elapsed := time.Since(start).Seconds()
	steadyControl := lastCost(measured, "control cpu, share of a core") * elapsed
	steadyEntry := lastCost(measured, "entry cpu, share of a core") * elapsed
	steadyWire := lastCost(measured, "entry to control on the wire, KB/s") * 1000 * elapsed
	measured.add("time to in force, ms", size, float64(slowest.Milliseconds()))
	measured.add("control cpu a change, ms", size, 1000*((control.sample().cpu-controlBefore.cpu).Seconds()-steadyControl)/changes)
	measured.add("entry cpu a change, ms", size, 1000*((entry.sample().cpu-entryBefore.cpu).Seconds()-steadyEntry)/changes)
	measured.add("entry bytes a change on the wire", size, (float64(relay.wireBytes()-wireBefore)-steadyWire)/changes)
}

func lastCost(measured costs, name string) float64 {
	points := measured[name]
	return points[len(points)-1].Cost
}
