package rebalance

import "time"

// Times of the forecast.
const (
	// bucketTime is the resolution of the record of arrivals.
	bucketTime = 250 * time.Millisecond
	// rateWindow is the span over which a rate is taken: short against a
	// burst of some seconds, long against the time between two jobs.
	rateWindow = time.Second
	// lookAhead is how far a rise is continued: the time in which a VM
	// joins a pool, and the age of the rate.
	lookAhead = 2500 * time.Millisecond
	// keepTime is how long a pool keeps what it wanted last: several moves
	// cost more than an idle VM for that long.
	keepTime = 2 * time.Second
)

// bucketCount covers two windows and the bucket that is being filled.
const bucketCount = int(2*rateWindow/bucketTime) + 1

// Load is an amount of work or capacity, in VMs: the larger of the shares of
// a VM's processor and memory.
type Load float64

// Forecast follows the work that arrives for one pool.
type Forecast struct {
	// buckets holds the arrived work, in VM seconds, by time.
	buckets [bucketCount]Load
	// newest numbers the bucket that is being filled.
	newest int64
	begun  bool
	// wanted are the newest peaks of the pool's demand.
	wanted []demand
}

type demand struct {
	at  time.Time
	vms int
}

// Arrive records work in VM seconds.
func (f *Forecast) Arrive(now time.Time, work Load) {
	f.roll(now)
	f.buckets[f.newest%int64(bucketCount)] += work
}

// roll empties the buckets that time has passed.
func (f *Forecast) roll(now time.Time) {
	number := now.UnixNano() / int64(bucketTime)
	if !f.begun {
		f.newest, f.begun = number, true
	}
	for f.newest < number {
		f.newest++
		f.buckets[f.newest%int64(bucketCount)] = 0
		if number-f.newest > int64(bucketCount) {
			f.newest = number - int64(bucketCount)
		}
	}
}

// Rate returns the load that the arrivals amount to if they go on, in VMs
// that are busy, with a rise continued.
func (f *Forecast) Rate(now time.Time) Load {
	f.roll(now)
	half := int64(rateWindow / bucketTime)
	recent, former := Load(0), Load(0)
	for i := int64(1); i <= half; i++ {
		recent += f.bucket(f.newest - i)
		former += f.bucket(f.newest - half - i)
	}
	recent /= Load(rateWindow.Seconds())
	former /= Load(rateWindow.Seconds())
	rise := max(0, recent-former)
	return recent + rise*Load(lookAhead.Seconds()/rateWindow.Seconds())
}

func (f *Forecast) bucket(number int64) Load {
	if number < 0 {
		return 0
	}
	return f.buckets[number%int64(bucketCount)]
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
