package control

import (
	"context"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/state"
)

func (s *Server) registerClaims() {
	link.Handle(s.node, message.ClaimKind, s.serveClaim)
	link.Handle(s.node, message.FinishClaimKind, s.serveFinishClaim)
	link.Handle(s.node, message.ReleaseClaimKind, s.serveReleaseClaim)
}

func (s *Server) serveClaim(ctx context.Context, peer link.Peer, command state.ClaimCommand) (state.ClaimAnswer, error) {
	if peer.ID != command.Entry {
		return state.ClaimAnswer{}, errForeignEntry(peer, command.Entry)
	}
	answer, err := propose[state.ClaimAnswer](ctx, s, state.ClaimKey, command)
	if err != nil {
		return state.ClaimAnswer{}, toFault(err)
	}
	return answer, nil
}

func (s *Server) serveFinishClaim(ctx context.Context, _ link.Peer, end state.ClaimEnd) (message.Done, error) {
	return s.endClaim(ctx, state.FinishClaim, end)
}

func (s *Server) serveReleaseClaim(ctx context.Context, _ link.Peer, end state.ClaimEnd) (message.Done, error) {
	return s.endClaim(ctx, state.ReleaseClaim, end)
}

// endClaim does not check the peer: only the entry that made the claim knows
// the attempt.
func (s *Server) endClaim(ctx context.Context, kind state.Kind, end state.ClaimEnd) (message.Done, error) {
	if _, err := propose[string](ctx, s, kind, end); err != nil {
		return message.Done{}, toFault(err)
	}
	return message.Done{}, nil
}
