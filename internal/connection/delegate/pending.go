package delegate

import "time"

// expiryInterval is the interval at which calls are looked at whose time may be over.
// An outcome comes late by at most as much.
const expiryInterval = 25 * time.Millisecond

// pendingCall is a call whose answer is awaited.
type pendingCall struct {
	delegate string
	sentAt   time.Time
	// deadline ends the call; the zero time leaves that to its caller.
	deadline time.Time
	// then gets the outcome. It is called once, without w.mu.
	then func(answer, error)
}

// pendingCalls holds the calls whose answers are awaited, by number. It is not safe
// for concurrent use.
type pendingCalls struct {
	calls map[uint64]*pendingCall
	// since is the time from which intervals are counted, on the monotonic clock.
	since time.Time
	// expiring lists the calls with a deadline by the interval in which it ends.
	expiring map[int64][]uint64
	// expire is called after each interval while expiring is not empty. scheduled is
	// set while a call of it is due.
	expire    func(now time.Time)
	scheduled bool
}

func newPendingCalls(expire func(now time.Time)) pendingCalls {
	return pendingCalls{calls: map[uint64]*pendingCall{}, since: time.Now(), expiring: map[int64][]uint64{}, expire: expire}
}

func (p *pendingCalls) add(number uint64, c *pendingCall) {
	p.calls[number] = c
	if c.deadline.IsZero() {
		return
	}
	interval := p.intervalOf(c.deadline) + 1
	p.expiring[interval] = append(p.expiring[interval], number)
	p.scheduleExpiry()
}

// intervalOf returns the number of the interval that holds a time.
func (p *pendingCalls) intervalOf(t time.Time) int64 { return int64(t.Sub(p.since) / expiryInterval) }

// scheduleExpiry makes sure that expire is called.
func (p *pendingCalls) scheduleExpiry() {
	if p.scheduled {
		return
	}
	p.scheduled = true
	time.AfterFunc(expiryInterval, func() { p.expire(time.Now()) })
}

// take removes a call and returns it, or nil if there is none.
func (p *pendingCalls) take(number uint64) *pendingCall {
	c := p.calls[number]
	delete(p.calls, number)
	return c
}

// takeFrom is take for an answer of a delegate. It leaves the calls of others.
func (p *pendingCalls) takeFrom(delegate string, number uint64) *pendingCall {
	if c := p.calls[number]; c == nil || c.delegate != delegate {
		return nil
	}
	return p.take(number)
}

// takeOf removes and returns the calls that wait for a delegate.
func (p *pendingCalls) takeOf(delegate string) []*pendingCall {
	var taken []*pendingCall
	for number, c := range p.calls {
		if c.delegate == delegate {
			taken = append(taken, c)
			delete(p.calls, number)
		}
	}
	return taken
}

// takeExpired removes and returns the calls whose deadline has passed.
func (p *pendingCalls) takeExpired(now time.Time) []*pendingCall {
	p.scheduled = false
	var expired []*pendingCall
	current := p.intervalOf(now)
	for interval, numbers := range p.expiring {
		if interval > current {
			continue
		}
		delete(p.expiring, interval)
		for _, number := range numbers {
			if c := p.take(number); c != nil {
				expired = append(expired, c)
			}
		}
	}
	if len(p.expiring) > 0 {
		p.scheduleExpiry()
	}
	return expired
}
