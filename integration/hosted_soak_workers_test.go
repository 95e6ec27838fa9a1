package integration

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// openWorkers is the number of workers that do not enforce their capacity.
	openWorkers = 2
	// crashPause is the time until a worker that a task has crashed is back.
	crashPause = 3 * time.Second
	// maxCapacity is the largest capacity of a worker.
	maxCapacity = 8000
	// eventPause is the longest pause between two events of workers.
	eventPause = 2500 * time.Millisecond
)

// addWorkers adds the workers that enforce their capacity, then the open ones.
func (s *soak) addWorkers() {
	for i := range *soakWorkers + openWorkers {
		service := "svc"
		if i >= *soakWorkers {
			service = "open"
		}
		address := freePort(s.t)
		r := newTCPRelay(s.t, address)
		w := newHostedWorker(500*time.Millisecond, s.ledger, fmt.Sprint("w", i), service, address, r.address, maxCapacity)
		s.startWorker(i, w)
		s.workers, s.relays = append(s.workers, w), append(s.relays, r)
	}
}

// startWorker starts the worker with the given index.
func (s *soak) startWorker(i int, w *hostedWorker) {
	w.overcommits, w.unsteady = w.service == "open", w.service == "open"
	w.stopTime = time.Duration(i%3) * 75 * time.Millisecond
	w.onCrash = func(w *hostedWorker) {
		s.schedule(crashPause, func() { s.replaceWorker(i, w, true) })
	}
	w.start(s.t, s.controlAddresses())
}

// replaceWorker starts the next incarnation of a worker that has ended, on the
// same VM and address, unless another has been started. One in three has the same
// id if the caller allows it.
func (s *soak) replaceWorker(i int, old *hostedWorker, mayKeepID bool) {
	s.workersMu.Lock()
	defer s.workersMu.Unlock()
	if s.over || s.workers[i] != old {
		return
	}
	s.incarnations++
	id := fmt.Sprintf("w%d-%d", i, s.incarnations)
	if mayKeepID && s.incarnations%3 == 0 {
		id = old.id
	}
	w := newHostedWorker(old.heartbeatInterval, s.ledger, id, old.service, old.address, old.advertised, old.capacity)
	w.vm, w.formerCapacities = old.vm, old.formerCapacities
	s.note("%s follows %s", id, old.id)
	s.startWorker(i, w)
	s.workers[i] = w
}

// worker returns the current incarnation of a worker.
func (s *soak) worker(i int) *hostedWorker {
	s.workersMu.Lock()
	defer s.workersMu.Unlock()
	return s.workers[i]
}

// crashWorker kills a worker and starts a new incarnation at its address.
func (s *soak) crashWorker(i int) {
	old := s.worker(i)
	s.note("crash %s", old.id)
	old.kill()
	s.replaceWorker(i, old, false)
}

// changeWorkers lets workers leave and changes capacities until stop is closed.
// It has its own random numbers, so that it runs beside injectFault.
func (s *soak) changeWorkers(random *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(eventPause)))):
		}
		i, drain, workOn, lost := random.IntN(len(s.workers)), random.IntN(2000), 1000+random.IntN(4000), random.IntN(3) > 0
		open, cpu := *soakWorkers+random.IntN(openWorkers), 1000*int64(1+random.IntN(maxCapacity/1000))
		if random.IntN(3) > 0 {
			s.worker(open).resize(cpu)
			continue
		}
		s.leaveWorker(i, time.Duration(drain)*time.Millisecond, time.Duration(workOn)*time.Millisecond, lost)
	}
}

// leaveWorker lets a worker leave and starts its successor.
func (s *soak) leaveWorker(i int, drain, workOn time.Duration, answersLost bool) {
	w := s.worker(i)
	if w.isLeaving() {
		return
	}
	s.note("%s leaves after %s, works on for %s, answers lost: %t", w.id, drain, workOn, answersLost)
	go func() {
		w.leave(s.controlAddresses(), drain, workOn, answersLost)
		s.replaceWorker(i, w, false)
	}()
}

// endWorkers makes sure that no worker starts after the test.
func (s *soak) endWorkers() {
	s.workersMu.Lock()
	defer s.workersMu.Unlock()
	s.over = true
}
