package console

import (
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/keys"
)

const (
	// maxFormBytes is the largest accepted body of a form.
	maxFormBytes = 64 << 10
	// cookieName is the name of the session cookie. Its prefix binds the cookie
	// to this host and to HTTPS (RFC 6265bis).
	cookieName = "__Host-arbutus-session"
	// csrfField is the hidden form field that carries the CSRF token.
	csrfField = "csrf"
	// sessionKey is the key of the session in the gin context.
	sessionKey = "session"
)

// securityHeaders are sent with every page. Browsers then run no scripts, load
// styles and images from this origin only, and let no other site frame the pages.
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

// setSecurityHeaders is the middleware that sets securityHeaders.
func setSecurityHeaders(c *gin.Context) {
	for name, value := range securityHeaders {
		c.Header(name, value)
	}
}

// checkOriginAndParseForm is the middleware that refuses cross-origin POST
// requests and parses forms of at most maxFormBytes.
func (s *Server) checkOriginAndParseForm(c *gin.Context) {
	if err := s.crossOrigin.Check(c.Request); err != nil {
		s.renderError(c, http.StatusForbidden, "This form was sent from another site and was not carried out.")
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
		s.renderError(c, http.StatusRequestEntityTooLarge, "The form is larger than the console takes.")
	case err != nil:
		s.renderError(c, http.StatusBadRequest, "The form could not be read.")
	}
}

// requireSession is the middleware that redirects requests without a live session
// to the sign-in page and refuses POST requests without the session's CSRF token.
// It holds the session's lock, so that requests of one session are handled one at
// a time.
func (s *Server) requireSession(c *gin.Context) {
	id, _ := c.Cookie(cookieName)
	sess := s.sessions.find(id, time.Now())
	if sess == nil {
		c.Redirect(http.StatusSeeOther, "/sign-in")
		c.Abort()
		return
	}
	if c.Request.Method == http.MethodPost && !sess.checkCSRF(c.Request.PostForm.Get(csrfField)) {
		s.renderError(c, http.StatusForbidden, "The form does not belong to this session and was not carried out. Load the page again.")
		return
	}
	sess.mu.Lock()
	defer sess.mu.Unlock()
	c.Set(sessionKey, sess)
	c.Next()
}

// requireRole returns middleware that refuses sessions without the role.
func (s *Server) requireRole(role keys.Role) gin.HandlerFunc {
	return func(c *gin.Context) {
		if claims := currentSession(c).claims; !claims.Role.Allows(role) {
			s.renderError(c, http.StatusForbidden, "Your role is "+string(claims.Role)+"; this needs the role "+string(role)+".")
		}
	}
}

// currentSession returns the session of a request that has passed requireSession.
func currentSession(c *gin.Context) *session {
	sess, _ := c.MustGet(sessionKey).(*session)
	return sess
}

// setSessionCookie sets the session cookie to the identifier; "" deletes the
// cookie.
func setSessionCookie(c *gin.Context, id string) {
	cookie := &http.Cookie{Name: cookieName, Value: id, Path: "/", Secure: true, HttpOnly: true, SameSite: http.SameSiteStrictMode}
	if id == "" {
		cookie.MaxAge = -1
	}
	http.SetCookie(c.Writer, cookie)
}
