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

// batchTaker is the part of the request handler that hands over batch
// requests to be run later.
type batchTaker interface {
	SetBatchAcceptor(acceptor batchAcceptor)
}

// batchAcceptor stores a request to be run later and answers the caller.
type batchAcceptor = interface {
	Accept(w http.ResponseWriter, r *http.Request, id, service string, body []byte)
}

// callerRoutes serves the system's own routes, and all others as requests
// to services. While the process stops, every answer asks the caller to
// close its connection, so that few are open when the port closes.
func (s *Server) callerRoutes(routes *batch.Routes) http.Handler {
	if taker, ok := any(s.handler).(batchTaker); ok {
		taker.SetBatchAcceptor(routes)
	}
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
