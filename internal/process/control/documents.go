package control

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/jsonc"
	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// VersionHeader is the response header with the version of the returned
// document.
const VersionHeader = "X-Arbutus-Version"

func (s *Server) registerDocuments() {
	engine := s.admin.Engine
	engine.POST("/v1/documents", s.admin.Require(keys.Operator), s.postDocument)
	engine.GET("/v1/documents/current", s.admin.Require(keys.Viewer), s.getDocument)
}

// SubmitRefusal is the answer to a document that was rejected.
type SubmitRefusal struct {
	adminhttp.Fault
	// Problems lists the validation errors.
	Problems jsonc.Problems `json:"problems,omitempty"`
	// Winner is the submission that was accepted first on the same base. It
	// is set with code "conflict".
	Winner *state.Submission `json:"winner,omitempty"`
}

// postDocument accepts a document as the body. The parameter ?base is the
// version that the document is based on, ?file is the file name in error
// messages.
func (s *Server) postDocument(c *gin.Context) {
	base, err := strconv.ParseUint(c.DefaultQuery("base", "0"), 10, 64)
	if err != nil {
		c.JSON(http.StatusBadRequest, SubmitRefusal{Fault: adminhttp.Fault{Code: "bad_base", Message: "expected ?base= as a version number"}})
		return
	}
	text, ok := readDocument(c)
	if !ok {
		return
	}
	if _, err := s.machine.Validate(c.DefaultQuery("file", "document"), text); err != nil {
		s.answerInvalidDocument(c, err)
		return
	}
	submit := state.DocumentSubmission{Base: base, Text: text, By: adminhttp.CallerClaims(c).Subject}
	answer, err := propose[state.DocumentSubmissionAnswer](c.Request.Context(), s, state.SubmitDocument, submit)
	if err != nil {
		s.answerSubmitError(c, err, answer)
		return
	}
	if !answer.Repeated {
		s.recorder.Record(timeline.Event{Kind: timeline.VersionAccepted, Version: answer.Submission.Version, Cause: "submitted by " + submit.By})
	}
	c.JSON(http.StatusOK, answer)
}

// readDocument reads the document in the body. If it is too large, it answers
// the call with the error and returns false.
func readDocument(c *gin.Context) ([]byte, bool) {
	text, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, jsonc.MaxBytes))
	if err != nil {
		c.JSON(http.StatusRequestEntityTooLarge, SubmitRefusal{Fault: adminhttp.Fault{Code: "too_large", Message: err.Error()}})
		return nil, false
	}
	return text, true
}

// answerInvalidDocument records and answers a document that does not
// validate.
func (s *Server) answerInvalidDocument(c *gin.Context, err error) {
	s.recorder.Record(timeline.Event{Kind: timeline.VersionRefused, Cause: err.Error()})
	refusal := SubmitRefusal{Fault: adminhttp.Fault{Code: "invalid", Message: "the document does not validate"}}
	errors.As(err, &refusal.Problems)
	c.JSON(http.StatusUnprocessableEntity, refusal)
}

// answerSubmitError answers a submission that was not accepted.
func (s *Server) answerSubmitError(c *gin.Context, err error, answer state.DocumentSubmissionAnswer) {
	var result *state.Result
	if errors.As(err, &result) && result.Code == state.Conflict {
		s.recorder.Record(timeline.Event{Kind: timeline.VersionRefused, Cause: result.Message})
		refusal := SubmitRefusal{Fault: adminhttp.Fault{Code: "conflict", Message: result.Message}, Winner: &answer.Submission}
		c.JSON(http.StatusConflict, refusal)
		return
	}
	answerProposalError(c, err)
}

// getDocument returns the newest accepted document. Only a confirmed leader
// is sure to know it.
func (s *Server) getDocument(c *gin.Context) {
	if !s.confirmLeader(c) {
		return
	}
	f := s.machine.Fleet()
	if f.Version == 0 {
		c.JSON(http.StatusNotFound, adminhttp.Fault{Code: "no_document", Message: "no document was accepted yet"})
		return
	}
	c.Header(VersionHeader, strconv.FormatUint(f.Version, 10))
	c.Data(http.StatusOK, "application/json", f.Text)
}
