package console

import (
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/keys"
)

const (
	// maxFormBytes bounds the body of a form.
	maxFormBytes = 64 << 10
	// cookieName has the prefix that binds the cookie to this host and to
	// HTTPS (RFC 6265bis).
	cookieName = "__Host-arbutus-session"
	// csrfField is the hidden field of every form.
	csrfField = "csrf"
	// sessionKey is the gin context key of the session.
	sessionKey = "session"
)

// securityHeaders are sent with every page. No script and no style of
// other origins runs, and no other site can frame the pages.
var securityHeaders = map[string]string{
	"Content-Security-Policy":      "default-src 'none'; style-src 'self'; img-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'",
	"X-Content-Type-Options":       "nosniff",
	"X-Frame-Options":              "DENY",
	"Referrer-Policy":              "no-referrer",
	"Cross-Origin-Opener-Policy":   "same-origin",
	"Cross-Origin-Resource-Policy": "same-origin",
	"Permissions-Policy":           "camera=(), geolocation=(), microphone=()",
	"Strict-Transport-Security":    "max-age=31536000",
	"Cache-Control":                "no-store",
}

func setHeaders(c *gin.Context) {
	for name, value := range securityHeaders {
		c.Header(name, value)
	}
}

// checkOrigin refuses posts that a page of another origin makes, and reads
// the form within its bound.
func (s *Server) checkOrigin(c *gin.Context) {
	if err := s.crossOrigin.Check(c.Request); err != nil {
		s.fail(c, http.StatusForbidden, "This form was sent from another site and was not carried out.")
		return
	}
	if c.Request.Method != http.MethodPost {
		return
	}
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxFormBytes)
	err := c.Request.ParseForm()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		s.fail(c, http.StatusRequestEntityTooLarge, "The form is larger than the console takes.")
	case err != nil:
		s.fail(c, http.StatusBadRequest, "The form could not be read.")
	}
}

// requireSession lets only signed-in operators pass, and posts only with
// the session's CSRF token. Requests of one session go one by one.
func (s *Server) requireSession(c *gin.Context) {
	id, _ := c.Cookie(cookieName)
	found := s.sessions.find(id, time.Now())
	if found == nil {
		c.Redirect(http.StatusSeeOther, "/sign-in")
		c.Abort()
		return
	}
	if c.Request.Method == http.MethodPost && !found.checkCSRF(c.Request.PostForm.Get(csrfField)) {
		s.fail(c, http.StatusForbidden, "The form does not belong to this session and was not carried out. Load the page again.")
		return
	}
	found.mu.Lock()
	defer found.mu.Unlock()
	c.Set(sessionKey, found)
	c.Next()
}

// requireRole lets only sessions with the role pass.
func (s *Server) requireRole(role keys.Role) gin.HandlerFunc {
	return func(c *gin.Context) {
		if claims := current(c).claims; !claims.Role.Allows(role) {
			s.fail(c, http.StatusForbidden, "Your role is "+string(claims.Role)+"; this needs the role "+string(role)+".")
		}
	}
}

// current returns the session of a request that passed requireSession.
func current(c *gin.Context) *session {
	found, _ := c.MustGet(sessionKey).(*session)
	return found
}

// setCookie stores the session's identifier in the browser; "" removes it.
func setCookie(c *gin.Context, id string) {
	cookie := &http.Cookie{Name: cookieName, Value: id, Path: "/", Secure: true, HttpOnly: true, SameSite: http.SameSiteStrictMode}
	if id == "" {
		cookie.MaxAge = -1
	}
	http.SetCookie(c.Writer, cookie)
}
