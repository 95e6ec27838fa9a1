package workcall

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/version/rendezvous"
)

const (
	// relayTimeout bounds the time in which a relay gets the leader's answer. It is
	// below attemptTimeout, so that the caller learns that there is none.
	relayTimeout = attemptTimeout - 50*time.Millisecond
	// relayAge is how long an entry keeps its relay before it chooses again, so that
	// one that came back gets its share.
	relayAge = 10 * time.Second
)

// relayKinds holds the kinds by which a relay takes the calls that it passes on.
var relayKinds = map[link.Kind]link.Kind{
	submitKind:   "relay.submit",
	jobKind:      "relay.job",
	cancelKind:   "relay.cancel",
	pendingKind:  "relay.pending",
	accountsKind: "relay.accounts",
}

// errLeaderSilent is why a relay is given up that has not heard the leader lately.
var errLeaderSilent = errors.New("it has not heard the leader lately")

// RegisterRelay makes a control process pass the calls of entries on to the leader. A
// busy leader then serves few connections, on which many calls share a message.
func RegisterRelay(node *link.Node, client *Client) {
	relay(node, submitKind, client.log, client.Submit)
	relay(node, jobKind, client.log, client.Job)
	relay(node, cancelKind, client.log, client.Cancel)
	relay(node, pendingKind, client.log, client.Pending)
	relay(node, accountsKind, client.log, client.Accounts)
}

// located is a request that may name a queue or a job.
type located interface{ path() string }

func (l Location) path() string { return l.Path }

func (AccountsRequest) path() string { return "" }

func relay[Req located, Resp any](node *link.Node, kind link.Kind, log *slog.Logger, pass func(context.Context, Req) (Resp, error)) {
	link.Handle(node, relayKinds[kind], func(ctx context.Context, peer link.Peer, r Req) (Resp, error) {
		ctx, cancel := context.WithTimeout(context.WithValue(ctx, relayedKey{}, true), relayTimeout)
		defer cancel()
		answer, err := pass(ctx, r)
		if err == nil {
			return answer, nil
		}
		log.Warn("call of an entry got no answer of the leader", "kind", kind, "entry", peer.ID, "path", r.path(), logging.Err(err))
		return answer, relayFault(err)
	})
}

// relayedKey marks the context of a call that a relay passes on.
type relayedKey struct{}

// isRelayed reports whether a call is passed on for an entry, which makes another
// attempt itself if the leader is busy.
func isRelayed(ctx context.Context) bool { return ctx.Value(relayedKey{}) != nil }

// relayFault returns the fault that tells an entry whether its call may have taken
// effect.
func relayFault(err error) error {
	switch {
	case isUnknownKind(err):
		return &link.Fault{Code: link.CodeUnknownKind, Message: err.Error()}
	case errors.Is(err, ErrUnknown):
		return &link.Fault{Code: CodeUnknown, Message: err.Error()}
	case errors.Is(err, errBusy):
		return &link.Fault{Code: link.CodeBusy, Message: err.Error()}
	}
	return &link.Fault{Code: CodeUnavailable, Message: err.Error()}
}

// contact is the process to which calls for the leader are sent.
type contact struct {
	address string
	// relay is set if it is not the leader itself.
	relay bool
}

// relayChoice is the choice of the relay of an entry. The methods of a nil relayChoice
// do nothing. It is not safe for concurrent use.
type relayChoice struct {
	// zone is the availability zone of the entry.
	zone       string
	candidates []string
	// chosen is "" while the leader is called itself.
	chosen   string
	chosenAt time.Time
}

// UseRelays makes the client of an entry call relays in place of the leader where the
// deployment has some, preferably one of its own availability zone. It must be called
// before the client is used.
func (c *Client) UseRelays(zone string) { c.relays = &relayChoice{zone: zone} }

// setCandidates replaces the members that may be relays.
func (r *relayChoice) setCandidates(addresses []string) {
	if r == nil {
		return
	}
	r.candidates = addresses
	if !slices.Contains(addresses, r.chosen) {
		r.chosen = ""
	}
}

// exclude gives up the relay if it has the address.
func (r *relayChoice) exclude(address string) {
	if r != nil && r.chosen == address {
		r.chosen = ""
	}
}

// due reports whether a relay is to be chosen.
func (r *relayChoice) due(now time.Time) bool {
	return r != nil && len(r.candidates) > 0 && (r.chosen == "" || now.Sub(r.chosenAt) >= relayAge)
}

// contact returns the process to which calls for the leader at an address are sent.
func (c *Client) contact(leader string) contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relays != nil && c.relays.chosen != "" {
		return contact{address: c.relays.chosen, relay: true}
	}
	return contact{address: leader}
}

// contactFor returns the process to which a call of a kind is sent.
func (c *Client) contactFor(kind link.Kind, leader string) contact {
	if relayKinds[kind] == "" {
		return contact{address: leader}
	}
	return c.contact(leader)
}

// chooseRelayIfDue asks all candidates at once and chooses among those that hear the
// leader, preferably in the own availability zone.
func (c *Client) chooseRelayIfDue(ctx context.Context) {
	c.mu.Lock()
	due := c.relays.due(time.Now())
	leader := c.leader
	var candidates []string
	if due {
		candidates = slices.DeleteFunc(slices.Clone(c.relays.candidates), func(address string) bool { return address == leader })
	}
	c.mu.Unlock()
	if !due {
		return
	}
	answers := c.askMembers(ctx, candidates)
	chosen := c.preferred(answers, leader)
	c.mu.Lock()
	former := c.relays.chosen
	c.relays.chosen, c.relays.chosenAt = chosen, time.Now()
	for i := range answers {
		if answers[i].from == chosen {
			c.recordEarlierAnswer(chosen, answers[i].at)
		}
	}
	c.mu.Unlock()
	if chosen != former {
		c.log.Info("relay chosen", "from", former, "to", chosen, "leader", leader, "candidates", len(candidates))
	}
}

// preferred returns the relay among the members that have answered, or "".
func (c *Client) preferred(answers []memberAnswer, leader string) string {
	var all, near []string
	for i := range answers {
		hello := &answers[i].hello
		if answers[i].err != nil || !hello.IsRelay || hello.Leader != leader || hello.silent() {
			continue
		}
		all = append(all, answers[i].from)
		if hello.Zone == c.relays.zone {
			near = append(near, answers[i].from)
		}
	}
	if len(near) > 0 {
		all = near
	}
	return rendezvous.Choose(c.node.Address(), all)
}

// dropRelay gives up the relay if it has the address. The leader is called itself
// until another one is chosen.
func (c *Client) dropRelay(address string, err error) {
	c.mu.Lock()
	lost := c.relays != nil && c.relays.chosen == address
	c.relays.exclude(address)
	c.mu.Unlock()
	if lost {
		c.log.Warn("relay lost", "address", address, logging.Err(err))
	}
}
