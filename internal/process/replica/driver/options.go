package driver

import (
	"log/slog"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Timing of the consensus. The shortest election timeout is many round
// trips between the zones of one region; the longest is twice as long.
const (
	tickInterval   = 50 * time.Millisecond
	heartbeatTicks = 2
	electionTicks  = 12
	// responsiveTicks is the number of ticks without an answer after which a
	// member is unresponsive: several heartbeats, but less than an election.
	responsiveTicks        = 8
	messageTimeout         = time.Second
	chunkTimeout           = 3 * time.Second
	transferTimeout        = 2 * time.Second
	bootstrapRetryInterval = 200 * time.Millisecond
)

// Size limits and rates.
const (
	// MaxCommandBytes is the maximum size of one command.
	MaxCommandBytes = 8 << 20
	// maxAppendBytes limits the entries of one message; a single larger entry
	// is sent alone.
	maxAppendBytes = 256 << 10
	// appendRate is the lowest expected transfer rate of a message in bytes
	// per second: a leader with half a core encrypts a few MB per second for
	// all members together.
	appendRate = 256 << 10
	// maxBatchBytes limits the commands that are proposed in one batch.
	maxBatchBytes = 1 << 20
	// maxPendingBytes limits the commands that wait for a majority; further
	// ones wait before they enter the log.
	maxPendingBytes = 16 << 20
	// minLogBytes is the minimum growth of the log between two snapshots.
	minLogBytes = 1 << 20
	// maxLogEntries limits the entries between two snapshots. An entry takes about 100
	// bytes of memory beside its command.
	maxLogEntries = 131_072
	// maxMessages limits the messages that wait for one member.
	maxMessages = 64
	inboxLength = 1024
)

// Options configures a driver.
type Options struct {
	// Self is the member record of this process.
	Self replica.Member
	// InitialMembers are the members that bootstrap the deployment. They are
	// used only while the data directory is empty and Join is false.
	InitialMembers []replica.Member
	// Join makes a process with an empty data directory wait until it is added
	// to an existing deployment, instead of bootstrapping a new one.
	Join bool
	// ProposeInterval is the minimum time between two batches of proposals. Each
	// batch costs a message to every member, however many proposals it holds. With
	// 0 a proposal never waits for others.
	ProposeInterval time.Duration
	// OddVoters keeps the number of voters odd, and lets a learner replace a
	// voter that has been unresponsive for some seconds.
	OddVoters bool
	// AllowRejoin lets a process that was removed join again with its disk.
	AllowRejoin bool
	// Clock reads a clock that counts the time in which the machine is suspended.
	// It is set only in tests.
	Clock    func() time.Duration
	Dir      string
	Machine  replica.StateMachine
	Node     *link.Node
	Recorder *timeline.Recorder
	Log      *slog.Logger
	// Fatal is called once if the process must not continue, because its disk
	// has failed or is not the one that the other members know.
	Fatal func(error)
}
