package core

// message returns the message with its envelope filled in.
func (c *Core) message(to string, m Message) Message {
	m.From, m.To = c.config.ID, to
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	for _, member := range c.Members() {
		if member.ID == to {
			m.ToDisk = member.Disk
		}
	}
	return m
}

// send queues a message that does not depend on this process's disk, so
// that it may be sent before the next sync.
func (c *Core) send(to string, m Message) {
	c.ready.Messages = append(c.ready.Messages, c.message(to, m))
}

// sendAfterSync queues a message that must not be sent before the next
// sync, such as a vote or an acknowledgement.
func (c *Core) sendAfterSync(to string, m Message) {
	c.ready.AfterSync = append(c.ready.AfterSync, c.message(to, m))
}

// Envelope returns a message to the member with no body set.
func (c *Core) Envelope(to string) Message { return c.message(to, Message{}) }
