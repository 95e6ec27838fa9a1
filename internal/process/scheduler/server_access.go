package scheduler

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/access"
)

// deniedCalls counts the calls that the leader refused since their key does not allow
// them, by reason.
var deniedCalls = map[access.Reason]*metrics.Counter{
	access.UnknownKey:   metrics.NewCounter(`arbutus_access_refused_total{reason="unknown_key"}`),
	access.KeyMissing:   metrics.NewCounter(`arbutus_access_refused_total{reason="key_missing"}`),
	access.OtherAccount: metrics.NewCounter(`arbutus_access_refused_total{reason="other_account"}`),
}

// logDenied logs and counts a call that is refused for its key.
func (s *Server) logDenied(location workcall.Location, reason access.Reason) {
	counter := deniedCalls[reason]
	if counter == nil {
		return
	}
	counter.Inc()
	s.log.Info("call refused", "host", location.Host, "path", location.Path, "reason", reason.String())
}

// Accounts returns the keys that are known.
func (s *Server) Accounts(ctx context.Context, r workcall.AccountsRequest) (workcall.AccountsResponse, error) {
	var response workcall.AccountsResponse
	err := s.read(ctx, func(v *workstate.View) {
		c := v.Catalog()
		response = workcall.AccountsResponse{Version: c.Version, AccessControl: c.AccessControl}
		if c.Version == r.Known {
			return
		}
		for i := range c.Accounts {
			response.Keys = append(response.Keys, c.Accounts[i].Keys...)
		}
	})
	return response, err
}
