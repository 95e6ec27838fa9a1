package control

import (
	"net/http"
	"sort"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/plan/moves"
)

// planOutcome is the part of the last plan that starts no steps: the blocked
// moves and waves with their reasons, and the proposals. It is immutable.
type planOutcome struct {
	moves     []plan.Blocked
	waves     map[string][]plan.Blocked
	proposals []moves.Proposal
}

// WaveReport is an operator's view of the runs of a wave.
type WaveReport struct {
	Runs []RunReport `json:"runs"`
}

// RunReport is one run with the reasons why it is blocked.
type RunReport struct {
	plan.WaveRun
	Count map[plan.StepState]int `json:"count"`
	// Blocked gives the reasons why the run, or a VM of it, is blocked.
	Blocked []plan.Blocked `json:"blocked"`
}

// waveActions maps the actions on an open run to the status that they set.
var waveActions = map[string]plan.RunStatus{
	"pause":  plan.Paused,
	"resume": plan.Running,
	"abort":  plan.Aborted,
}

func (s *Server) registerWaves() {
	engine := s.admin.Engine
	engine.GET("/v1/waves", s.admin.Require(keys.Viewer), s.getWaves)
	engine.GET("/v1/waves/:wave", s.admin.Require(keys.Viewer), s.getWaves)
	engine.POST("/v1/waves/:wave/:action", s.admin.Require(keys.Operator), s.postWave)
}

// postWave starts, pauses, resumes or aborts a wave.
func (s *Server) postWave(c *gin.Context) {
	name, action := c.Param("wave"), c.Param("action")
	by := adminhttp.CallerClaims(c).Subject
	var run plan.WaveRun
	var err error
	status, known := waveActions[action]
	switch {
	case action == "start":
		run, err = propose[plan.WaveRun](c.Request.Context(), s, state.StartWave, state.WaveStart{Wave: name, By: by})
	case known:
		run, err = propose[plan.WaveRun](c.Request.Context(), s, state.ControlWave, state.WaveControl{Wave: name, Status: status, By: by})
	default:
		c.JSON(http.StatusBadRequest, adminhttp.Fault{Code: "bad_action", Message: "expected start, pause, resume or abort"})
		return
	}
	if err != nil {
		answerProposalError(c, err)
		return
	}
	kind := timeline.OperatorAction
	if action == "start" {
		kind = timeline.WaveStarted
	}
	s.recorder.Record(timeline.Event{Kind: kind, Wave: run.ID, Cause: action + " by " + by})
	c.JSON(http.StatusOK, s.runReport(run))
}

// getWaves returns the runs of one wave, or of all waves.
func (s *Server) getWaves(c *gin.Context) {
	if !s.confirmLeader(c) {
		return
	}
	report := WaveReport{Runs: []RunReport{}}
	for _, run := range s.machine.Fleet().Runs {
		if name := c.Param("wave"); name == "" || name == run.Wave {
			report.Runs = append(report.Runs, s.runReport(run))
		}
	}
	sort.Slice(report.Runs, func(i, j int) bool { return report.Runs[i].StartedMS > report.Runs[j].StartedMS })
	c.JSON(http.StatusOK, report)
}

func (s *Server) runReport(run plan.WaveRun) RunReport {
	report := RunReport{WaveRun: run, Count: run.Count(), Blocked: []plan.Blocked{}}
	if outcome := s.planOutcome.Load(); outcome != nil && run.Open() {
		report.Blocked = append(report.Blocked, outcome.waves[run.ID]...)
	}
	return report
}
