package integration

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The crowd of the tests below, and what the settings files grant the processes.
// The bounds of the tests are these grants.
const (
	crowdSize        = 400
	crowdBodyBytes   = 262_144
	crowdHeadBytes   = 900_000
	crowdBlankBytes  = 64 << 10
	crowdWriteLimit  = 15 * time.Second
	crowdPieceBytes  = 16 << 10
	crowdAnswerLimit = 30 * time.Second
	// A body far over the limit announces crowdHugeBytes, of which crowdSentBytes are sent.
	crowdHugeBytes = 1 << 30
	crowdSentBytes = 16 << 20
)

var (
	crowdEntryGrant   = grant{memoryMB: 96, descriptors: 360}
	crowdControlGrant = grant{memoryMB: 128, descriptors: 360}
)

// crowdShape is what each connection of a crowd sends. The connections stay open
// afterwards. Last, if any, is sent by all connections at once when each has sent
// the rest.
type crowdShape struct {
	name string
	send func(conn net.Conn, path string)
	last string
}

// crowdShapes are requests that exceed the limits, or bodies of legal size that
// stop just before their end.
var crowdShapes = []crowdShape{
	{name: "a long line in the head", send: sendLongLine},
	{name: "short lines in the head", send: sendShortLines},
	{name: "blank lines", send: sendBlankLines},
	{name: "a first line without end", send: sendFirstLine},
	{name: "whole bodies", send: func(conn net.Conn, path string) { sendBody(conn, path, crowdBodyBytes) }},
	{name: "bodies in pieces", send: func(conn net.Conn, path string) { sendBody(conn, path, crowdPieceBytes) }},
	{name: "large chunks", send: func(conn net.Conn, path string) { sendChunks(conn, path, crowdPieceBytes) }},
	{name: "small chunks", send: func(conn net.Conn, path string) { sendChunks(conn, path, 8) }},
	{name: "a huge body, announced", send: sendHugeBody},
	{name: "a huge body, chunked", send: sendHugeChunks},
	{name: "many steps", send: func(conn net.Conn, path string) { sendManyElements(conn, path, "steps") }, last: "}"},
	{name: "many routes", send: func(conn net.Conn, path string) { sendManyElements(conn, path, "routes") }, last: "}"},
}

// writeAll writes pieces until one can't be written.
func writeAll(conn net.Conn, pieces ...string) bool {
	for _, piece := range pieces {
		if _, err := conn.Write([]byte(piece)); err != nil {
			return false
		}
	}
	return true
}

func sendLongLine(conn net.Conn, path string) {
	writeAll(conn, "GET "+path+" HTTP/1.1\r\nHost: h.example\r\nX-Long: ", strings.Repeat("a", crowdHeadBytes))
}

func sendShortLines(conn net.Conn, path string) {
	line := "X-1: 1\r\n"
	writeAll(conn, "GET "+path+" HTTP/1.1\r\nHost: h.example\r\n", strings.Repeat(line, crowdHeadBytes/len(line)))
}

func sendBlankLines(conn net.Conn, _ string) {
	writeAll(conn, strings.Repeat("\r\n", crowdBlankBytes/2))
}

func sendFirstLine(conn net.Conn, path string) {
	writeAll(conn, "GET "+path, strings.Repeat("a", crowdHeadBytes))
}

// sendBody sends all but the last bytes of a body of known length, in pieces.
func sendBody(conn net.Conn, path string, piece int) {
	if !writeAll(conn, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n", path, crowdBodyBytes)) {
		return
	}
	body := bytes.Repeat([]byte(" "), crowdBodyBytes-10)
	for len(body) > 0 {
		n := min(piece, len(body))
		if _, err := conn.Write(body[:n]); err != nil {
			return
		}
		body = body[n:]
	}
}

// sendChunks sends a chunked body without its last chunk.
func sendChunks(conn net.Conn, path string, size int) {
	if !writeAll(conn, "POST "+path+" HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat(" ", size))
	together := max(1, crowdPieceBytes/size)
	for range crowdBodyBytes / size / together {
		if !writeAll(conn, strings.Repeat(chunk, together)) {
			return
		}
	}
}

// sendHugeBody announces a body far over the limit and sends a part of it.
func sendHugeBody(conn net.Conn, path string) {
	if writeAll(conn, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n", path, crowdHugeBytes)) {
		sendRepeated(conn, strings.Repeat(" ", crowdPieceBytes))
	}
}

// sendHugeChunks sends a chunked body far over the limit.
func sendHugeChunks(conn net.Conn, path string) {
	if writeAll(conn, "POST "+path+" HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n") {
		sendRepeated(conn, fmt.Sprintf("%x\r\n%s\r\n", crowdPieceBytes, strings.Repeat(" ", crowdPieceBytes)))
	}
}

// sendRepeated sends a piece until crowdSentBytes are sent.
func sendRepeated(conn net.Conn, piece string) {
	for range crowdSentBytes / len(piece) {
		if !writeAll(conn, piece) {
			return
		}
	}
}

// sendManyElements sends a body that decodes to many times its length, without its
// last byte.
func sendManyElements(conn net.Conn, path, list string) {
	elements := strings.Repeat("{},", (crowdBodyBytes-20)/3)
	body := `{"` + list + `":[` + elements + `{}]`
	writeAll(conn, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n", path, len(body)+1), body)
}

// crowd is a set of connections to one address.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// run opens the connections and sends the shape on each. It returns when all have
// sent what they could.
func (c *crowd) run(address, path string, shape crowdShape) {
	c.each(crowdSize, func(i int) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c.mu.Lock()
		c.conns = append(c.conns, conn)
		c.mu.Unlock()
		_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteLimit))
		shape.send(conn, fmt.Sprintf(path, i))
	})
	if shape.last != "" {
		c.each(len(c.conns), func(i int) { writeAll(c.conns[i], shape.last) })
	}
}

