package control

import (
	"errors"
	"net/http"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/state"
)

// confirmLeader reports whether a majority confirms that this process leads,
// so that it may answer a read. Otherwise it answers the call with an error.
func (s *Server) confirmLeader(c *gin.Context) bool {
	if err := s.replica.ReadBarrier(c.Request.Context()); err != nil {
		answerProposalError(c, err)
		return false
	}
	return true
}

// bindJSON decodes the body. If that fails, it answers the call with the
// error and returns false.
func bindJSON(c *gin.Context, into any) bool {
	if err := c.ShouldBindJSON(into); err != nil {
		c.JSON(http.StatusBadRequest, adminhttp.Fault{Code: "malformed", Message: err.Error()})
		return false
	}
	return true
}

// answerProposalError answers an operator's call whose command was not
// accepted or has an unknown result.
func answerProposalError(c *gin.Context, err error) {
	var notLeader *replica.NotLeaderError
	var result *state.Result
	switch {
	case errors.As(err, &notLeader):
		c.JSON(http.StatusMisdirectedRequest, adminhttp.Fault{Code: "not_leader", Message: err.Error(), Leader: notLeader.Admin})
	case errors.As(err, &result) && result.Code == state.NotFound:
		c.JSON(http.StatusNotFound, adminhttp.Fault{Code: string(result.Code), Message: result.Message})
	case errors.As(err, &result):
		c.JSON(http.StatusConflict, adminhttp.Fault{Code: string(result.Code), Message: result.Message})
	default:
		c.JSON(http.StatusServiceUnavailable, adminhttp.Fault{Code: "unknown_result", Message: err.Error()})
	}
}
