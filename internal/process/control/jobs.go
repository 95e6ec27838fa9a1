package control

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// maxJobBodyBytes limits the body of one submission or cancellation.
const maxJobBodyBytes = 24 << 20

func (s *Server) registerJobs() {
	engine := s.admin.Engine
	engine.POST("/v1/jobs", s.admin.Require(keys.Operator), s.postJobs)
	engine.POST("/v1/jobs/cancel", s.admin.Require(keys.Operator), s.cancelJobs)
	engine.GET("/v1/jobs", s.admin.Require(keys.Viewer), s.listJobs)
	engine.GET("/v1/jobs/:id", s.admin.Require(keys.Viewer), s.getJob)
}

// bindJobs is bindJSON with a limit on the size of the body.
func bindJobs(c *gin.Context, into any) bool {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxJobBodyBytes)
	return bindJSON(c, into)
}

func (s *Server) postJobs(c *gin.Context) {
	var submission state.JobSubmission
	if !bindJobs(c, &submission) {
		return
	}
	submission.By = adminhttp.CallerClaims(c).Subject
	answer, err := propose[state.JobSubmissionAnswer](c.Request.Context(), s, state.SubmitJobs, submission)
	if err != nil {
		answerProposalError(c, err)
		return
	}
	for _, job := range submission.Jobs {
		s.recorder.Record(timeline.Event{Kind: timeline.JobAccepted, Job: job.ID})
	}
	c.JSON(http.StatusOK, answer)
}

func (s *Server) cancelJobs(c *gin.Context) {
	var cancellation state.JobCancellation
	if !bindJobs(c, &cancellation) {
		return
	}
	cancellation.By = adminhttp.CallerClaims(c).Subject
	answer, err := propose[state.JobCancellationAnswer](c.Request.Context(), s, state.CancelJobs, cancellation)
	if err != nil {
		answerProposalError(c, err)
		return
	}
	s.recorder.Record(timeline.Event{Kind: timeline.OperatorAction, Cause: "cancel jobs, by " + cancellation.By})
	c.JSON(http.StatusOK, answer)
}

// listJobs returns the jobs that have not ended.
func (s *Server) listJobs(c *gin.Context) {
	if !s.confirmLeader(c) {
		return
	}
	c.JSON(http.StatusOK, s.machine.ActiveJobs())
}

func (s *Server) getJob(c *gin.Context) {
	if !s.confirmLeader(c) {
		return
	}
	job, known := s.machine.JobView(c.Param("id"))
	if !known {
		c.JSON(http.StatusNotFound, adminhttp.Fault{Code: "not_found", Message: "no such job is known"})
		return
	}
	c.JSON(http.StatusOK, job)
}
