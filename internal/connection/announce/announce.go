// Package announce takes the announcements of targets and keeps their
// leases. It publishes immutable snapshots of the live targets.
package announce

import (
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Times of a lease. A silent target gets no new work once its lease ends.
const (
	LeaseTime    = 2500 * time.Millisecond
	NextInterval = 800 * time.Millisecond
)

// maxAnnouncementBytes bounds the body of one announcement.
const maxAnnouncementBytes = 64 << 10

// Announcement is what a target says of itself, as JSON.
type Announcement struct {
	VM       string   `json:"vm"`
	Address  string   `json:"address"`
	Services []string `json:"services"`
	// Incarnation differs between runs of one target.
	Incarnation string `json:"incarnation"`
	// Leaving says that the target takes no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// Lease is the answer to an announcement.
type Lease struct {
	LeaseMS int64 `json:"lease_ms"`
	// NextMS is when to announce again.
	NextMS int64 `json:"next_ms"`
}

// Target is a target with a lease.
type Target struct {
	Announcement
	// Pool is the pool whose token the target bears.
	Pool string
	// Expires is the end of the lease on the monotonic clock.
	Expires time.Time
}

// Live says whether the target may get new work.
func (t *Target) Live(now time.Time) bool { return !t.Leaving && now.Before(t.Expires) }

// Snapshot is an immutable set of targets by VM.
type Snapshot struct{ Targets map[string]Target }

// Table keeps the leases of one entry. It is safe for concurrent use.
type Table struct {
	recorder *timeline.Recorder
	// onChange is called after a target joined, left or changed.
	onChange func()

	mu        sync.Mutex
	targets   map[string]Target
	published atomic.Pointer[Snapshot]
}

// NewTable returns an empty table.
func NewTable(recorder *timeline.Recorder, onChange func()) *Table {
	t := &Table{recorder: recorder, onChange: onChange, targets: map[string]Target{}}
	t.published.Store(&Snapshot{Targets: map[string]Target{}})
	return t
}

// Snapshot returns the newest published targets.
func (t *Table) Snapshot() *Snapshot { return t.published.Load() }

// Accept stores an announcement from a target that bears a pool's token.
func (t *Table) Accept(a Announcement, pool string) Lease {
	t.mu.Lock()
	known, renewed := t.targets[a.VM]
	changed := !renewed || known.Leaving != a.Leaving || known.Address != a.Address || known.Incarnation != a.Incarnation
	t.targets[a.VM] = Target{Announcement: a, Pool: pool, Expires: time.Now().Add(LeaseTime)}
	t.publishLocked()
	t.mu.Unlock()
	if changed {
		t.recordChange(a)
		t.onChange()
	}
	return Lease{LeaseMS: LeaseTime.Milliseconds(), NextMS: NextInterval.Milliseconds()}
}

func (t *Table) recordChange(a Announcement) {
	kind := timeline.TargetJoined
	if a.Leaving {
		kind = timeline.TargetLeaving
	}
	t.recorder.Record(timeline.Event{Kind: kind, VM: a.VM, Peer: a.Address})
}

// Expire drops targets whose lease ended.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	var lost []Target
	for vm, target := range t.targets {
		if !now.Before(target.Expires) {
			lost = append(lost, target)
			delete(t.targets, vm)
		}
	}
	if len(lost) > 0 {
		t.publishLocked()
	}
	t.mu.Unlock()
	for _, target := range lost {
		t.recorder.Record(timeline.Event{Kind: timeline.TargetLost, VM: target.VM, Peer: target.Address, Cause: "lease ended"})
	}
	if len(lost) > 0 {
		t.onChange()
	}
}

func (t *Table) publishLocked() {
	t.published.Store(&Snapshot{Targets: maps.Clone(t.targets)})
}

// Register adds the announcement route to an engine.
func (t *Table) Register(engine *gin.Engine, ring *keys.Ring) {
	engine.POST("/v1/targets", func(c *gin.Context) { t.serve(c, ring) })
}

func (t *Table) serve(c *gin.Context, ring *keys.Ring) {
	claims, err := ring.CheckToken(bearer(c), time.Now())
	if err != nil || claims.Role != keys.Target {
		c.JSON(http.StatusUnauthorized, gin.H{"code": "bad_token", "message": "expected the token of a pool's targets"})
		return
	}
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxAnnouncementBytes)
	var a Announcement
	if err := c.ShouldBindJSON(&a); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"code": "malformed", "message": err.Error()})
		return
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil || a.VM == "" {
		c.JSON(http.StatusBadRequest, gin.H{"code": "malformed", "message": "expected vm and address as host:port"})
		return
	}
	c.JSON(http.StatusOK, t.Accept(a, claims.Subject))
}

func bearer(c *gin.Context) string {
	const prefix = "Bearer "
	header := c.GetHeader("Authorization")
	if len(header) <= len(prefix) {
		return ""
	}
	return header[len(prefix):]
}
