package console

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// signInPage is the data of the sign-in form.
type signInPage struct {
	Error string
}

func (s *Server) getSignIn(c *gin.Context) {
	s.render(c, http.StatusOK, "signin", "Sign in", signInPage{})
}

// postSignIn checks the token and creates a session with a new identifier. It ends
// the browser's previous session, if there is one.
func (s *Server) postSignIn(c *gin.Context) {
	token := adminclient.ReadToken([]byte(c.Request.PostForm.Get("token")))
	claims, err := s.ring.CheckToken(token, time.Now())
	if err != nil || !claims.Role.Allows(keys.Viewer) {
		s.log.Warn("sign-in refused", "from", c.RemoteIP())
		s.render(c, http.StatusForbidden, "signin", "Sign in", signInPage{Error: "This token is not valid here. It may have expired, or belong to another deployment or to targets."})
		return
	}
	if previous, err := c.Cookie(cookieName); err == nil {
		s.sessions.remove(previous)
	}
	sess, err := s.sessions.create(claims, token, s.newClient(token), time.Now())
	if err != nil {
		s.renderError(c, http.StatusServiceUnavailable, err.Error())
		return
	}
	s.recorder.Record(timeline.Event{Kind: timeline.OperatorAction, Cause: "console: " + claims.Subject + " signed in as " + string(claims.Role)})
	setSessionCookie(c, sess.id)
	c.Redirect(http.StatusSeeOther, "/fleet")
}

func (s *Server) postSignOut(c *gin.Context) {
	s.sessions.remove(currentSession(c).id)
	setSessionCookie(c, "")
	c.Redirect(http.StatusSeeOther, "/sign-in")
}
