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

	proposals     chan *proposal
	reads         chan *read
	changes       chan *change
	snapshotsSent chan string
	leaderChanges chan bool
	status        atomic.Pointer[replica.Status]
	// founded says that the loop serves calls.
	founded atomic.Bool

	// stopping is closed when Stop is called; stopped when all has ended.
	stopping context.Context
	stop     context.CancelFunc
	stopped  chan struct{}
	// ended ends all calls to members.
	ended context.Context
	end   context.CancelFunc
	err   error
}

var _ replica.Replica = (*Driver)(nil)

// Open reads the data folder and starts the replica. The node must begin to
// serve after Open.
func Open(options Options) (*Driver, error) {
	storage, err := openStorage(options.Dir, options.Self.ID)
	if err != nil {
		return nil, err
	}
	if cut := storage.contents.TornBytes; cut > 0 {
		options.Log.Warn("cut the torn tail of the log", "bytes", cut)
	}
	d := &Driver{
		options: options, storage: storage,
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
	d.status.Store(&replica.Status{ID: options.Self.ID, Role: "founding"})
	d.receiver.register(options.Node)
	d.registrar.register(options.Node)
	go d.run()
	return d, nil
}

// run founds the deployment if needed and then runs the loop.
func (d *Driver) run() {
	defer close(d.stopped)
	defer d.end()
	err := d.prepare()
	if err == nil {
		d.founded.Store(true)
		err = d.newLoop().run()
	}
	d.err = errors.Join(err, d.storage.close())
	if err != nil && d.stopping.Err() == nil {
		d.options.Fatal(err)
	}
}

// prepare brings the folder to the point from which the core can start.
func (d *Driver) prepare() error {
	if d.storage.snapshot == nil && !d.options.Join {
		members, err := d.found(d.stopping)
		if err != nil {
			return err
		}
		if err := d.storage.found(members, d.options.Machine); err != nil {
			return err
		}
	}
	if d.storage.snapshot == nil {
		return nil
	}
	err := d.options.Machine.Restore(d.storage.snapshot.Meta.Last.Index, d.storage.snapshot.Data)
	return logging.Wrap(err, "restore snapshot", d.options.Self.ID)
}

// newCore returns the core for what the folder holds.
func (d *Driver) newCore() *core.Core {
	var seed [16]byte
	// Reading from crypto/rand does not fail.
	_, _ = crand.Read(seed[:])
	return core.New(core.Config{
		ID:             d.options.Self.ID,
		DiskID:         d.storage.identity.Disk,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		MaxAppendBytes: maxAppendBytes,
		BytesPerTick:   appendRate / int(time.Second/tickTime),
		OddVoters:      d.options.OddVoters,
		Random:         rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:]))),
	}, d.storage.persistent())
}

// Status returns the newest published status.
func (d *Driver) Status() replica.Status { return *d.status.Load() }

// LeaderChanges delivers the begins and ends of this process's leadership.
func (d *Driver) LeaderChanges() <-chan bool { return d.leaderChanges }

// Stop hands the leadership over if it can, and ends the replica.
func (d *Driver) Stop() error {
	d.stop()
	<-d.stopped
	if errors.Is(d.err, context.Canceled) {
		return nil
	}
	return d.err
}
