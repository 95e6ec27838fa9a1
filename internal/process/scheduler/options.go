package scheduler

import (
	"context"
	"log/slog"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// Options holds the dependencies and settings of a scheduler.
type Options struct {
	Replica  replica.Replica
	Machine  *workstate.Machine
	Workers  execution.Workers
	Platform execution.Platform
	// Adviser is nil if no queue needs advice.
	Adviser execution.Adviser
	// Holder names this process to the platform.
	Holder string
	// Zone is the availability zone of this process.
	Zone string
	// DirectWorkers is the size of the largest fleet whose entries call the leader
	// themselves. Those of a larger one call it through the other members.
	DirectWorkers int
	Limits        Limits
	// MembersFormat returns the newest format of commands that all members can read. It
	// is nil if the format stays as it is.
	MembersFormat func(context.Context) (int, error)
	Log           *slog.Logger
	Now           func() time.Time
}

// Limits holds the timeouts and limits of a deployment.
type Limits struct {
	// StopTimeout is the maximum time that a run takes to end after it was
	// ordered to stop.
	StopTimeout time.Duration
	// LongestLease is the longest lease that a worker accepts, whatever it is
	// offered.
	LongestLease time.Duration
	// FencingEnforced is set if the platform refuses orders of former leaders.
	FencingEnforced bool
	// HeartbeatInterval is the interval of the heartbeats of a worker.
	HeartbeatInterval time.Duration
	// CapacityGrace is the time after the next heartbeat for which a capacity that
	// has shrunk may still be relied on.
	CapacityGrace time.Duration
	// HolderLease is the time for which a VM must not be ordered after the last
	// order of another holder.
	HolderLease time.Duration
	// Retention is how long jobs are kept after they have ended.
	Retention time.Duration
	// JobMemory is the memory that this process has for jobs, in bytes; 0 means no limit.
	JobMemory int64
	// ActionRate is the number of orders for VMs per second that the platform
	// accepts from all processes together.
	ActionRate float64
}
