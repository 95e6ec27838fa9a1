// Package adminhttp serves the administrative port of a process over HTTPS:
// health checks, metrics, the timeline and the routes that the program adds.
// Metrics and the timeline require an operator's token. A program decides which
// of its own routes do, see Server.Require.
package adminhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Timeouts and limits of the administrative port.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 30 * time.Second
	writeTimeout   = 90 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// operatorKey is the key of the operator's claims in the gin context.
const operatorKey = "operator"

// Fault is the body of the answer to an administrative call that was refused or
// failed.
type Fault struct {
	// Code identifies the error for scripts. It is stable.
	Code string `json:"code"`
	// Message describes the error for people.
	Message string `json:"message"`
	// Leader is the leader's address for operators, if the call has to be
	// made there.
	Leader string `json:"leader,omitempty"`
}

// Server serves the administrative port of a process.
type Server struct {
	// Engine is the router. Further routes must be added before Start.
	Engine *gin.Engine

	ring  *keys.Ring
	http  *http.Server
	log   *slog.Logger
	ready atomic.Bool
}

// New returns a server with the routes that all processes have.
func New(ring *keys.Ring, recorder *timeline.Recorder, log *slog.Logger) *Server {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	server := &Server{Engine: engine, ring: ring, log: log}
	engine.Use(gin.CustomRecoveryWithWriter(io.Discard, server.recovered))
	server.http = &http.Server{Handler: engine, TLSConfig: ring.ServerTLS(), ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", server.serveReady)
	engine.GET("/metrics", server.Require(keys.Viewer), func(c *gin.Context) { metrics.WritePrometheus(c.Writer, true) })
	engine.GET("/v1/timeline", server.Require(keys.Viewer), func(c *gin.Context) { serveTimeline(c, recorder) })
	registerBuildInfo()
	registerCertificate(ring)
	return server
}

// serveTimeline answers with the events after the sequence number ?since that
// the filter in the other parameters selects.
func serveTimeline(c *gin.Context, recorder *timeline.Recorder) {
	since, err := strconv.ParseUint(c.DefaultQuery("since", "0"), 10, 64)
	if err != nil {
		c.JSON(http.StatusBadRequest, Fault{Code: "bad_since", Message: "expected ?since= as a sequence number"})
		return
	}
	filter, err := timeline.ParseFilter(c.Request.URL.Query())
	if err != nil {
		c.JSON(http.StatusBadRequest, Fault{Code: "bad_filter", Message: err.Error()})
		return
	}
	c.JSON(http.StatusOK, recorder.Page(since, filter))
}

// recovered answers a call whose handler panicked, and logs the stack.
func (s *Server) recovered(c *gin.Context, fault any) {
	s.log.Error("handler panicked", "path", c.FullPath(), "fault", fmt.Sprint(fault), "stack", string(debug.Stack()))
	c.AbortWithStatusJSON(http.StatusInternalServerError, Fault{Code: "internal", Message: "internal fault, see the log of the process"})
}

// SetReady sets the answer of the readiness check.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

func (s *Server) serveReady(c *gin.Context) {
	if !s.ready.Load() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// Require returns middleware that admits only calls with a token for the role.
func (s *Server) Require(role keys.Role) gin.HandlerFunc {
	return func(c *gin.Context) {
		token, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
		if !found {
			c.AbortWithStatusJSON(http.StatusUnauthorized, Fault{Code: "no_token", Message: "expected a bearer token"})
			return
		}
		claims, err := s.ring.CheckToken(token, time.Now())
		if err != nil {
			c.AbortWithStatusJSON(http.StatusUnauthorized, Fault{Code: "bad_token", Message: err.Error()})
			return
		}
		if !claims.Role.Allows(role) {
			c.AbortWithStatusJSON(http.StatusForbidden, Fault{Code: "forbidden", Message: "role " + string(claims.Role) + " may not do this, expected " + string(role)})
			return
		}
		c.Set(operatorKey, claims)
	}
}

// CallerClaims returns the claims of the operator whose call passed Require.
func CallerClaims(c *gin.Context) keys.Claims {
	claims, _ := c.MustGet(operatorKey).(keys.Claims)
	return claims
}

// Start listens on the address and serves until Stop.
func (s *Server) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return logging.Wrap(err, "listen on administrative port", address)
	}
	go func() {
		if err := s.http.ServeTLS(listener, "", ""); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("administrative port stopped serving", logging.Err(err))
		}
	}()
	return nil
}

// Stop shuts the server down gracefully.
func (s *Server) Stop(ctx context.Context) error { return s.http.Shutdown(ctx) }
