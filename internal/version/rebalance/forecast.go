package rebalance

import (
	"math"
	"time"
)

// Times of the forecast.
const (
	// bucketTime is the resolution of the record.
	bucketTime = 250 * time.Millisecond
	// riseWindow is the span over which a rise is taken: short against a
	// burst of some seconds, long against the time between two jobs.
	riseWindow = 1250 * time.Millisecond
	// lookAhead is how far a rise is continued: the time in which a VM
	// joins a pool, and the age of the rise.
	lookAhead = 2500 * time.Millisecond
	// keepTime is how long a pool keeps what it wanted last: several moves
	// cost more than an idle VM for that long.
	keepTime = 2 * time.Second
)

// bucketCount covers the window and the bucket that is being filled.
const bucketCount = int64(riseWindow/bucketTime) + 1

// Load is an amount of work or capacity, in VMs: the larger of the shares of
// a VM's processor and memory.
type Load float64

// Forecast follows the load of one pool: what executes and what waits.
type Forecast struct {
	buckets [bucketCount]bucket
	// newest numbers the bucket that is being filled; 0 is none yet.
	newest int64
	// wanted are the newest peaks of what the pool wanted, falling.
	wanted []demand
}

// bucket is the record of a span of bucketTime.
type bucket struct {
	// load is the newest load.
	load Load
	// squares sums the squares of the loads that jobs brought.
	squares Load
}

type demand struct {
	at  time.Time
	vms int
}

// Arrive records a job that brings a load at once.
func (f *Forecast) Arrive(now time.Time, load Load) {
	f.roll(now).squares += load * load
}

// roll returns the bucket of the time; those that time has passed over
// repeat the last load.
func (f *Forecast) roll(now time.Time) *bucket {
	number := now.UnixNano() / int64(bucketTime)
	if f.newest == 0 {
		f.newest = number
	}
	last := f.at(f.newest).load
	f.newest = max(f.newest, number-bucketCount)
	for f.newest < number {
		f.newest++
		*f.at(f.newest) = bucket{load: last}
	}
	return f.at(f.newest)
}

func (f *Forecast) at(number int64) *bucket { return &f.buckets[number%bucketCount] }

// Expect records the load of now and returns the one to be expected when a
// VM that is ordered now has joined the pool. A rise is continued, less what
// chance alone makes of jobs that come one by one.
func (f *Forecast) Expect(now time.Time, load Load) Load {
	first := f.newest == 0
	f.roll(now).load = load
	if first {
		// What came before is not known, and no rise.
		for i := range f.buckets {
			f.buckets[i].load = load
		}
	}
	squares := Load(0)
	for i := range f.buckets {
		squares += f.buckets[i].squares
	}
	rise := load - f.at(f.newest+1).load
	rise -= Load(math.Sqrt(float64(squares)))
	return load + max(0, rise)*Load(lookAhead)/Load(riseWindow)
}

// Keep records what the pool wants now and returns the most that it wanted
// lately.
func (f *Forecast) Keep(now time.Time, want int) int {
	kept := f.wanted[:0]
	for _, d := range f.wanted {
		if now.Sub(d.at) < keepTime && d.vms > want {
			kept = append(kept, d)
		}
	}
	f.wanted = append(kept, demand{at: now, vms: want})
	return f.wanted[0].vms
}
