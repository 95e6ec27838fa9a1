package workcall

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/logging"
)

// checkContact asks the leader, or the relay in its place, whether it still serves,
// unless it has answered a call lately. A busy leader is asked now and then, since
// its limits come with its answer.
func (c *Client) checkContact(ctx context.Context, to contact) {
	if c.sinceAnswer(to.address) <= quietAge && time.Since(c.helloAt()) <= helloAge {
		return
	}
	c.recordHello()
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answer, err := c.hello(ctx, to.address)
	switch {
	case err == nil:
		c.applyHello(to.address, &answer)
	case c.sinceAnswer(to.address) <= quietAge:
		c.log.Warn("hello call failed, other calls are answered", "address", to.address, logging.Err(err))
	case to.relay:
		c.dropRelay(to.address, err)
	default:
		c.dropLeader(to.address, err)
	}
}

// memberAnswer is the answer of one member to a hello call.
type memberAnswer struct {
	from  string
	hello HelloResponse
	err   error
	// at is when the answer or the error arrived.
	at time.Time
}

// findLeader asks some members or seeds at once for the leader and takes the
// first answer that names one.
func (c *Client) findLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	addresses := c.chooseMembers(askedMembers)
	answers := c.helloAll(ctx, addresses)
	for range addresses {
		a := <-answers
		if a.err != nil {
			continue
		}
		c.applyHello(a.from, &a.hello)
		if c.Leader() != "" {
			return
		}
	}
}

// askMembers asks members at once and returns all their answers.
func (c *Client) askMembers(ctx context.Context, addresses []string) []memberAnswer {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answers := c.helloAll(ctx, addresses)
	all := make([]memberAnswer, len(addresses))
	for i := range all {
		all[i] = <-answers
	}
	return all
}

// helloAll makes a hello call to each address at once. Each sends one answer.
func (c *Client) helloAll(ctx context.Context, addresses []string) <-chan memberAnswer {
	answers := make(chan memberAnswer, len(addresses))
	for _, address := range addresses {
		go func() {
			hello, err := c.hello(ctx, address)
			answers <- memberAnswer{from: address, hello: hello, err: err, at: time.Now()}
		}()
	}
	return answers
}

func (c *Client) hello(ctx context.Context, address string) (HelloResponse, error) {
	if c.local != nil && address == c.self {
		return c.local.Hello(), nil
	}
	return link.Call[HelloRequest, HelloResponse](ctx, c.node, address, HelloKind, HelloRequest{})
}

// Join asks the leader to admit this process as a member.
func (c *Client) Join(ctx context.Context, r JoinRequest) error {
	address := c.Leader()
	if address == "" {
		return ErrUnavailable
	}
	if c.local != nil && address == c.self {
		// This process leads, so it is a member already.
		return nil
	}
	_, err := link.Call[JoinRequest, Done](ctx, c.node, address, JoinKind, r)
	return err
}

// MembersFormat returns the newest format of commands that all members can read. All of
// them have to answer.
func (c *Client) MembersFormat(ctx context.Context) (int, error) {
	known, err := c.hello(ctx, c.self)
	if err != nil {
		return 0, err
	}
	format := known.Format
	for _, a := range c.askMembers(ctx, known.Members) {
		if a.err != nil {
			return 0, a.err
		}
		format = min(format, a.hello.Format)
	}
	return format, nil
}

// chooseMembers returns the addresses of up to count random members or seeds.
func (c *Client) chooseMembers(count int) []string {
	c.mu.Lock()
	all := append(slices.Clone(c.members), c.seeds...)
	c.mu.Unlock()
	slices.Sort(all)
	all = slices.Compact(all)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// applyHello takes over the members, the relays, the leader and, if the leader itself
// or a relay answered, the version of the catalog. A member that has not heard of its
// leader lately names none.
func (c *Client) applyHello(from string, answer *HelloResponse) {
	if len(answer.Members) > 0 {
		c.mu.Lock()
		c.members = answer.Members
		c.relays.setCandidates(answer.Relays)
		c.mu.Unlock()
	}
	leader := answer.Leader
	if answer.silent() {
		leader = ""
		c.dropRelay(from, errLeaderSilent)
	}
	c.setLeader(leader)
	if leader == "" || c.contact(leader).address != from {
		return
	}
	c.recordAnswer(from)
	if answer.CatalogVersion < c.catalogVersion.Load() {
		return
	}
	c.catalogVersion.Store(answer.CatalogVersion)
	c.recordHello()
	if c.onLimits != nil {
		c.onLimits(answer.Limits)
	}
}

// recordHello records that a hello call is made by checkContact, or its answer applied.
func (c *Client) recordHello() {
	now := time.Now()
	c.lastHello.Store(&now)
}

// helloAt returns when recordHello was last called, or the zero time.
func (c *Client) helloAt() time.Time {
	if at := c.lastHello.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	former := c.leader
	c.leader = address
	c.relays.exclude(address)
	c.mu.Unlock()
	if former != address {
		c.log.Info("control leader changed", "from", former, "to", address)
	}
}

// dropLeader discards the known leader if it has the address.
func (c *Client) dropLeader(address string, err error) {
	c.mu.Lock()
	lost := address != "" && c.leader == address
	if lost {
		c.leader = ""
	}
	c.mu.Unlock()
	if lost {
		c.log.Warn("control leader lost", "address", address, logging.Err(err))
	}
}
