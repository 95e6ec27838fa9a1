package console

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Server is one console process.
type Server struct {
	settings    *settings.Console
	ring        *keys.Ring
	admin       *adminhttp.Server
	recorder    *timeline.Recorder
	log         *slog.Logger
	sessions    *sessionStore
	samples     *sampler
	crossOrigin *http.CrossOriginProtection
	cancel      context.CancelFunc
}

// New wires a console process; Start makes it serve.
func New(s *settings.Console, ring *keys.Ring, admin *adminhttp.Server, recorder *timeline.Recorder, log *slog.Logger) *Server {
	server := &Server{settings: s, ring: ring, admin: admin, recorder: recorder, log: log,
		sessions:    newSessionStore(time.Duration(s.SessionMinutes) * time.Minute),
		crossOrigin: http.NewCrossOriginProtection()}
	server.samples = newSampler(s, server, log)
	server.register(admin.Engine)
	return server
}

func (s *Server) register(engine *gin.Engine) {
	open := engine.Group("", setHeaders, s.checkOrigin)
	open.GET("/sign-in", s.getSignIn)
	open.POST("/sign-in", s.postSignIn)
	open.GET("/style.css", getStyle)
	pages := open.Group("", s.requireSession)
	pages.GET("/", func(c *gin.Context) { c.Redirect(http.StatusSeeOther, "/fleet") })
	pages.POST("/sign-out", s.postSignOut)
	pages.GET("/fleet", s.getFleet)
	pages.GET("/waves", s.getWaves)
	pages.GET("/refusals", s.getRefusals)
	s.registerDraft(pages)
	engine.NoRoute(setHeaders, func(c *gin.Context) { s.fail(c, http.StatusNotFound, "There is no such page.") })
}

func (s *Server) registerDraft(pages *gin.RouterGroup) {
	pages.GET("/draft", s.getDraft)
	pages.POST("/draft/open", s.postOpen)
	work := pages.Group("/draft", s.requireDraft)
	work.POST("/deployment", s.postDeployment)
	work.GET("/section/:section", s.getSection)
	work.GET("/section/:section/edit", s.getForm)
	work.POST("/section/:section/edit", s.postForm)
	work.POST("/section/:section/remove", s.postRemove)
	work.GET("/budgets", s.getBudgets)
	work.POST("/budgets", s.postBudgets)
	work.GET("/moves", s.getMoves)
	work.POST("/moves", s.postMoves)
	work.GET("/review", s.getReview)
	work.POST("/finish", s.postFinish)
	work.GET("/document", s.getDocument)
	work.GET("/download", s.getDownload)
	work.POST("/apply", s.requireRole(keys.Operator), s.postApply)
}

// newClient makes a client that acts by an operator's token, so that
// control checks the role for itself.
func (s *Server) newClient(token string) *adminclient.Client {
	return adminclient.New(s.ring, s.settings.Control, token)
}

// Start serves the pages.
func (s *Server) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.samples.run(ctx)
	if err := s.admin.Start(s.settings.Listen); err != nil {
		return err
	}
	s.admin.SetReady(true)
	s.recorder.Record(timeline.Event{Kind: timeline.ProcessStarted})
	return nil
}

// Stop ends the process; pages in work are answered first.
func (s *Server) Stop(ctx context.Context) error {
	s.admin.SetReady(false)
	s.cancel()
	return s.admin.Stop(ctx)
}
