package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Timing of the exchange between zone peers.
const (
	// pollWait bounds how long a peer may delay its answer to a poll until a
	// lease changes.
	pollWait = 300 * time.Millisecond
	// pollTimeout bounds a whole poll.
	pollTimeout = pollWait + 500*time.Millisecond
	// pollPause is the time between a failed poll and the next.
	pollPause = 100 * time.Millisecond
	// viewTimeout bounds the fetch of a peer's view.
	viewTimeout = time.Second
	// lagLimit is how long control may be unresponsive before peers are asked
	// for their views.
	lagLimit = 1500 * time.Millisecond
)

// peers exchanges leases with the other entries of the zone, and views while
// control is unreachable.
type peers struct {
	self     view.Entry
	node     *link.Node
	table    *announce.Table
	follower *Follower
	log      *slog.Logger
	// run runs a function in a goroutine that the process waits for when it
	// stops.
	run func(func())

	mu sync.Mutex
	// pollers holds a function for each polled peer that stops its poller.
	pollers map[view.Entry]context.CancelFunc
	// contacts holds the peers that polled this entry or answered its polls,
	// by id. Polls are how a restarted entry without a view finds its peers.
	contacts map[string]contact
}

// contact is a peer and the revision of its newest view.
type contact struct {
	entry    view.Entry
	revision uint64
}

func newPeers(self view.Entry, node *link.Node, table *announce.Table, follower *Follower, log *slog.Logger, run func(func())) *peers {
	return &peers{self: self, node: node, table: table, follower: follower, log: log, run: run,
		pollers: map[view.Entry]context.CancelFunc{}, contacts: map[string]contact{}}
}

// register registers the handlers of calls by peers.
func (p *peers) register() {
	link.Handle(p.node, message.LeasesKind, p.serveLeases)
	link.Handle(p.node, message.ViewKind, p.serveView)
}

// reconcile starts and stops pollers so that each zone peer in the view has
// one.
func (p *peers) reconcile(ctx context.Context, v *view.View) {
	wanted := map[view.Entry]bool{}
	ids := map[string]bool{}
	for _, entry := range v.Entries {
		if entry.Zone == p.self.Zone && entry.ID != p.self.ID {
			wanted[entry] = true
			ids[entry.ID] = true
		}
	}
	p.mu.Lock()
	for entry, cancel := range p.pollers {
		if !wanted[entry] {
			cancel()
			delete(p.pollers, entry)
		}
	}
	for entry := range wanted {
		if p.pollers[entry] == nil {
			pollCtx, cancel := context.WithCancel(ctx)
			p.pollers[entry] = cancel
			p.run(func() { p.poll(pollCtx, entry) })
		}
	}
	p.mu.Unlock()
	p.table.RetainPeers(func(id string) bool { return ids[id] })
}

// poll polls one peer for changes of its leases until the context ends.
func (p *peers) poll(ctx context.Context, peer view.Entry) {
	reachable := true
	for ctx.Err() == nil {
		err := p.pollOnce(ctx, peer)
		if (err == nil) != reachable && ctx.Err() == nil {
			reachable = err == nil
			p.log.Info("zone peer reachability changed", "peer", peer.ID, "reachable", reachable)
		}
		if err != nil {
			pause(ctx, pollPause)
		}
	}
}

// pollOnce polls a peer once and applies the changes in its answer.
func (p *peers) pollOnce(ctx context.Context, peer view.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	askedAt := time.Now()
	poll := message.LeasesPoll{Entry: p.self, Revision: p.follower.newestRevision(), WaitMS: int(pollWait.Milliseconds())}
	poll.Incarnation, poll.Sequence = p.table.PeerState(peer.ID)
	answer, err := link.Call[message.LeasesPoll, message.LeasesAnswer](ctx, p.node, peer.Link, message.LeasesKind, poll)
	if err != nil {
		return err
	}
	if !p.table.ApplyPeer(peer.ID, askedAt, answer.Changes) {
		leaseMismatches.Inc()
		p.log.Warn("leases of zone peer do not match its digest", "peer", peer.ID)
	}
	p.recordContact(peer, answer.Revision)
	return nil
}

// recordContact records that a zone peer is alive, and the revision of its
// view.
func (p *peers) recordContact(peer view.Entry, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.contacts[peer.ID] = contact{entry: peer, revision: revision}
}

// serveLeases answers a poll with the changes of the leases that targets of
// this entry hold. If there are none it waits for one, up to pollWait.
func (p *peers) serveLeases(ctx context.Context, peer link.Peer, poll message.LeasesPoll) (message.LeasesAnswer, error) {
	if poll.Entry.Zone != p.self.Zone || poll.Entry.ID != peer.ID {
		return message.LeasesAnswer{}, &link.Fault{Code: "foreign_entry", Message: "process " + peer.ID + " is not a peer of zone " + p.self.Zone}
	}
	p.recordContact(poll.Entry, poll.Revision)
	changed := p.table.Changed()
	if p.table.UpToDate(poll.Incarnation, poll.Sequence) {
		select {
		case <-changed:
		case <-time.After(min(time.Duration(poll.WaitMS)*time.Millisecond, pollWait)):
		case <-ctx.Done():
		}
	}
	return message.LeasesAnswer{Revision: p.follower.newestRevision(), Changes: p.table.ChangesSince(poll.Incarnation, poll.Sequence, time.Now())}, nil
}

// serveView answers with the newest known view if it is newer than the
// peer's.
func (p *peers) serveView(_ context.Context, _ link.Peer, request message.ViewRequest) (message.WatchAnswer, error) {
	if request.Zone != p.self.Zone {
		return message.WatchAnswer{}, &link.Fault{Code: "foreign_entry", Message: "this entry serves zone " + p.self.Zone}
	}
	current := p.follower.newestView()
	if current.Revision <= request.Revision {
		return message.WatchAnswer{}, nil
	}
	delta := fullDelta(current)
	return message.WatchAnswer{Delta: &delta}, nil
}

// catchUp fetches newer views from peers while control is unreachable or the
// view is not trusted, and trusts the newest known view after StartHoldOff.
func (p *peers) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, lagLimit/5)
		if !p.follower.CutOff(lagLimit) && p.follower.isTrusted() {
			continue
		}
		holdOffOver := time.Since(p.follower.started) > StartHoldOff
		p.fetchNewer(ctx)
		if holdOffOver {
			p.follower.advance(nil, true)
		}
	}
}

// fetchNewer fetches the views of the peers that have a newer one.
func (p *peers) fetchNewer(ctx context.Context) {
	for _, peer := range p.newerPeers() {
		fetchCtx, cancel := context.WithTimeout(ctx, viewTimeout)
		request := message.ViewRequest{Zone: p.self.Zone, Revision: p.follower.newestRevision()}
		answer, err := link.Call[message.ViewRequest, message.WatchAnswer](fetchCtx, p.node, peer.Link, message.ViewKind, request)
		cancel()
		if err != nil {
			p.log.Warn("view fetch from zone peer failed", logging.Err(err))
			continue
		}
		if answer.Delta != nil {
			p.log.Info("view fetched from zone peer", "peer", peer.ID, "revision", answer.Delta.To)
			p.follower.advance(answer.Delta, false)
		}
	}
}

// newerPeers returns the peers that have a newer view than this entry.
func (p *peers) newerPeers() []view.Entry {
	own := p.follower.newestRevision()
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []view.Entry
	for _, peer := range p.contacts {
		if peer.revision > own {
			found = append(found, peer.entry)
		}
	}
	return found
}
