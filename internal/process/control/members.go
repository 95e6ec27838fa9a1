package control

import (
	"errors"
	"net/http"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/replica/driver"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// MemberList is the membership of the control processes.
type MemberList struct {
	Leader  string           `json:"leader"`
	Members []replica.Member `json:"members"`
}

func (s *Server) registerMembers() {
	engine := s.admin.Engine
	engine.GET("/v1/members", s.admin.Require(keys.Viewer), s.getMembers)
	engine.POST("/v1/members", s.admin.Require(keys.Admin), s.postMember)
	engine.DELETE("/v1/members/:id", s.admin.Require(keys.Admin), s.deleteMember)
}

func (s *Server) getMembers(c *gin.Context) {
	if !s.confirmLeader(c) {
		return
	}
	s.answerMembers(c)
}

// postMember adds a process as a learner, which becomes a voter once it has
// caught up.
func (s *Server) postMember(c *gin.Context) {
	var member replica.Member
	if err := c.BindJSON(&member); err != nil || member.ID == "" || member.Link == "" || member.Admin == "" {
		c.JSON(http.StatusBadRequest, adminhttp.Fault{Code: "malformed", Message: "expected a JSON object with id, link and admin"})
		return
	}
	if err := s.replica.AddMember(c.Request.Context(), member); err != nil {
		answerMemberChangeError(c, err)
		return
	}
	s.answerMemberChange(c, member.ID, "member add")
}

func (s *Server) deleteMember(c *gin.Context) {
	id := c.Param("id")
	if err := s.replica.RemoveMember(c.Request.Context(), id); err != nil {
		answerMemberChangeError(c, err)
		return
	}
	s.answerMemberChange(c, id, "member remove")
}

func (s *Server) answerMembers(c *gin.Context) {
	status := s.replica.Status()
	c.JSON(http.StatusOK, MemberList{Leader: status.Leader, Members: status.Members})
}

// answerMemberChange records a membership change and answers with the
// members.
func (s *Server) answerMemberChange(c *gin.Context, id, action string) {
	s.recorder.Record(timeline.Event{Kind: timeline.OperatorAction, Peer: id, Cause: action + " by " + adminhttp.CallerClaims(c).Subject})
	s.answerMembers(c)
}

// answerMemberChangeError answers a membership change that was rejected
// before it was proposed, or whose proposal failed.
func answerMemberChangeError(c *gin.Context, err error) {
	refusals := map[error]string{
		core.ErrChangePending: "change_pending",
		core.ErrMemberExists:  "member_exists",
		core.ErrNoSuchMember:  "not_found",
		core.ErrLastVoter:     "last_voter",
		driver.ErrNotJoining:  "not_joining",
	}
	for refusal, code := range refusals {
		if errors.Is(err, refusal) {
			c.JSON(http.StatusConflict, adminhttp.Fault{Code: code, Message: err.Error()})
			return
		}
	}
	answerProposalError(c, err)
}
