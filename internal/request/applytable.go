package request

import (
	"maps"
	"time"

	"arbutusward.example/arbutusward/internal/connection/announce"
	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Sizes of a VM for which the view has none.
const (
	defaultSlots       = fleet.DefaultSlots
	defaultConnections = fleet.DefaultConnections
)

// applyTable updates the scheduler to a newer table and returns the services
// by name. Workers, pools and services remain the same objects, so requests in
// flight remain counted.
func (s *scheduler) applyTable(t *Table, client *targetconn.Client) map[string]*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.workers {
		if _, known := t.View.VMs[name]; !known {
			s.retireWorker(s.workers[name])
		}
	}
	for _, vm := range t.View.VMs {
		s.applyVM(t, vm, client)
	}
	s.applyServices(t)
	now := time.Now()
	for _, p := range s.pools {
		s.dispatchWaiters(p, now)
	}
	return maps.Clone(s.services)
}

// retireWorker stops new work on a VM that is no longer in the view.
func (s *scheduler) retireWorker(w *worker) {
	s.disableWorker(w)
	w.phase = view.Retired
	if w.inFlight == 0 {
		delete(s.workers, w.vm)
	}
}

// disableWorker excludes a worker from new work and resets its health.
func (s *scheduler) disableWorker(w *worker) {
	if w.usable {
		w.pool.workers--
	}
	w.usable = false
	s.resetHealth(w)
	s.updatePlacement(w)
}

func (s *scheduler) applyVM(t *Table, vm view.VM, client *targetconn.Client) {
	p := s.poolNamed(vm.Pool)
	w := s.workers[vm.Name]
	if w == nil {
		w = &worker{vm: vm.Name, pool: p, group: p.groupFor(announce.Target{}), successRate: 1, probeIndex: absent}
		s.workers[vm.Name] = w
	}
	target, usable := t.target(vm)
	if w.pool != p || !usable || w.incarnation != target.Incarnation {
		s.disableWorker(w)
	}
	if w.placed {
		w.group.remove(w)
	}
	if w.pool != p || usable {
		w.group = p.groupFor(target)
	}
	w.pool, w.rack, w.epoch, w.phase = p, vm.Rack, vm.Epoch, vm.Phase
	if usable {
		w.slots = t.share(vm.Name, orDefault(vm.Slots, defaultSlots))
		w.connect(t, vm, target, client)
	}
	if usable && !w.usable {
		p.workers++
	}
	w.usable, w.expired = usable, false
	s.updatePlacement(w)
}

// connect sets the worker's connection pool and incarnation to those of the
// running target.
func (w *worker) connect(t *Table, vm view.VM, target announce.Target, client *targetconn.Client) {
	limit := t.share(vm.Name, orDefault(vm.Connections, defaultConnections))
	if w.conns == nil || w.conns.Address() != target.Address || w.incarnation != target.Incarnation {
		if w.conns != nil {
			w.conns.Close()
		}
		w.conns = client.NewPool(target.Address, limit)
	}
	w.conns.SetLimit(limit)
	w.incarnation = target.Incarnation
}

func (s *scheduler) applyServices(t *Table) {
	for _, p := range s.pools {
		p.services, p.spillServices = nil, nil
	}
	for i := range t.services {
		s.applyService(t, &t.services[i])
	}
	for name, svc := range s.services {
		if _, known := t.View.Services[name]; !known {
			s.rejectWaiters(svc)
			delete(s.services, name)
		}
	}
}

func (s *scheduler) applyService(t *Table, definition *fleet.Service) {
	svc := s.services[definition.Name]
	home := s.poolNamed(definition.Pool)
	if svc == nil {
		svc = newService(definition.Name)
		svc.home, svc.class = home, definition.Class
		svc.metrics = newServiceMetrics(definition.Name, string(definition.Class))
		s.services[definition.Name] = svc
	}
	svc.addWaiting(-svc.queue.length)
	svc.home, svc.class = home, definition.Class
	svc.addWaiting(svc.queue.length)
	svc.queueLimit = orDefault(definition.QueueLimit, fleet.DefaultQueueLimit)
	svc.spare = nil
	home.services = append(home.services, svc)
	if definition.Spill && t.View.SparePool != "" && t.View.SparePool != definition.Pool {
		svc.spare = s.poolNamed(t.View.SparePool)
		svc.spare.spillServices = append(svc.spare.spillServices, svc)
	}
}

// rejectWaiters refuses all waiters of a removed service.
func (s *scheduler) rejectWaiters(svc *service) {
	for w := svc.queue.next(); w != nil; w = svc.queue.next() {
		s.refuse(w, reasonRemoved, 0)
	}
}

func (s *scheduler) poolNamed(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = newPool(name)
		s.pools[name] = p
	}
	return p
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}
