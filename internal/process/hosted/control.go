package hosted

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"arbutusward.example/arbutusward/internal/connection/delegate"
	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/lifecycle"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/replica/datadir"
	"arbutusward.example/arbutusward/internal/process/replica/driver"
	"arbutusward.example/arbutusward/internal/process/scheduler"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/jobmemory"
	"arbutusward.example/arbutusward/platform"
)

// Timing of a control process.
const (
	// joinInterval is the time to the next request to join after one that
	// failed, memberInterval after one that succeeded.
	joinInterval   = 300 * time.Millisecond
	memberInterval = time.Second
	joinTimeout    = 2 * time.Second
	// exitDelay limits the rate of restarts of a process whose disk refuses
	// writes, and leaves time to write out the log.
	exitDelay = 2 * time.Second
	// controlShutdownTimeout bounds the calls that are still answered during
	// a graceful stop.
	controlShutdownTimeout = time.Second
	// proposeInterval lets the hundreds of proposals a second of a large fleet
	// share messages. It is about as long as a commit.
	proposeInterval = 16 * time.Millisecond
)

// joinSeparator separates the link address from the random suffix in the id
// of a process that joined after the bootstrap.
const joinSeparator = "/"

// Membership identifies a control process in the replicated log.
type Membership struct {
	ID string
	// Join is set unless the process is one of the initial members.
	Join bool
}

// NewMembership derives the membership of a process from its disk and its
// settings. The seeds of the bootstrap are the initial members. Any other
// process with an empty disk joins with a new random id, so that it is not
// mistaken for the member whose disk was lost.
func NewMembership(s *platform.Settings) (Membership, error) {
	stored, err := datadir.ReadIdentity(s.DataDir)
	if err != nil {
		return Membership{}, err
	}
	if stored != nil {
		return Membership{ID: stored.ID, Join: strings.Contains(stored.ID, joinSeparator)}, nil
	}
	if s.Bootstrap && slices.Contains(s.SeedLinks, s.LinkAddress) {
		return Membership{ID: s.LinkAddress}, nil
	}
	return Membership{ID: s.LinkAddress + joinSeparator + rand.Text(), Join: true}, nil
}

// NewControlNode opens the link listener of a control process under its
// member id.
func NewControlNode(s *platform.Settings, m Membership, recorder *timeline.Recorder, log *slog.Logger) (*link.Node, error) {
	return listenLinks(m.ID, s, recorder, log)
}

// NewReplica opens the replica of the replicated log.
func NewReplica(s *platform.Settings, m Membership, machine *workstate.Machine, node *link.Node, recorder *timeline.Recorder, log *slog.Logger) (replica.Replica, error) {
	_, port, err := net.SplitHostPort(s.ControlAddress)
	if err != nil {
		return nil, logging.Wrap(err, "parse control address", s.ControlAddress)
	}
	var initialMembers []replica.Member
	for _, address := range s.SeedLinks {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, logging.Wrap(err, "parse seed", address)
		}
		initialMembers = append(initialMembers, replica.Member{ID: address, Link: address, Admin: net.JoinHostPort(host, port)})
	}
	return driver.Open(driver.Options{
		Self:           replica.Member{ID: m.ID, Link: s.LinkAddress, Admin: s.ControlAddress},
		InitialMembers: initialMembers,
		Join:           m.Join,
		// With an odd number of voters one side keeps a quorum if the platform
		// partitions the control processes into two halves.
		OddVoters:       true,
		ProposeInterval: proposeInterval,
		AllowRejoin:     true,
		Dir:             s.DataDir,
		Machine:         machine,
		Node:            node,
		Recorder:        recorder,
		Log:             log,
		Fatal: func(err error) {
			log.Error("replica failed, exiting", logging.Err(err), "exit_in_ms", exitDelay.Milliseconds())
			time.Sleep(exitDelay)
			os.Exit(lifecycle.ExitFailed)
		},
	})
}

// DefaultDirectWorkers is the default of Tuning.DirectWorkers.
const DefaultDirectWorkers = 64

// Tuning holds the settings of a control process that the platform does not
// supply.
type Tuning struct {
	// DirectWorkers is the size of the largest fleet whose workers the leader
	// calls itself, and whose entries call the leader. Those of a larger one are
	// called by delegates, and call it through relays.
	DirectWorkers int
	// Profiles makes the metrics address serve profiles of the processor time, for
	// as many seconds as a request asks for.
	Profiles bool
}

// Control is a control process: it keeps the replicated state and, while it
// leads, schedules jobs.
type Control struct {
	settings  *platform.Settings
	tuning    Tuning
	member    Membership
	node      *link.Node
	replica   replica.Replica
	scheduler *scheduler.Scheduler
	client    *workcall.Client
	log       *slog.Logger

	servers servers
	ctx     context.Context
	cancel  context.CancelFunc
}

