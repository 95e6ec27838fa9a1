package main

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangs holds the runs of gangs. It is safe for concurrent use.
type gangs struct {
	mu    sync.Mutex
	byRun map[string]*gang
	// whole counts the runs that had all members at a time, alone the members that
	// have waited for the others in vain.
	whole, alone int
}

// gang is one run of a gang.
type gang struct {
	present int
	// began is when all members were present; zero before.
	began time.Time
	// broken is set once a member has ended otherwise than done.
	broken bool
}

// join adds a member to the run of a gang of a size.
func (g *gangs) join(task string, run, size int) *gang {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byRun == nil {
		g.byRun = map[string]*gang{}
	}
	key := task[:strings.LastIndexByte(task, '.')] + "#" + strconv.Itoa(run)
	one := g.byRun[key]
	if one == nil {
		one = &gang{}
		g.byRun[key] = one
	}
	one.present++
	if one.present == size && one.began.IsZero() {
		one.began = time.Now()
		g.whole++
	}
	return one
}

// leave removes a member.
func (g *gangs) leave(one *gang, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	one.present--
	one.broken = one.broken || how != "done"
	if how == "alone" {
		g.alone++
	}
}

// dueEnd returns how a member ends that was started at a time and works for a time, or ""
// if it does not end now.
func (g *gangs) dueEnd(one *gang, started time.Time, works time.Duration) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case one.began.IsZero() && time.Since(started) > gangTimeout:
		return "alone"
	case one.began.IsZero():
		return ""
	case one.broken:
		return "broken"
	case time.Since(one.began) >= works:
		return "done"
	}
	return ""
}

// counts returns how many runs had all members, and how many members ended alone.
func (g *gangs) counts() (whole, alone int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.whole, g.alone
}
