package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
)

// purgesPerRetention is how often ended jobs are purged within the time for which they
// are kept.
const purgesPerRetention = 4

// purgeState is what the leader needs to know when a job has ended long ago. The wall
// clock does not tell: it may jump.
type purgeState struct {
	// next is when the next purge is due.
	next time.Time
	// readings holds the state's clock at earlier times, the oldest first. A job
	// that ended at a lower reading has ended before that time.
	readings []clockReading
}

// clockReading is a reading of the state's clock at a time on the local monotonic
// clock.
type clockReading struct {
	at      time.Time
	clockMS int64
}

// endedBefore records a reading and returns the newest one that is at least as old as
// an age, or 0 if there is none. It forgets the readings before that one.
func (p *purgeState) endedBefore(reading clockReading, age time.Duration) (clockMS int64) {
	p.readings = append(p.readings, reading)
	for len(p.readings) > 1 && reading.at.Sub(p.readings[1].at) >= age {
		p.readings = p.readings[1:]
	}
	if oldest := p.readings[0]; reading.at.Sub(oldest.at) >= age {
		return oldest.clockMS
	}
	return 0
}

// purgeJobs periodically removes jobs that ended long ago. A purge without any also
// advances the state's clock, which no other command may do on an idle system.
func (l *loop) purgeJobs(now time.Time) {
	if now.Before(l.purge.next) {
		return
	}
	l.purge.next = now.Add(l.Limits.Retention / purgesPerRetention)
	reading := clockReading{at: now}
	l.Machine.Read(func(v *workstate.View) { reading.clockMS = v.ClockMS() })
	before := l.purge.endedBefore(reading, 2*l.Limits.Retention)
	l.proposeAsync(&workstate.Command{PurgeJobs: &workstate.PurgeJobs{EndedBeforeMS: before}}, "purge of old jobs failed")
}