// each calls a function with each number below a count, all at once.
func (c *crowd) each(count int, f func(i int)) {
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() { f(i) })
	}
	all.Wait()
}

func (c *crowd) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// descriptorWatch samples the number of open descriptors of a process.
type descriptorWatch struct {
	stop    chan struct{}
	highest chan int
}

func watchDescriptors(pid int) *descriptorWatch {
	w := &descriptorWatch{stop: make(chan struct{}), highest: make(chan int, 1)}
	go w.run(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	return w
}

func (w *descriptorWatch) run(dir string) {
	highest := 0
	for {
		open, _ := os.ReadDir(dir)
		highest = max(highest, len(open))
		select {
		case <-w.stop:
			w.highest <- highest
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// end returns the highest number of descriptors seen.
func (w *descriptorWatch) end() int {
	close(w.stop)
	return <-w.highest
}

// peakMemoryMB returns the peak of a process's resident memory.
func peakMemoryMB(t *testing.T, pid int) int {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	must(t, err)
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			must(t, err)
			return kilobytes >> 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// crowdTarget is a port that a crowd calls.
type crowdTarget struct {
	name    string
	process *process
	granted grant
	address string
	// path holds a place for the number of a connection.
	path string
}

func (h *hosted) crowdTargets() []crowdTarget {
	entry, control := h.entryIP(0), h.controlIP(0)
	at := func(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	return []crowdTarget{
		{"clients", h.entries[0], h.entryGrant, at(entry, hostedFront), "/q/%016x"},
		{"readiness", h.entries[0], h.entryGrant, at(entry, hostedReady), "/ready?%d"},
		{"entry metrics", h.entries[0], h.entryGrant, at(entry, hostedFirstPort+1), "/metrics?%d"},
		{"control", h.controls[0], h.controlGrant, at(control, hostedControl), "/config/replace?%d"},
		{"control metrics", h.controls[0], h.controlGrant, at(control, hostedFirstPort+1), "/metrics?%d"},
	}
}

// crowdLimits replaces the limits of the configuration of the tests.
const crowdLimits = `"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}`

// newCrowded starts a control process and an entry with the grants that a crowd must not
// exceed, and configures them.
func newCrowded(t *testing.T) *hosted {
	t.Helper()
	h := newHosted(t, 1, 1, func(h *hosted) {
		h.entryGrant, h.controlGrant = crowdEntryGrant, crowdControlGrant
		h.limits = crowdLimits
	})
	h.configure()
	return h
}

// TestHostedCrowdDoesNotExhaustAProcess guards against the loss of a process by
// clients that exceed the limits or stop just before the end of a request: each
// used up to a megabyte and a descriptor. It fails if the process ends, exceeds
// the memory or the descriptors of its settings file, or no longer serves.
func TestHostedCrowdDoesNotExhaustAProcess(t *testing.T) {
	h := newCrowded(t)
	h.submit(jobID(1<<40), 1, 50*time.Millisecond)
	for _, target := range h.crowdTargets() {
		for number, shape := range crowdShapes {
			t.Run(target.name+"/"+shape.name, func(t *testing.T) { h.face(t, target, shape, number) })
		}
	}
}

// face starts the process anew, lets a crowd call it and checks the process.
func (h *hosted) face(t *testing.T, target crowdTarget, shape crowdShape, number int) {
	target.process.kill()
	target.process.start()
	h.awaitServed(t, number)
	descriptors := watchDescriptors(target.process.cmd.Process.Pid)
	var c crowd
	defer c.close()
	c.run(target.address, target.path, shape)
	h.awaitServed(t, number)
	h.checkGrant(t, target.process, descriptors, target.granted)
}

// awaitServed waits until a submission and a read of the configuration are
// answered.
func (h *hosted) awaitServed(t *testing.T, number int) {
	t.Helper()
	body := `{"spec":"1ms","steps":[{"count":1,"cpu":1,"mem_mb":1}]}`
	eventually(t, crowdAnswerLimit, "an ordinary submission is accepted", func() error {
		return h.checkServed(number, body)
	})
}

func (h *hosted) checkServed(number int, body string) error {
	h.client.CloseIdleConnections()
	if status, _ := h.request(0, http.MethodPost, "/q/"+jobID(1<<41+number), body); status != http.StatusOK {
		return fmt.Errorf("submission: status %d", status)
	}
	response, err := h.client.Get("http://" + h.controlAddresses()[0] + "/config/read")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("configuration: %s", response.Status)
	}
	return nil
}
