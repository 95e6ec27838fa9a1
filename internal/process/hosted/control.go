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
	"arbutusward.example/arbutusward/platform"
)

// Times of a control process.
const (
	// joinInterval is the time between requests to be taken in, and
	// memberInterval that between questions whether this process still is.
	joinInterval   = 300 * time.Millisecond
	memberInterval = time.Second
	joinTimeout    = 2 * time.Second
	// exitPause keeps a process whose disk refuses writes from starting over
	// and over; the log gets out meanwhile.
	exitPause = 2 * time.Second
	// controlShutdown bounds the calls that are still answered at a stop.
	controlShutdown = time.Second
)

// joinSeparator parts the link address from the random part in the id of a
// process that has joined later.
const joinSeparator = "/"

// Membership is how a control process takes part in the replicated log.
type Membership struct {
	ID string
	// Join says that the process was not among the first members.
	Join bool
}

// NewMembership draws a process's part from its disk and its settings. The
// first members are the seeds of the first start. A process with an empty
// disk otherwise joins under an id of its own: it must not be taken for the
// one whose disk was lost.
func NewMembership(s *platform.Settings) (Membership, error) {
	known, err := datadir.ReadIdentity(s.DataDir)
	if err != nil {
		return Membership{}, err
	}
	if known != nil {
		return Membership{ID: known.ID, Join: strings.Contains(known.ID, joinSeparator)}, nil
	}
	if s.Bootstrap && slices.Contains(s.SeedLinks, s.LinkAddress) {
		return Membership{ID: s.LinkAddress}, nil
	}
	return Membership{ID: s.LinkAddress + joinSeparator + rand.Text(), Join: true}, nil
}

// NewControlNode opens a control process's links under its id as a member.
func NewControlNode(s *platform.Settings, m Membership, recorder *timeline.Recorder, log *slog.Logger) (*link.Node, error) {
	return listenLinks(m.ID, s, recorder, log)
}

// NewReplica opens the replicated log.
func NewReplica(s *platform.Settings, m Membership, machine *workstate.Machine, node *link.Node, recorder *timeline.Recorder, log *slog.Logger) (replica.Replica, error) {
	_, port, err := net.SplitHostPort(s.ControlAddress)
	if err != nil {
		return nil, logging.Wrap(err, "read the control address", s.ControlAddress)
	}
	var founders []replica.Member
	for _, address := range s.SeedLinks {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, logging.Wrap(err, "read seed", address)
		}
		founders = append(founders, replica.Member{ID: address, Link: address, Admin: net.JoinHostPort(host, port)})
	}
	return driver.Open(driver.Options{
		Self:           replica.Member{ID: m.ID, Link: s.LinkAddress, Admin: s.ControlAddress},
		InitialMembers: founders,
		Join:           m.Join,
		// The platform may split the core into two halves.
		OddVoters:   true,
		AllowRejoin: true,
		Dir:         s.DataDir,
		Machine:     machine,
		Node:        node,
		Recorder:    recorder,
		Log:         log,
		Fatal: func(err error) {
			log.Error("the replica cannot go on", logging.Err(err), "exit_in_ms", exitPause.Milliseconds())
			time.Sleep(exitPause)
			os.Exit(lifecycle.ExitFailed)
		},
	})
}

// Control keeps the state and schedules.
type Control struct {
	settings  *platform.Settings
	member    Membership
	node      *link.Node
	replica   replica.Replica
	scheduler *scheduler.Scheduler
	client    *workcall.Client
	log       *slog.Logger

	servers servers
	cancel  context.CancelFunc
}

// NewControl wires a control process.
func NewControl(s *platform.Settings, m Membership, node *link.Node, r replica.Replica, machine *workstate.Machine, log *slog.Logger) *Control {
	options := scheduler.Options{
		Replica: r, Machine: machine, Workers: platform.NewHTTPWorkers(), Holder: s.VM, Log: log, Now: time.Now,
		Limits: scheduler.Limits{
			StopTimeout: s.Limits.StopTimeout, LongestLease: s.Limits.LongestLease, FencingEnforced: s.Limits.FencingEnforced, HolderLease: s.Limits.HolderLease,
			Retention: s.Limits.Retention, ActionRate: s.ActionRate,
		},
	}
	if s.PlatformAddress != "" {
		options.Platform = platform.NewHTTPPlatform(s.PlatformAddress)
	}
	if s.AdviserAddress != "" {
		options.Adviser = platform.NewHTTPAdviser(s.AdviserAddress)
	}
	sched := scheduler.New(options, s.ControlAddress, node)
	client := workcall.NewClient(node, s.SeedLinks, log)
	client.ServeLocally(s.LinkAddress, sched.Server())
	return &Control{settings: s, member: m, node: node, replica: r, scheduler: sched, client: client, log: log}
}

// Start begins to serve.
func (c *Control) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.node.Serve()
	go c.client.Run(ctx)
	go c.scheduler.Run(ctx)
	go followSettings(ctx, c.settings.SeedLinks, c.client, c.log)
	go c.keepMembership(ctx)
	return errors.Join(
		c.servers.listen(c.settings.ControlAddress, platform.NewControlAPI(c.client, c.log)),
		c.servers.listen(c.settings.MetricsAddress, metricsHandler()),
	)
}

// keepMembership asks the leader, again and again, to have this process as a
// member: it may have an empty disk, or have been taken out while it was
// silent. A member is left as it is.
func (c *Control) keepMembership(ctx context.Context) {
	for ctx.Err() == nil {
		pause := memberInterval
		if err := c.join(ctx); err != nil {
			pause = joinInterval
			c.tellJoining(err)
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
	return c.client.Join(ctx, workcall.JoinRequest{ID: c.member.ID, Link: c.settings.LinkAddress, Admin: c.settings.ControlAddress})
}

// tellJoining logs why a process that is no member is not taken in.
func (c *Control) tellJoining(err error) {
	isMember := slices.ContainsFunc(c.replica.Status().Members, func(m replica.Member) bool { return m.ID == c.member.ID })
	if !isMember && c.client.Leader() != "" {
		c.log.Info("not taken in as a member yet", "member", c.member.ID, logging.Err(err))
	}
}

// Stop hands the leadership over and ends.
func (c *Control) Stop(ctx context.Context) error {
	err := c.replica.Stop()
	ctx, cancel := context.WithTimeout(ctx, controlShutdown)
	defer cancel()
	err = errors.Join(err, c.servers.shutdown(ctx))
	c.cancel()
	return errors.Join(err, c.node.Close())
}
