package rebalance

import (
	"math"
	"time"
)

const (
	// bucketWidth is the resolution of the load history.
	bucketWidth = 250 * time.Millisecond
	// riseWindow is the span over which a rise in load is measured. It is
	// short compared with a burst, which lasts some seconds, and long compared
	// with the time between two jobs.
	riseWindow = 1250 * time.Millisecond
	// lookahead is how far into the future a rise is extrapolated: the time
	// that a VM takes to join a pool plus the age of the measured rise.
	lookahead = 2500 * time.Millisecond
	// peakRetention is how long a pool retains the VMs of its last peak.
	// Moving VMs away and back costs more than leaving them idle for this
	// long.
	peakRetention = 2 * time.Second
)

// bucketCount covers the window and the bucket that is being filled.
const bucketCount = int64(riseWindow/bucketWidth) + 1

// Load is an amount of work or capacity in VMs: the larger of the shares of a
// VM's CPU and memory.
type Load float64

// Forecast predicts the load of one pool, which is the load of its executing
// and waiting tasks.
type Forecast struct {
	buckets [bucketCount]bucket
	// newest is the number of the bucket that is being filled; 0 means that
	// nothing has been recorded yet.
	newest int64
	// loadKnown is set once a load has been recorded. Arrivals may be recorded
	// earlier.
	loadKnown bool
	// peaks are the recent peaks of the desired number of VMs, oldest and
	// highest first.
	peaks []peak
}

// bucket is the load history of one span of bucketWidth.
type bucket struct {
	// load is the last load recorded in the span.
	load Load
	// squaredArrivals is the sum of the squared loads of the jobs that
	// arrived in the span.
	squaredArrivals Load
}

type peak struct {
	at  time.Time
	vms int
}

// AddArrival records the arrival of a job that adds a load at once.
func (f *Forecast) AddArrival(now time.Time, load Load) {
	f.advance(now).squaredArrivals += load * load
}

// advance returns the bucket for the current time. Buckets that were skipped
// since the last call repeat the last load.
func (f *Forecast) advance(now time.Time) *bucket {
	number := now.UnixNano() / int64(bucketWidth)
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

// Predict records the current load and returns the load to expect by the time
// a VM that is ordered now has joined the pool. A rise is extrapolated after
// subtracting the part that the random arrival of single jobs explains.
func (f *Forecast) Predict(now time.Time, load Load) Load {
	f.advance(now).load = load
	if !f.loadKnown {
		// The earlier load is unknown: the first one must not look like a rise.
		f.loadKnown = true
		for i := range f.buckets {
			f.buckets[i].load = load
		}
	}
	squares := Load(0)
	for i := range f.buckets {
		squares += f.buckets[i].squaredArrivals
	}
	rise := load - f.at(f.newest+1).load
	rise -= Load(math.Sqrt(float64(squares)))
	return load + max(0, rise)*Load(lookahead)/Load(riseWindow)
}

// RecentPeak records the number of VMs that the pool desires now and returns
// the highest such number within peakRetention.
func (f *Forecast) RecentPeak(now time.Time, desired int) int {
	kept := f.peaks[:0]
	for _, p := range f.peaks {
		if now.Sub(p.at) < peakRetention && p.vms > desired {
			kept = append(kept, p)
		}
	}
	f.peaks = append(kept, peak{at: now, vms: desired})
	return f.peaks[0].vms
}
