package scheduler

import (
	"context"
	"fmt"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// ReplaceCatalog replaces the configuration if its version is higher than the
// current one. A configuration that was accepted before is acknowledged again.
func (s *Server) ReplaceCatalog(ctx context.Context, r workcall.CatalogRequest) (workcall.CatalogResponse, error) {
	for {
		if current := s.committedVersion(); r.Catalog.Version <= current {
			s.log.Info("configuration already committed", "version", r.Catalog.Version, "in_force", current)
			return workcall.CatalogResponse{Version: current}, nil
		}
		running := s.proposals.Begin(r.Catalog.Version)
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
	defer s.proposals.Finish(r.Catalog.Version)
	result, err := s.propose(ctx, &workstate.Command{Catalog: &r.Catalog})
	if err != nil {
		return workcall.CatalogResponse{}, err
	}
	s.log.Info("configuration committed", "version", r.Catalog.Version, "in_force", result.Version, "superseded", result.Repeated, "queues", len(r.Catalog.Queues))
	return workcall.CatalogResponse{Version: result.Version}, nil
}
