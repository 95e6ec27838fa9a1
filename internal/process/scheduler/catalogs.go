package scheduler

import (
	"context"
	"fmt"
	"sync"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// catalogGate lets one proposal of a configuration's version go at a time. An
// operator without an answer sends a configuration again each second; copies
// of a large one in the log would hold up all that comes after it.
type catalogGate struct {
	mu sync.Mutex
	// running holds what is closed when a version's proposal has ended.
	running map[int64]chan struct{}
}

// enter begins the proposal of a version. If one is running it returns what
// is closed at its end, and nothing is begun.
func (g *catalogGate) enter(version int64) (running chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if running = g.running[version]; running != nil {
		return running
	}
	if g.running == nil {
		g.running = map[int64]chan struct{}{}
	}
	g.running[version] = make(chan struct{})
	return nil
}

func (g *catalogGate) leave(version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.running[version])
	delete(g.running, version)
}

// ReplaceCatalog takes a configuration into force if its version is higher
// than the one held. What was accepted before is acknowledged again.
func (s *Server) ReplaceCatalog(ctx context.Context, r workcall.CatalogRequest) (workcall.CatalogResponse, error) {
	for {
		if held := s.heldVersion(); r.Catalog.Version <= held {
			s.log.Info("configuration held already", "version", r.Catalog.Version, "in_force", held)
			return workcall.CatalogResponse{Version: held}, nil
		}
		running := s.catalogs.enter(r.Catalog.Version)
		if running == nil {
			return s.proposeCatalog(ctx, r)
		}
		select {
		case <-running:
		case <-ctx.Done():
			return workcall.CatalogResponse{}, s.fault(fmt.Errorf("configuration %d is on its way: %w", r.Catalog.Version, replica.ErrUnknownResult))
		}
	}
}

// heldVersion returns the version of the committed configuration.
func (s *Server) heldVersion() (version int64) {
	s.machine.Read(func(v *workstate.View) { version = v.Catalog().Version })
	return version
}

func (s *Server) proposeCatalog(ctx context.Context, r workcall.CatalogRequest) (workcall.CatalogResponse, error) {
	defer s.catalogs.leave(r.Catalog.Version)
	result, err := s.propose(ctx, &workstate.Command{Catalog: &r.Catalog})
	if err != nil {
		return workcall.CatalogResponse{}, err
	}
	s.log.Info("configuration committed", "version", r.Catalog.Version, "in_force", result.Version, "superseded", result.Repeated, "queues", len(r.Catalog.Queues))
	return workcall.CatalogResponse{Version: result.Version}, nil
}
