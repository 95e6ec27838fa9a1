package driver

import (
	"log/slog"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Times of the consensus. The shortest election timeout is many round
// trips between zones of one region; the longest is twice that.
const (
	tickTime        = 50 * time.Millisecond
	heartbeatTicks  = 2
	electionTicks   = 12
	messageTimeout  = time.Second
	chunkTimeout    = 3 * time.Second
	handOverTimeout = 2 * time.Second
	foundingPause   = 200 * time.Millisecond
)

// Sizes.
const (
	// MaxCommandBytes bounds one command.
	MaxCommandBytes = 8 << 20
	// maxAppendBytes bounds the entries of one message, but for a single
	// larger one.
	maxAppendBytes = 256 << 10
	// appendRate is the least rate in bytes a second at which a message is
	// expected to arrive: a leader with half a core encrypts some MB a second
	// for all members together.
	appendRate = 256 << 10
	// maxBatchBytes bounds the commands that are proposed in one go.
	maxBatchBytes = 1 << 20
	// maxPendingBytes bounds the commands that wait for a majority; further
	// ones wait before they enter the log.
	maxPendingBytes = 16 << 20
	// maxFrameEntriesBytes bounds what one sync writes.
	maxFrameEntriesBytes = 16 << 20
	// minLogBytes is the smallest growth of the log between snapshots.
	minLogBytes = 1 << 20
	// maxMessages bounds the calls to one member that are in flight.
	maxMessages = 64
	inboxLength = 1024
)

// Options are what a driver needs.
type Options struct {
	// Self is this process as a member.
	Self replica.Member
	// InitialMembers are the first members; they are used only while the folder
	// is empty and Join is false.
	InitialMembers []replica.Member
	Join           bool
	// OddVoters keeps the number of voters odd, and lets a learner take the
	// place of a voter that is silent for long.
	OddVoters bool
	// AllowRejoin lets a process that was taken out join again with its disk.
	AllowRejoin bool
	Dir         string
	Machine     replica.StateMachine
	Node        *link.Node
	Recorder    *timeline.Recorder
	Log         *slog.Logger
	// Fatal is called once when the process must not go on: its disk has
	// failed, or stands in for another one.
	Fatal func(error)
}
