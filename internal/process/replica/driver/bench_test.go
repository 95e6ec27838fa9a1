package driver

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// counter is a state machine that counts the applied commands.
type counter struct{ applied uint64 }

func (c *counter) Apply(_ uint64, command []byte) []byte {
	c.applied++
	if string(command) == suspend {
		time.Sleep(suspension)
	}
	return nil
}

func (c *counter) Snapshot() ([]byte, error) {
	return binary.LittleEndian.AppendUint64(nil, c.applied), nil
}

func (c *counter) Restore(_ uint64, snapshot []byte) error {
	c.applied = binary.LittleEndian.Uint64(snapshot)
	return nil
}

// testProposeInterval lets proposals share messages, as in a hosted deployment.
const testProposeInterval = 8 * time.Millisecond

// startGroup starts the given number of members in this process, with
// loopback links and separate files, and returns the leader.
func startGroup(b testing.TB, size int) *Driver {
	b.Helper()
	return startGroupWithClock(b, size, nil)
}

// startGroupWithClock starts members that share a clock.
func startGroupWithClock(b testing.TB, size int, clock func() time.Duration) *Driver {
	b.Helper()
	g := newGroup(b, size)
	drivers := g.open(clock, func() replica.StateMachine { return &counter{} })
	b.Cleanup(func() { g.stop(drivers) })
	return waitForLeader(b, drivers)
}

// group holds what the members of a log keep when they are restarted.
type group struct {
	testing.TB
	dir     string
	members []replica.Member
	// rings holds the keys of the members.
	rings []*keys.Ring
}

func newGroup(b testing.TB, size int) *group {
	b.Helper()
	g := &group{TB: b, dir: b.TempDir()}
	check(b, keys.Init(g.dir+"/ca"))
	for i := range size {
		id := fmt.Sprintf("control-%d", i+1)
		check(b, keys.Issue(g.dir+"/ca", g.dir+"/"+id, id))
		ring, err := keys.Load(g.dir + "/" + id)
		check(b, err)
		g.rings = append(g.rings, ring)
		g.members = append(g.members, replica.Member{ID: id, Link: "127.0.0.1:0", Admin: "127.0.0.1:1"})
	}
	return g
}

// open starts the members, each with a state machine of its own.
func (g *group) open(clock func() time.Duration, newMachine func() replica.StateMachine) []*Driver {
	g.Helper()
	var nodes []*link.Node
	for i := range g.members {
		m := &g.members[i]
		node, err := link.Listen(m.Link, g.rings[i], timeline.NewRecorder(m.ID, "z"), slog.New(slog.DiscardHandler))
		check(g, err)
		m.Link = node.Address()
		nodes = append(nodes, node)
	}
	var drivers []*Driver
	for i, member := range g.members {
		d, err := Open(Options{Self: member, InitialMembers: slices.Clone(g.members), Clock: clock, ProposeInterval: testProposeInterval, Dir: g.dir + "/" + member.ID + "/data", Machine: newMachine(), Node: nodes[i],
			Recorder: timeline.NewRecorder(member.ID, "z"), Log: slog.New(slog.DiscardHandler), Fatal: func(err error) { g.Error(err) }})
		check(g, err)
		nodes[i].Serve()
		drivers = append(drivers, d)
	}
	return drivers
}

// stop stops the members.
func (g *group) stop(drivers []*Driver) {
	for _, d := range drivers {
		check(g, d.Stop())
		_ = d.options.Node.Close()
	}
}

func waitForLeader(b testing.TB, drivers []*Driver) *Driver {
	b.Helper()
	for range 200 {
		for _, d := range drivers {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := d.ReadBarrier(ctx)
			cancel()
			if err == nil {
				return d
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal("no leader")
	return nil
}

func check(b testing.TB, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// BenchmarkCommit measures proposals of 200-byte commands, each synced by a
// majority.
func BenchmarkCommit(b *testing.B) {
	for _, members := range []int{1, 2, 3, 4, 5} {
		for _, clients := range []int{1, 64} {
			b.Run(fmt.Sprintf("members=%d/clients=%d", members, clients), func(b *testing.B) {
				commit(b, startGroup(b, members), clients)
			})
		}
	}
}

func commit(b *testing.B, leader *Driver, clients int) {
	command := make([]byte, 200)
	times := make([][]time.Duration, clients)
	var group sync.WaitGroup
	b.ResetTimer()
	for i := range clients {
		group.Go(func() {
			for range (b.N + clients - 1) / clients {
				start := time.Now()
				if _, err := leader.Propose(context.Background(), command); err != nil {
					b.Error(err)
					return
				}
				times[i] = append(times[i], time.Since(start))
			}
		})
	}
	group.Wait()
	b.StopTimer()
	all := slices.Sorted(slices.Values(slices.Concat(times...)))
	b.ReportMetric(float64(len(all))/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
}

// BenchmarkIdle reports the CPU time of three members without load, as a
// percentage of one core per member.
func BenchmarkIdle(b *testing.B) {
	const members = 3
	const period = 3 * time.Second
	startGroup(b, members)
	for b.Loop() {
		before := processorTime(b)
		time.Sleep(period)
		used := processorTime(b) - before
		b.ReportMetric(100*used.Seconds()/period.Seconds()/members, "core-%/member")
	}
}

func processorTime(b testing.TB) time.Duration {
	var usage syscall.Rusage
	check(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkStatus measures a reading of the status, which precedes each order to a
// worker.
func BenchmarkStatus(b *testing.B) {
	leader := startGroup(b, 3)
	b.ReportAllocs()
	silence := time.Duration(0)
	for b.Loop() {
		silence += leader.Status().LeaderSilence
	}
	if silence < 0 {
		b.Fatal("negative silence")
	}
}
