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

// MoveRequest asks for the move of one VM to the pool that the document
// names, before its minimal dwell is over.
type MoveRequest struct {
	VM   string `json:"vm"`
	Pool string `json:"pool"`
}

// MoveReport lists the moves under way and those that wait.
type MoveReport struct {
	Moves   []plan.Move    `json:"moves"`
	Blocked []plan.Blocked `json:"blocked"`
	// Proposals are changes of the document that lasting shifts of load
	// call for; nothing moves by them alone.
	Proposals []moves.Proposal `json:"proposals"`
}

// EntryRemovalRequest takes a dead entry out. Either Attestation states that
// the entry is powered off, or PowerOffVM names the VM that the platform
// is to power off first.
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
	if err := s.replica.ReadBarrier(c.Request.Context()); err != nil {
		failProposal(c, err)
		return
	}
	report := MoveReport{Moves: []plan.Move{}, Blocked: []plan.Blocked{}, Proposals: []moves.Proposal{}}
	for _, move := range s.machine.Fleet().Moves {
		report.Moves = append(report.Moves, move)
	}
	sort.Slice(report.Moves, func(i, j int) bool { return report.Moves[i].VM < report.Moves[j].VM })
	if seen := s.outlook.Load(); seen != nil {
		report.Blocked = append(report.Blocked, seen.moves...)
		report.Proposals = append(report.Proposals, seen.proposals...)
	}
	c.JSON(http.StatusOK, report)
}

// postMove starts one move. It has to agree with the document, so that the
// document stays the only statement of the fleet, and keep the budgets.
func (s *Server) postMove(c *gin.Context) {
	var order MoveRequest
	if err := c.ShouldBindJSON(&order); err != nil {
		c.JSON(http.StatusBadRequest, adminhttp.Fault{Code: "malformed", Message: err.Error()})
		return
	}
	seen := s.snapshot.Load()
	if seen == nil {
		c.JSON(http.StatusServiceUnavailable, adminhttp.Fault{Code: "not_ready", Message: "this process has not planned yet"})
		return
	}
	vm := seen.Index()[order.VM]
	if vm == nil {
		c.JSON(http.StatusNotFound, adminhttp.Fault{Code: "not_found", Message: "VM " + order.VM + " is not known"})
		return
	}
	if reason, ok := plan.NewGate(seen).CanRemove(vm); !ok && vm.Phase == view.Serving {
		c.JSON(http.StatusConflict, adminhttp.Fault{Code: "refused", Message: reason})
		return
	}
	by := adminhttp.CallerClaims(c).Subject
	step := plan.MoveStep{Kind: plan.StartMove, VM: vm.Name, Epoch: vm.Epoch, Pool: order.Pool, Cause: "ordered by " + by}
	answer, err := propose[view.VM](c.Request.Context(), s, state.StepMove, step)
	if err != nil {
		failProposal(c, err)
		return
	}
	s.recorder.Record(timeline.Event{Kind: timeline.MoveStarted, VM: vm.Name, Pool: order.Pool, Cause: step.Cause})
	c.JSON(http.StatusOK, answer)
}

// postEntryRemoval takes out an entry that is known to be powered off, so
// that its silence no longer blocks moves and reboots in its zone.
func (s *Server) postEntryRemoval(c *gin.Context) {
	var order EntryRemovalRequest
	if err := c.ShouldBindJSON(&order); err != nil {
		c.JSON(http.StatusBadRequest, adminhttp.Fault{Code: "malformed", Message: err.Error()})
		return
	}
	by := adminhttp.CallerClaims(c).Subject
	removal := state.EntryRemoval{ID: c.Param("id"), Attestation: order.Attestation}
	if order.PowerOffVM != "" {
		statement, err := s.powerOff(c.Request.Context(), removal.ID, order.PowerOffVM)
		if err != nil {
			c.JSON(http.StatusBadGateway, adminhttp.Fault{Code: "not_powered_off", Message: err.Error()})
			return
		}
		removal.Attestation = statement
	}
	answer, err := propose[state.EntryRemoval](c.Request.Context(), s, state.RemoveEntry, removal)
	if err != nil {
		failProposal(c, err)
		return
	}
	s.recorder.Record(timeline.Event{Kind: timeline.OperatorAction, Peer: removal.ID, Cause: "entry removed by " + by + ": " + removal.Attestation})
	c.JSON(http.StatusOK, answer)
}

// powerOff has the platform end an entry's VM and returns the statement
// that it did.
func (s *Server) powerOff(ctx context.Context, id, vm string) (string, error) {
	if s.settings.Platform == "" {
		return "", errNoPlatform
	}
	answer, err := platform.NewHTTP(s.settings.Platform).PowerOff(ctx, vm, "power-off/"+id)
	if err != nil {
		return "", err
	}
	if answer.State != platform.Off {
		return "", &stillOnError{vm: vm, state: answer.State}
	}
	return "the platform has powered off VM " + vm, nil
}
