package driver

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/replica/core"
)

// Driver is the replica of one process.
type Driver struct {
	options   Options
	storage   *storage
	registrar *registrar
	receiver  *receiver
	transport *transport
	delays    *delays

	proposals     chan *proposal
	reads         chan *read
	changes       chan *change
	snapshotsSent chan string
	leaderChanges chan bool
	status        atomic.Pointer[publishedStatus]
	// bootstrapped is set once the loop serves calls.
	bootstrapped atomic.Bool

	// stopping is cancelled when Stop is called. stopped is closed when the
	// loop has ended and the files are closed.
	stopping context.Context
	stop     context.CancelFunc
	stopped  chan struct{}
	// ended is cancelled to end all calls to members.
	ended context.Context
	end   context.CancelFunc
	err   error
}

var _ replica.Replica = (*Driver)(nil)

// Open reads the data directory and starts the replica. The node must start
// to serve after Open.
func Open(options Options) (*Driver, error) {
	storage, err := openStorage(options.Dir, options.Self.ID)
	if err != nil {
		return nil, err
	}
	if cut := storage.contents.TornBytes; cut > 0 {
		options.Log.Warn("torn tail of the log truncated", "bytes", cut)
	}
	if options.Clock == nil {
		options.Clock = newBootClock().now
	}
	d := &Driver{
		options: options, storage: storage, delays: &delays{},
		registrar:     newRegistrar(&options, storage),
		proposals:     make(chan *proposal),
		reads:         make(chan *read),
		changes:       make(chan *change),
		snapshotsSent: make(chan string, maxMessages),
		leaderChanges: make(chan bool),
		stopped:       make(chan struct{}),
	}
	d.stopping, d.stop = context.WithCancel(context.Background())
	d.ended, d.end = context.WithCancel(context.Background())
	d.receiver = newReceiver(d.stopped)
	d.transport = newTransport(d.ended, options.Node, options.Log)
	d.status.Store(&publishedStatus{status: replica.Status{ID: options.Self.ID, Role: "founding"}, at: options.Clock()})
	d.receiver.register(options.Node)
	d.registrar.register(options.Node)
	go d.run()
	return d, nil
}

// run bootstraps the deployment if needed and then runs the loop.
func (d *Driver) run() {
	defer close(d.stopped)
	defer d.end()
	err := d.prepare()
	if err == nil {
		d.bootstrapped.Store(true)
		err = d.newLoop().run()
	}
	d.err = errors.Join(err, d.storage.close())
	if err != nil && d.stopping.Err() == nil {
		d.options.Fatal(err)
	}
}

// prepare bootstraps an empty data directory unless this process joins an
// existing deployment, and restores the state machine from the snapshot.
func (d *Driver) prepare() error {
	if d.storage.snapshot == nil && !d.options.Join {
		members, err := d.bootstrap(d.stopping)
		if err != nil {
			return err
		}
		if err := d.storage.writeInitialSnapshot(members, d.options.Machine); err != nil {
			return err
		}
	}
	if d.storage.snapshot == nil {
		return nil
	}
	err := d.options.Machine.Restore(d.storage.snapshot.Meta.Last.Index, d.storage.snapshot.Data)
	return logging.Wrap(err, "restore snapshot", d.options.Self.ID)
}

// newCore returns a core with the state of the data directory.
func (d *Driver) newCore() *core.Core {
	var seed [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = crand.Read(seed[:])
	return core.New(core.Config{
		ID:             d.options.Self.ID,
		DiskID:         d.storage.identity.Disk,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		MaxAppendBytes: maxAppendBytes,
		BytesPerTick:   appendRate / int(time.Second/tickInterval),
		OddVoters:      d.options.OddVoters,
		Random:         rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:]))),
	}, d.storage.persistent())
}

// Status returns the last published status, with the time that has passed since.
func (d *Driver) Status() replica.Status {
	p := d.status.Load()
	status := p.status
	since := d.options.Clock() - p.at
	status.LeaderSilence += since
	status.Unconfirmed += since
	return status
}

// TakeDelays returns the delays since the last call.
func (d *Driver) TakeDelays() replica.Delays { return d.delays.take() }

// LeaderChanges delivers true when this process becomes the leader and false
// when it loses the leadership.
func (d *Driver) LeaderChanges() <-chan bool { return d.leaderChanges }

// Stop transfers the leadership if possible and stops the replica.
func (d *Driver) Stop() error {
	d.stop()
	<-d.stopped
	if errors.Is(d.err, context.Canceled) {
		return nil
	}
	return d.err
}
