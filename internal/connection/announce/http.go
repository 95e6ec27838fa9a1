package announce

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/keys"
)

// maxAnnouncementBytes bounds the body of one announcement.
const maxAnnouncementBytes = 64 << 10

// Refusal is the answer to an announcement that was refused.
type Refusal struct {
	// Code is stable, so that programs can match it. Message is for people.
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Register adds the announcement route to an engine.
func (t *Table) Register(engine *gin.Engine, ring *keys.Ring) {
	engine.POST("/v1/targets", func(c *gin.Context) { t.serve(c, ring) })
}

func (t *Table) serve(c *gin.Context, ring *keys.Ring) {
	from := senderOf(c.Request.Context())
	defer from.recordContact()
	token, _ := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	claims, err := ring.CheckToken(token, time.Now())
	if err != nil {
		c.JSON(http.StatusUnauthorized, Refusal{Code: "bad_token", Message: err.Error()})
		return
	}
	if claims.Role != keys.Target {
		c.JSON(http.StatusForbidden, Refusal{Code: "wrong_role", Message: "found role " + string(claims.Role) + ", expected the token of a pool's targets"})
		return
	}
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxAnnouncementBytes)
	var a Announcement
	if err := c.ShouldBindJSON(&a); err != nil {
		c.JSON(http.StatusBadRequest, Refusal{Code: "malformed", Message: err.Error()})
		return
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil || a.VM == "" || a.Incarnation == "" {
		c.JSON(http.StatusBadRequest, Refusal{Code: "malformed", Message: "expected vm, incarnation and address as host:port"})
		return
	}
	lease, err := t.acceptSent(a, claims.Subject, from.sentAfter())
	if err != nil {
		refuse(c, err)
		return
	}
	c.JSON(http.StatusOK, lease)
}

// refuse answers an announcement that the table refused.
func refuse(c *gin.Context, err error) {
	switch {
	case errors.Is(err, ErrUnknownVM):
		c.JSON(http.StatusNotFound, Refusal{Code: "unknown_vm", Message: err.Error()})
	case errors.Is(err, ErrStalled):
		c.Header("Retry-After", "1")
		c.JSON(http.StatusServiceUnavailable, Refusal{Code: "stalled", Message: err.Error()})
	case errors.Is(err, ErrOtherPool):
		c.JSON(http.StatusForbidden, Refusal{Code: "other_pool", Message: err.Error()})
	default:
		c.JSON(http.StatusConflict, Refusal{Code: "superseded", Message: err.Error()})
	}
}
