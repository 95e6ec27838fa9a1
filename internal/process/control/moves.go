package control

import (
	"context"
	"net/http"
	"sort"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/connection/platform"
	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/plan/moves"
	"arbutusward.example/arbutusward/internal/version/view"
)

// MoveRequest asks to move a VM at once to the pool that the document assigns
// to it, before its minimum dwell time has passed.
type MoveRequest struct {
	VM   string `json:"vm"`
	Pool string `json:"pool"`
}

// MoveReport lists the active moves and the blocked ones.
type MoveReport struct {
	Moves   []plan.Move    `json:"moves"`
	Blocked []plan.Blocked `json:"blocked"`
	// Proposals are suggested changes of the document for lasting shifts of
	// load. They move nothing by themselves.
	Proposals []moves.Proposal `json:"proposals"`
}

// EntryRemovalRequest removes a dead entry. Either Attestation states that
// the entry is powered off, or PowerOffVM names the VM that the platform must
// power off first.
type EntryRemovalRequest struct {
	Attestation string `json:"attestation,omitempty"`
	PowerOffVM  string `json:"power_off_vm,omitempty"`
}

func (s *Server) registerMoves() {
	engine := s.admin.Engine
	engine.GET("/v1/moves", s.admin.Require(keys.Viewer), s.getMoves)
	engine.POST("/v1/moves", s.admin.Require(keys.Operator), s.postMove)
	engine.POST("/v1/entries/:id/remove", s.admin.Require(keys.Admin), s.postEntryRemoval)
}

func (s *Server) getMoves(c *gin.Context) {
	if !s.confirmLeader(c) {
		return
	}
	report := MoveReport{Moves: []plan.Move{}, Blocked: []plan.Blocked{}, Proposals: []moves.Proposal{}}
	for _, move := range s.machine.Fleet().Moves {
		report.Moves = append(report.Moves, move)
	}
	sort.Slice(report.Moves, func(i, j int) bool { return report.Moves[i].VM < report.Moves[j].VM })
	if outcome := s.planOutcome.Load(); outcome != nil {
		report.Blocked = append(report.Blocked, outcome.moves...)
		report.Proposals = append(report.Proposals, outcome.proposals...)
	}
	c.JSON(http.StatusOK, report)
}

// postMove starts one move. The move must agree with the document, which
// stays the only definition of the fleet, and must keep the budgets.
func (s *Server) postMove(c *gin.Context) {
	var request MoveRequest
	if !bindJSON(c, &request) {
		return
	}
	input := s.snapshot.Load()
	if input == nil {
		c.JSON(http.StatusServiceUnavailable, adminhttp.Fault{Code: "not_ready", Message: "this process has not planned yet"})
		return
	}
	vm := input.Index()[request.VM]
	if vm == nil {
		c.JSON(http.StatusNotFound, adminhttp.Fault{Code: "not_found", Message: "VM " + request.VM + " is not known"})
		return
	}
	if reason, ok := plan.NewGate(input).CanTakeOut(vm); !ok && vm.Phase == view.Serving {
		c.JSON(http.StatusConflict, adminhttp.Fault{Code: "refused", Message: reason})
		return
	}
	by := adminhttp.CallerClaims(c).Subject
	step := plan.MoveStep{Kind: plan.StartMove, VM: vm.Name, Epoch: vm.Epoch, Pool: request.Pool, Cause: "ordered by " + by}
	answer, err := propose[view.VM](c.Request.Context(), s, state.StepMove, step)
	if err != nil {
		answerProposalError(c, err)
		return
	}
	s.recorder.Record(timeline.Event{Kind: timeline.MoveStarted, VM: vm.Name, Pool: request.Pool, Cause: step.Cause})
	c.JSON(http.StatusOK, answer)
}

// postEntryRemoval removes an entry that is known to be powered off, so that
// it no longer blocks moves and reboots in its zone as an unresponsive entry.
func (s *Server) postEntryRemoval(c *gin.Context) {
	var request EntryRemovalRequest
	if !bindJSON(c, &request) {
		return
	}
	by := adminhttp.CallerClaims(c).Subject
	removal := state.EntryRemoval{ID: c.Param("id"), Attestation: request.Attestation}
	if request.PowerOffVM != "" {
		statement, err := s.powerOff(c.Request.Context(), removal.ID, request.PowerOffVM)
		if err != nil {
			c.JSON(http.StatusBadGateway, adminhttp.Fault{Code: "not_powered_off", Message: err.Error()})
			return
		}
		removal.Attestation = statement
	}
	answer, err := propose[state.EntryRemoval](c.Request.Context(), s, state.RemoveEntry, removal)
	if err != nil {
		answerProposalError(c, err)
		return
	}
	s.recorder.Record(timeline.Event{Kind: timeline.OperatorAction, Peer: removal.ID, Cause: "entry removed by " + by + ": " + removal.Attestation})
	c.JSON(http.StatusOK, answer)
}

// powerOff has the platform power off an entry's VM and returns the
// attestation for it.
func (s *Server) powerOff(ctx context.Context, id, vm string) (string, error) {
	if s.settings.Platform == "" {
		return "", errNoPlatform
	}
	answer, err := platform.NewHTTP(s.settings.Platform).PowerOff(ctx, vm, "power-off/"+id)
	if err != nil {
		return "", err
	}
	if answer.State != platform.Off {
		return "", &notPoweredOffError{vm: vm, state: answer.State}
	}
	return "the platform has powered off VM " + vm, nil
}
