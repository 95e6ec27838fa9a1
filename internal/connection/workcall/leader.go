package workcall

import (
	"context"
	"math/rand/v2"
	"slices"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/logging"
)

// checkLeader asks the known leader whether it still leads.
func (c *Client) checkLeader(ctx context.Context, leader string) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answer, err := c.hello(ctx, leader)
	if err != nil {
		c.dropLeader(leader, err)
		return
	}
	c.applyHello(leader, &answer)
}

// memberAnswer is the answer of one member to a hello call.
type memberAnswer struct {
	from  string
	hello HelloResponse
	err   error
}

// findLeader asks some members or seeds at once for the leader and takes the
// first answer that names one.
func (c *Client) findLeader(ctx context.Context) {
	addresses := c.chooseMembers(askedMembers)
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answers := make(chan memberAnswer, len(addresses))
	for _, address := range addresses {
		go func() {
			hello, err := c.hello(ctx, address)
			answers <- memberAnswer{address, hello, err}
		}()
	}
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

// applyHello takes over the members, the leader and, if the leader itself
// answered, the version of the catalog. A member that has not heard of its
// leader lately names none.
func (c *Client) applyHello(from string, answer *HelloResponse) {
	if len(answer.Members) > 0 {
		c.mu.Lock()
		c.members = answer.Members
		c.mu.Unlock()
	}
	leader := answer.Leader
	if answer.LeaderSilenceMS > MaxLeaderSilence.Milliseconds() {
		leader = ""
	}
	c.setLeader(leader)
	if leader != from {
		return
	}
	c.recordAnswer(leader)
	if answer.CatalogVersion > c.catalogVersion.Load() {
		c.catalogVersion.Store(answer.CatalogVersion)
	}
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	former := c.leader
	c.leader = address
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
