package entry

import (
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/request/batch"
)

// ownPrefix is the path prefix of the system's own routes on the callers' port.
const ownPrefix = "/.arbutus/"

// callerRoutes serves the system's own routes, and all others as requests
// to services. While the process stops, every answer asks the caller to
// close its connection, so that few are open when the port closes.
func (s *Server) callerRoutes(routes *batch.Routes) http.Handler {
	s.handler.SetBatchAcceptor(routes)
	own := gin.New()
	own.Use(gin.Recovery())
	routes.Register(own)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		if strings.HasPrefix(r.URL.Path, ownPrefix) {
			own.ServeHTTP(w, r)
			return
		}
		s.handler.ServeHTTP(w, r)
	})
}

// announceRoutes serves the targets of the zone.
func (s *Server) announceRoutes(ring *keys.Ring) http.Handler {
	engine := gin.New()
	engine.Use(gin.Recovery())
	s.targets.Register(engine, ring)
	return engine
}
