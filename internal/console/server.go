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

// New creates a console process and registers its routes. Start begins to serve.
func New(s *settings.Console, ring *keys.Ring, admin *adminhttp.Server, recorder *timeline.Recorder, log *slog.Logger) *Server {
	server := &Server{settings: s, ring: ring, admin: admin, recorder: recorder, log: log,
		sessions:    newSessionStore(time.Duration(s.SessionMinutes) * time.Minute),
		crossOrigin: http.NewCrossOriginProtection()}
	server.samples = newSampler(s, server, log)
	server.register(admin.Engine)
	return server
}

// register adds the routes of all pages to the engine.
func (s *Server) register(engine *gin.Engine) {
	public := engine.Group("", setSecurityHeaders, s.checkOriginAndParseForm)
	public.GET("/sign-in", s.getSignIn)
	public.POST("/sign-in", s.postSignIn)
	public.GET("/style.css", getStyle)
	pages := public.Group("", s.requireSession)
	pages.GET("/", func(c *gin.Context) { c.Redirect(http.StatusSeeOther, "/fleet") })
	pages.POST("/sign-out", s.postSignOut)
	pages.GET("/fleet", s.getFleet)
	pages.GET("/waves", s.getWaves)
	pages.GET("/refusals", s.getRefusals)
	s.registerDraft(pages)
	engine.NoRoute(setSecurityHeaders, func(c *gin.Context) { s.renderError(c, http.StatusNotFound, "There is no such page.") })
}

// registerDraft adds the routes of the pages that edit a draft.
func (s *Server) registerDraft(pages *gin.RouterGroup) {
	pages.GET("/draft", s.getDraft)
	pages.POST("/draft/open", s.postOpen)
	editing := pages.Group("/draft", s.requireDraft)
	editing.POST("/deployment", s.postDeployment)
	editing.GET("/section/:section", s.getSection)
	editing.GET("/section/:section/edit", s.getForm)
	editing.POST("/section/:section/edit", s.postForm)
	editing.POST("/section/:section/remove", s.postRemove)
	editing.GET("/budgets", s.getBudgets)
	editing.POST("/budgets", s.postBudgets)
	editing.GET("/moves", s.getMoves)
	editing.POST("/moves", s.postMoves)
	editing.GET("/review", s.getReview)
	editing.POST("/finish", s.postFinish)
	editing.GET("/document", s.getDocument)
	editing.GET("/download", s.getDownload)
	editing.POST("/apply", s.requireRole(keys.Operator), s.postApply)
}

// newClient returns a client that sends an operator's token, so that control
// checks the operator's role itself.
func (s *Server) newClient(token string) *adminclient.Client {
	return adminclient.New(s.ring, s.settings.Control, token)
}

// Start starts the sampler and serves the pages.
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

// Stop ends the process after the requests in progress are answered.
func (s *Server) Stop(ctx context.Context) error {
	s.admin.SetReady(false)
	s.cancel()
	return s.admin.Stop(ctx)
}