// NewControl returns a control process; Start makes it serve.
func NewControl(s *platform.Settings, tuning Tuning, m Membership, node *link.Node, r replica.Replica, machine *workstate.Machine, log *slog.Logger) *Control {
	ctx, cancel := context.WithCancel(context.Background())
	direct := platform.NewHTTPWorkers()
	delegate.Serve(ctx, node, s.LinkAddress, direct, log)
	workers := delegate.New(ctx, delegate.Options{
		Direct: direct, Node: node, Self: s.LinkAddress, DirectWorkers: tuning.DirectWorkers, Log: log,
		Responsive: func() []string { return r.Status().Responsive },
	})
	options := scheduler.Options{
		Replica: r, Machine: machine, Workers: workers, Holder: s.VM, Zone: s.Zone, DirectWorkers: tuning.DirectWorkers, Log: log, Now: time.Now,
		Limits: scheduler.Limits{
			StopTimeout: s.Limits.StopTimeout, LongestLease: s.Limits.LongestLease, FencingEnforced: s.Limits.FencingEnforced, HolderLease: s.Limits.HolderLease,
			HeartbeatInterval: s.Limits.HeartbeatInterval, CapacityGrace: s.Limits.CapacityGrace,
			Retention: s.Limits.Retention, ActionRate: s.ActionRate, JobMemory: jobmemory.Limit(s.MemoryMB),
		},
	}
	if s.PlatformAddress != "" {
		options.Platform = platform.NewHTTPPlatform(s.PlatformAddress, log)
	}
	if s.AdviserAddress != "" {
		options.Adviser = platform.NewHTTPAdviser(s.AdviserAddress)
	}
	client := workcall.NewClient(node, s.SeedLinks, log)
	options.MembersFormat = client.MembersFormat
	sched := scheduler.New(options, s.ControlAddress, node)
	client.ServeLocally(s.LinkAddress, sched.Server())
	workcall.RegisterRelay(node, client)
	return &Control{settings: s, tuning: tuning, member: m, node: node, replica: r, scheduler: sched, client: client, log: log, servers: newServers(s, log), ctx: ctx, cancel: cancel}
}

// Start starts the control process.
func (c *Control) Start() error {
	ctx := c.ctx
	c.node.Serve()
	c.client.OnLimits(c.servers.gate.SetLimits)
	go c.servers.gate.Run(ctx)
	go c.client.Run(ctx)
	go c.scheduler.Run(ctx)
	go watchSettings(ctx, c.settings.SeedLinks, c.client, c.log)
	go c.keepMembership(ctx)
	operators := metricsHandler(c.tuning.Profiles)
	explain := platform.NewExplainAPI(c.scheduler.Explain, c.settings.MetricsAddress, c.log)
	operators.Handle("GET "+platform.ExplainPath, explain)
	operators.Handle("POST "+platform.ExplainPath, explain)
	return errors.Join(
		c.servers.listen(c.settings.ControlAddress, platform.NewControlAPI(c.client, c.log)),
		c.servers.listen(c.settings.MetricsAddress, operators),
	)
}

// keepMembership periodically asks the leader to add this process as a
// member, because it may have an empty disk or have been removed while it was
// unresponsive. The request has no effect for a member.
func (c *Control) keepMembership(ctx context.Context) {
	for ctx.Err() == nil {
		pause := memberInterval
		if err := c.join(ctx); err != nil {
			pause = joinInterval
			c.logJoinFailure(err)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (c *Control) join(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return c.client.Join(ctx, workcall.JoinRequest{
		ID: c.member.ID, Link: c.settings.LinkAddress, Admin: c.settings.ControlAddress,
		Format: workstate.NewestFormat, JobMemory: jobmemory.Limit(c.settings.MemoryMB),
	})
}

// logJoinFailure logs why a request to join failed, unless this process is a
// member or knows no leader.
func (c *Control) logJoinFailure(err error) {
	isMember := slices.ContainsFunc(c.replica.Status().Members, func(m replica.Member) bool { return m.ID == c.member.ID })
	if !isMember && c.client.Leader() != "" {
		c.log.Info("request to join failed, will retry", "member", c.member.ID, logging.Err(err))
	}
}

// Stop transfers the leadership and stops the process.
func (c *Control) Stop(ctx context.Context) error {
	err := c.replica.Stop()
	ctx, cancel := context.WithTimeout(ctx, controlShutdownTimeout)
	defer cancel()
	err = errors.Join(err, c.servers.shutdown(ctx))
	c.cancel()
	return errors.Join(err, c.node.Close())
}
