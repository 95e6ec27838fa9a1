package control

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/plan/capacity"
	"arbutusward.example/arbutusward/internal/version/plan/cost"
)

func (s *Server) registerPlan() {
	engine := s.admin.Engine
	engine.POST("/v1/plan", s.admin.Require(keys.Viewer), s.postPlan)
	engine.GET("/v1/capacity", s.admin.Require(keys.Viewer), s.getCapacity)
}

// postPlan returns what a document would change, and the cost of the changes.
func (s *Server) postPlan(c *gin.Context) {
	text, ok := readDocument(c)
	if !ok {
		return
	}
	document, err := fleet.Parse(c.DefaultQuery("file", "document"), text)
	if err != nil {
		s.answerInvalidDocument(c, err)
		return
	}
	in, ok := s.confirmedSnapshot(c)
	if ok {
		c.JSON(http.StatusOK, cost.Compare(in, document))
	}
}

// getCapacity returns the margins, the reserve and the reason for keeping
// each VM.
func (s *Server) getCapacity(c *gin.Context) {
	in, ok := s.confirmedSnapshot(c)
	if ok {
		c.JSON(http.StatusOK, capacity.Plan(in))
	}
}

// confirmedSnapshot returns the newest snapshot if this process is confirmed
// as the leader. Otherwise it answers the call with an error and returns
// false.
func (s *Server) confirmedSnapshot(c *gin.Context) (*plan.Input, bool) {
	if !s.confirmLeader(c) {
		return nil, false
	}
	in := s.snapshot.Load()
	if in == nil {
		in = &plan.Input{}
	}
	return in, true
}

// setPlanGauges sets the gauges of budgets and waves.
func setPlanGauges(in *plan.Input, gate *plan.Gate) {
	for _, service := range in.Document.Services {
		setGauge(fmt.Sprintf(`arbutus_budget_margin_slots{service=%q}`, service.Name), gate.Margin(service.Pool))
	}
	count := map[plan.StepState]int{}
	for i := range in.Runs {
		for state, vms := range in.Runs[i].Count() {
			if in.Runs[i].Open() {
				count[state] += vms
			}
		}
	}
	states := []plan.StepState{plan.Pending, plan.Draining, plan.Rebooting, plan.Settling, plan.Done, plan.Lost, plan.Skipped}
	for _, state := range states {
		setGauge(fmt.Sprintf(`arbutus_wave_vms{state=%q}`, state), count[state])
	}
}

// setReserveGauges sets the gauges of the reserve.
func setReserveGauges(result capacity.Result) {
	for _, pool := range result.Pools {
		setGauge(fmt.Sprintf(`arbutus_reserve_vms{pool=%q}`, pool.Pool), pool.ReserveVMs)
	}
}

func setGauge(name string, value int) {
	metrics.GetOrCreateGauge(name, nil).Set(float64(value))
}
