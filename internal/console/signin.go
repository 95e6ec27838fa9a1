package console

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// signInPage is the form for the token.
type signInPage struct {
	Error string
}

func (s *Server) getSignIn(c *gin.Context) {
	s.render(c, http.StatusOK, "signin", "Sign in", signInPage{})
}

// postSignIn begins a session under a new identifier; an older session of
// the browser ends.
func (s *Server) postSignIn(c *gin.Context) {
	token := adminclient.ReadToken([]byte(c.Request.PostForm.Get("token")))
	claims, err := s.ring.CheckToken(token, time.Now())
	if err != nil || !claims.Role.Allows(keys.Viewer) {
		s.log.Warn("sign-in refused", "from", c.RemoteIP())
		s.render(c, http.StatusForbidden, "signin", "Sign in", signInPage{Error: "This token is not valid here. It may have expired, or belong to another deployment or to targets."})
		return
	}
	if older, err := c.Cookie(cookieName); err == nil {
		s.sessions.end(older)
	}
	begun, err := s.sessions.begin(claims, token, s.newClient(token), time.Now())
	if err != nil {
		s.fail(c, http.StatusServiceUnavailable, err.Error())
		return
	}
	s.recorder.Record(timeline.Event{Kind: timeline.OperatorAction, Cause: "console: " + claims.Subject + " signed in as " + string(claims.Role)})
	setCookie(c, begun.id)
	c.Redirect(http.StatusSeeOther, "/fleet")
}

func (s *Server) postSignOut(c *gin.Context) {
	s.sessions.end(current(c).id)
	setCookie(c, "")
	c.Redirect(http.StatusSeeOther, "/sign-in")
}
