package scheduler

import (
	"context"
	"fmt"
	"sync"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// proposalGate allows one proposal at a time for each version of the
// configuration. An operator that gets no answer sends a configuration again
// each second. Copies of a large one in the log would delay all later entries.
type proposalGate struct {
	mu sync.Mutex
	// running holds, by version, a channel that is closed when the proposal has
	// ended.
	running map[int64]chan struct{}
}

// begin begins the proposal of a version and returns nil. If a proposal of the
// version is already running, it returns a channel that is closed at its end.
func (g *proposalGate) begin(version int64) (running chan struct{}) {
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

func (g *proposalGate) finish(version int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.running[version])
	delete(g.running, version)
}

// ReplaceCatalog replaces the configuration if its version is higher than the
// current one. A configuration that was accepted before is acknowledged again.
func (s *Server) ReplaceCatalog(ctx context.Context, r workcall.CatalogRequest) (workcall.CatalogResponse, error) {
	for {
		if current := s.committedVersion(); r.Catalog.Version <= current {
			s.log.Info("configuration already committed", "version", r.Catalog.Version, "in_force", current)
			return workcall.CatalogResponse{Version: current}, nil
		}
		running := s.proposals.begin(r.Catalog.Version)
		if running == nil {
			return s.proposeCatalog(ctx, r)
		}
		select {
		case <-running:
		case <-ctx.Done():
			return workcall.CatalogResponse{}, s.fault(fmt.Errorf("configuration %d is still being proposed: %w", r.Catalog.Version, replica.ErrUnknownResult))
		}
	}
}

// committedVersion returns the version of the committed configuration.
func (s *Server) committedVersion() (version int64) {
	s.machine.Read(func(v *workstate.View) { version = v.Catalog().Version })
	return version
}

func (s *Server) proposeCatalog(ctx context.Context, r workcall.CatalogRequest) (workcall.CatalogResponse, error) {
	defer s.proposals.finish(r.Catalog.Version)
	result, err := s.propose(ctx, &workstate.Command{Catalog: &r.Catalog})
	if err != nil {
		return workcall.CatalogResponse{}, err
	}
	s.log.Info("configuration committed", "version", r.Catalog.Version, "in_force", result.Version, "superseded", result.Repeated, "queues", len(r.Catalog.Queues))
	return workcall.CatalogResponse{Version: result.Version}, nil
}
