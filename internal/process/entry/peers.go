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

// Times of the exchange between zone peers.
const (
	// pollWait bounds how long a peer holds a poll without changes.
	pollWait = 300 * time.Millisecond
	// pollTimeout bounds a whole poll.
	pollTimeout = pollWait + 500*time.Millisecond
	// pollPause is the time after a poll that failed.
	pollPause = 100 * time.Millisecond
	// viewTimeout bounds the fetch of a peer's view.
	viewTimeout = time.Second
	// lagLimit is how long the view may be behind a peer's, or control be
	// silent, before the peer is asked for its view.
	lagLimit = 1500 * time.Millisecond
)

// peers exchanges leases, and where control is out of reach views, with
// the other entries of the zone.
type peers struct {
	self     view.Entry
	node     *link.Node
	table    *announce.Table
	follower *Follower
	log      *slog.Logger
	run      func(func())

	mu sync.Mutex
	// polled holds the cancellation of each peer's poller.
	polled map[view.Entry]context.CancelFunc
	// heard holds the peers that polled this entry, with the revision of
	// their views. A restarted entry finds its peers by it.
	heard map[string]heardPeer
}

type heardPeer struct {
	entry    view.Entry
	revision uint64
}

func newPeers(self view.Entry, node *link.Node, table *announce.Table, follower *Follower, log *slog.Logger, run func(func())) *peers {
	return &peers{self: self, node: node, table: table, follower: follower, log: log, run: run,
		polled: map[view.Entry]context.CancelFunc{}, heard: map[string]heardPeer{}}
}

func (p *peers) register() {
	link.Handle(p.node, message.LeasesKind, p.serveLeases)
	link.Handle(p.node, message.ViewKind, p.serveView)
}

// reconcile starts and stops pollers so that each zone peer of the view has one.
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
	for entry, cancel := range p.polled {
		if !wanted[entry] {
			cancel()
			delete(p.polled, entry)
		}
	}
	for entry := range wanted {
		if p.polled[entry] == nil {
			pollCtx, cancel := context.WithCancel(ctx)
			p.polled[entry] = cancel
			p.run(func() { p.poll(pollCtx, entry) })
		}
	}
	p.mu.Unlock()
	p.table.RetainPeers(func(id string) bool { return ids[id] })
}

// poll asks one peer for the changes of its leases, over and over.
func (p *peers) poll(ctx context.Context, peer view.Entry) {
	reachable := true
	for ctx.Err() == nil {
		err := p.pollOnce(ctx, peer)
		if (err == nil) != reachable && ctx.Err() == nil {
			reachable = err == nil
			p.log.Info("zone peer", "peer", peer.ID, "reachable", reachable)
		}
		if err != nil {
			pause(ctx, pollPause)
		}
	}
}

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
		p.log.Warn("leases of a zone peer do not fit its digest", "peer", peer.ID)
	}
	p.hear(peer, answer.Revision)
	return nil
}

// hear notes that a zone peer is alive and how new its view is.
func (p *peers) hear(peer view.Entry, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[peer.ID] = heardPeer{entry: peer, revision: revision}
}

// serveLeases answers with the changes of the leases held here, at once or
// when the next one happens.
func (p *peers) serveLeases(ctx context.Context, peer link.Peer, poll message.LeasesPoll) (message.LeasesAnswer, error) {
	if poll.Entry.Zone != p.self.Zone || poll.Entry.ID != peer.ID {
		return message.LeasesAnswer{}, &link.Fault{Code: "foreign_entry", Message: "process " + peer.ID + " is not a peer of zone " + p.self.Zone}
	}
	p.hear(poll.Entry, poll.Revision)
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

// serveView answers with the newest view known here, if it is newer.
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

// catchUp fetches a peer's newer view where control does not deliver it,
// and begins to use the newest view known once the hold-off time is over.
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

// fetchNewer asks every peer whose view is newer.
func (p *peers) fetchNewer(ctx context.Context) {
	for _, peer := range p.newer() {
		fetchCtx, cancel := context.WithTimeout(ctx, viewTimeout)
		request := message.ViewRequest{Zone: p.self.Zone, Revision: p.follower.newestRevision()}
		answer, err := link.Call[message.ViewRequest, message.WatchAnswer](fetchCtx, p.node, peer.Link, message.ViewKind, request)
		cancel()
		if err != nil {
			p.log.Warn("view of a zone peer was not fetched", logging.Err(err))
			continue
		}
		if answer.Delta != nil {
			p.log.Info("view taken from a zone peer", "peer", peer.ID, "revision", answer.Delta.To)
			p.follower.advance(answer.Delta, false)
		}
	}
}

func (p *peers) newer() []view.Entry {
	own := p.follower.newestRevision()
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []view.Entry
	for _, peer := range p.heard {
		if peer.revision > own {
			found = append(found, peer.entry)
		}
	}
	return found
}
