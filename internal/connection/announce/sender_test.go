package announce

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/keys"
)

// aLongTime is longer than any test, also on a busy machine.
const aLongTime = time.Hour

// entryPort is the port for announcements of an entry that can be stalled.
type entryPort struct {
	t        *testing.T
	table    *Table
	listener net.Listener
	server   *http.Server
	token    string
}

func newEntryPort(t *testing.T) *entryPort {
	t.Helper()
	ca := t.TempDir() + "/ca"
	check(t, keys.Init(ca))
	ring, err := keys.LoadCA(ca)
	check(t, err)
	token, err := keys.IssueToken(ca, keys.Claims{Role: keys.Target, Subject: "booking", Expires: time.Now().Add(time.Hour).Unix()})
	check(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	table := newTestTable("entry")
	table.guard.lastTick = time.Now().Add(aLongTime)
	p := &entryPort{t: t, table: table, listener: listener, token: token}
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	p.table.Register(engine, ring)
	p.server = &http.Server{Handler: engine, ConnContext: ConnContext}
	t.Cleanup(func() { _ = p.server.Close() })
	return p
}

func (p *entryPort) serve() { go func() { _ = p.server.Serve(p.listener) }() }

// endStall lets the entry find that it was suspended until now. It distrusts
// for the rest of the test what may have been sent before.
func (p *entryPort) endStall() {
	now := time.Now()
	p.table.guard.mu.Lock()
	p.table.guard.stallEnd, p.table.guard.distrustUntil = now, now.Add(aLongTime)
	p.table.guard.mu.Unlock()
	time.Sleep(3 * arrivalPrecision)
}

func (p *entryPort) connect() net.Conn {
	p.t.Helper()
	connection, err := net.Dial("tcp", p.listener.Addr().String())
	check(p.t, err)
	p.t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// send writes an announcement of a VM.
func (p *entryPort) send(connection net.Conn, vm string) {
	p.t.Helper()
	body, err := json.Marshal(announcement(vm, 1))
	check(p.t, err)
	request, err := http.NewRequest(http.MethodPost, "http://entry/v1/targets", bytes.NewReader(body))
	check(p.t, err)
	request.Header.Set("Authorization", "Bearer "+p.token)
	check(p.t, request.Write(connection))
}

// expect reads an answer and checks its status.
func (p *entryPort) expect(connection net.Conn, status int, what string) {
	p.t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	check(p.t, err)
	defer answer.Body.Close()
	if answer.StatusCode != status {
		p.t.Errorf("%s: status %d, expected %d", what, answer.StatusCode, status)
	}
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestAnnouncementThatWaitedDuringAStallIsRefused guards against a lease for a target that is gone, whose announcement waited in the socket of a stopped entry.
func TestAnnouncementThatWaitedDuringAStallIsRefused(t *testing.T) {
	p := newEntryPort(t)
	waiting := p.connect()
	p.send(waiting, "vm1")
	time.Sleep(50 * time.Millisecond)
	p.endStall()
	p.serve()
	p.expect(waiting, http.StatusServiceUnavailable, "an announcement that arrived during the stall")
}

// TestAnnouncementOnAnOldConnectionIsRefusedOnceAfterAStall guards against a lease for a target that is gone, whose kernel repeats an announcement to a machine that was stopped.
func TestAnnouncementOnAnOldConnectionIsRefusedOnceAfterAStall(t *testing.T) {
	p := newEntryPort(t)
	p.serve()
	old := p.connect()
	p.send(old, "vm1")
	p.expect(old, http.StatusOK, "before the stall")
	p.endStall()
	p.send(old, "vm1")
	p.expect(old, http.StatusServiceUnavailable, "the first announcement after the stall")
	time.Sleep(3 * arrivalPrecision)
	p.send(old, "vm1")
	p.expect(old, http.StatusOK, "the announcement after the refusal")
}

// TestNewAnnouncementIsTrustedAfterAStall guards against live targets that lose their leases since the entry refuses them after a short stall.
func TestNewAnnouncementIsTrustedAfterAStall(t *testing.T) {
	p := newEntryPort(t)
	p.serve()
	p.endStall()
	fresh := p.connect()
	p.send(fresh, "vm1")
	p.expect(fresh, http.StatusOK, "an announcement on a connection made after the stall")
}
