package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/version/relocation"
)

const (
	// maintenanceRound is the estimated time to maintain one batch of a wave's
	// VMs: tasks end, the VMs go down and come back.
	maintenanceRound = 5 * time.Second
	// deadlineReserve is the time reserved for failures at the end of a wave.
	deadlineReserve = 5 * time.Second
	// returnEstimate is the estimated time from the order for a VM's maintenance until
	// its worker accepts tasks.
	returnEstimate = 3 * time.Second
	// overdueTime is the time past its deadline after which a wave goes before others.
	overdueTime = 5 * time.Second
)

// wavePressure tells how close the deadline of a wave is.
type wavePressure struct {
	*waveRound
	// urgent is set if the VMs that wait need all the time until the deadline.
	urgent bool
	// overdue is the time past the deadline, from overdueTime on; 0 before.
	overdue time.Duration
	// pressing is set if a VM that goes down now does not come back in time for others
	// to follow.
	pressing bool
	leaving  *evacuation
}

// relocationPressure returns how closely the VMs of the wave keep to the room of their
// pools.
func (p *wavePressure) relocationPressure() relocation.Pressure {
	switch {
	case p.pressing:
		return relocation.Pressing
	case p.urgent || p.leaving.due:
		return relocation.Urgent
	}
	return relocation.Relaxed
}

// newWavePressure compares the time until a wave's deadline with what is left to do.
func (l *loop) newWavePressure(u *usage, r *waveRound) *wavePressure {
	remaining := time.Duration(r.wave.DeadlineMS-l.Now().UnixMilli()) * time.Millisecond
	batches := (len(r.waiting) + r.wave.Cap - 1) / r.wave.Cap
	overdue := -remaining
	if overdue < overdueTime {
		overdue = 0
	}
	return &wavePressure{
		waveRound: r,
		overdue:   overdue,
		urgent:    remaining < time.Duration(batches)*maintenanceRound+deadlineReserve,
		pressing:  remaining < returnEstimate+l.Limits.evacuationTime(),
		leaving:   newEvacuation(u, r.waiting, remaining, l.Limits.evacuationTime()),
	}
}
