package entry

import (
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/request/batch"
)

// systemPrefix is the path prefix of the system's own routes on the callers'
// port.
const systemPrefix = "/.arbutus/"

// callerRoutes returns the handler of the callers' port. It serves the
// system's own routes, and handles all other requests as requests to services.
// During a graceful stop every answer asks the caller to close its connection,
// so that few connections are open when the port closes.
func (s *Server) callerRoutes(routes *batch.Routes) http.Handler {
	s.handler.SetBatchAcceptor(routes)
	system := gin.New()
	system.Use(gin.Recovery())
	routes.Register(system)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		if strings.HasPrefix(r.URL.Path, systemPrefix) {
			system.ServeHTTP(w, r)
			return
		}
		s.handler.ServeHTTP(w, r)
	})
}

// announceRoutes returns the handler of the port for announcements by the
// zone's targets.
func (s *Server) announceRoutes(ring *keys.Ring) http.Handler {
	engine := gin.New()
	engine.Use(gin.Recovery())
	s.targets.Register(engine, ring)
	return engine
}
