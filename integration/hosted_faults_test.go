package integration

import (
	"syscall"
	"time"
)

// injectFault injects a random fault. A timer ends most faults up to 4.2 seconds
// later, so that faults overlap.
func (s *soak) injectFault() {
	length := time.Duration(200+s.random.IntN(4000)) * time.Millisecond
	control := s.controls[s.random.IntN(len(s.controls))]
	entry := s.entries[s.random.IntN(len(s.entries))]
	worker := s.random.IntN(*soakWorkers)
	switch fault := s.random.IntN(10); fault {
	case 0:
		s.killFor(control, length)
	case 1:
		s.freezeFor(control, length)
	case 2:
		s.note("stop %s gracefully for %s", control.id, length)
		control.signal(syscall.SIGTERM)
		s.schedule(length, func() { s.restart(control) })
	case 3:
		s.killFor(entry, length)
	case 4:
		s.freezeFor(entry, length)
	case 5:
		s.note("drop all traffic to w%d for %s", worker, length)
		s.relays[worker].toServer.silent.Store(true)
		s.schedule(length, func() { s.relays[worker].toServer.silent.Store(false) })
	case 6:
		s.note("drop all traffic from w%d for %s", worker, length)
		s.relays[worker].toClient.silent.Store(true)
		s.schedule(length, func() { s.relays[worker].toClient.silent.Store(false) })
	case 7:
		s.note("delay all traffic from w%d for %s", worker, length)
		s.relays[worker].toClient.delayNS.Store(int64(300 * time.Millisecond))
		s.schedule(length, func() { s.relays[worker].toClient.delayNS.Store(0) })
	case 8:
		s.crashWorker(worker)
	case 9:
		s.killAllControls(length / 4)
	}
}

// killFor kills a process and starts it again after a time.
func (s *soak) killFor(p *process, length time.Duration) {
	s.note("kill %s for %s", p.id, length)
	p.kill()
	s.schedule(length, func() { s.restart(p) })
}

// freezeFor suspends a process for a time.
func (s *soak) freezeFor(p *process, length time.Duration) {
	s.note("freeze %s for %s", p.id, length)
	p.signal(syscall.SIGSTOP)
	s.schedule(length, func() { p.signal(syscall.SIGCONT) })
}

// killAllControls kills all control processes and starts them after a pause.
func (s *soak) killAllControls(pause time.Duration) {
	s.note("kill all control processes for %s", pause)
	for _, c := range s.controls {
		c.kill()
	}
	time.Sleep(pause)
	for _, c := range s.controls {
		s.restart(c)
	}
}

// restart kills the process if it runs and starts it. Overlapping faults may
// restart the same process, so only one restart runs at a time.
func (s *soak) restart(p *process) {
	s.restartMu.Lock()
	defer s.restartMu.Unlock()
	p.kill()
	p.start()
}

// schedule runs the function that ends a fault after a delay.
func (s *soak) schedule(after time.Duration, end func()) {
	timer := time.AfterFunc(after, end)
	s.t.Cleanup(func() { timer.Stop() })
}

// heal waits longer than the longest fault, clears the faults of all relays and
// restarts all processes. A timer that still fires later does no harm.
func (s *soak) heal() {
	s.t.Log("end all faults")
	time.Sleep(4300 * time.Millisecond)
	for _, r := range s.relays {
		r.toServer.silent.Store(false)
		r.toClient.silent.Store(false)
		r.toClient.delayNS.Store(0)
	}
	for _, p := range append(append([]*process(nil), s.controls...), s.entries...) {
		s.restart(p)
	}
}
