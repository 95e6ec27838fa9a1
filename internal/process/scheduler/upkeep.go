package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
)

// upkeepState is what the leader knows of VMs that are about to go down.
type upkeepState struct {
	// held are the VMs that take no new tasks until their upkeep.
	held map[string]bool
}

func (u *upkeepState) holds(vm string) bool { return vm != "" && u.held[vm] }

// planUpkeep takes waves of upkeep further.
func (l *loop) planUpkeep(_ *workstate.View, _ time.Time) {}
