package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
)

// VMState is the state of a VM as the platform reports it.
type VMState string

// States of a simulated VM.
const (
	Running   VMState = "running"
	Rebooting VMState = "rebooting"
	Off       VMState = "off"
)

// VMInfo is the platform's response about a VM.
type VMInfo struct {
	VM    string  `json:"vm"`
	State VMState `json:"state"`
	// Boots is the number of times that the VM has booted.
	Boots int `json:"boots"`
	// LastOrder is the idempotency key of the newest executed order.
	LastOrder string `json:"last_order,omitempty"`
}

// vm is one simulated VM with its target.
type vm struct {
	config TargetConfig
	target *Target
	info   VMInfo
	// executedOrders holds the idempotency keys of all executed orders.
	executedOrders map[string]bool
	tasks          taskTable
}

// Platform is a set of simulated VMs that it reboots and powers off on request
// and that run tasks.
type Platform struct {
	// RebootTime is the duration of a reboot.
	RebootTime time.Duration

	mu  sync.Mutex
	vms map[string]*vm
}

// NewPlatform returns a platform without VMs.
func NewPlatform(rebootTime time.Duration) *Platform {
	return &Platform{RebootTime: rebootTime, vms: map[string]*vm{}}
}

// Add starts a VM with a target on it.
func (p *Platform) Add(config TargetConfig) (*Target, error) {
	target, err := StartTarget(config)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[config.VM] = &vm{config: config, target: target, executedOrders: map[string]bool{},
		info: VMInfo{VM: config.VM, State: Running, Boots: 1}}
	return target, nil
}

// Target returns the running target of a VM, or nil if there is none.
func (p *Platform) Target(name string) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if machine := p.vms[name]; machine != nil {
		return machine.target
	}
	return nil
}

// Info returns the state of a VM, or a zero value if there is no such VM.
func (p *Platform) Info(name string) VMInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	if machine := p.vms[name]; machine != nil {
		return machine.info
	}
	return VMInfo{}
}

// Fail powers off a VM immediately, as a failure does. Repair starts it again.
func (p *Platform) Fail(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if machine := p.vms[name]; machine != nil {
		powerOff(machine)
	}
}

// Repair starts a VM that failed.
func (p *Platform) Repair(name string) {
	p.mu.Lock()
	machine := p.vms[name]
	p.mu.Unlock()
	if machine != nil {
		p.boot(machine)
	}
}

// Handler serves the platform's protocol:
//
//	GET  /platform/v1/vms/{vm}            VMInfo
//	POST /platform/v1/vms/{vm}/reboot     VMInfo; the Idempotency-Key header identifies the order
//	POST /platform/v1/vms/{vm}/power-off  VMInfo
//	PUT  /platform/v1/vms/{vm}/tasks      workerapi.Sync in the body; workerapi.SyncAnswer
func (p *Platform) Handler() http.Handler {
	engine := gin.New()
	engine.GET("/platform/v1/vms/:vm", func(c *gin.Context) { p.updateVM(c, func(*vm) {}) })
	engine.POST("/platform/v1/vms/:vm/reboot", func(c *gin.Context) {
		order := c.GetHeader("Idempotency-Key")
		p.updateVM(c, func(machine *vm) { p.reboot(machine, order) })
	})
	engine.PUT("/platform/v1/vms/:vm/tasks", p.syncTasks)
	engine.POST("/platform/v1/vms/:vm/power-off", func(c *gin.Context) { p.updateVM(c, powerOff) })
	return engine
}

// updateVM calls update for the VM that the path names and responds with the
// VM's state, or with 404 if there is no such VM.
func (p *Platform) updateVM(c *gin.Context, update func(*vm)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	machine := p.vms[c.Param("vm")]
	if machine == nil {
		c.JSON(http.StatusNotFound, gin.H{"code": "not_found", "message": "no such VM"})
		return
	}
	update(machine)
	c.JSON(http.StatusOK, machine.info)
}

// reboot reboots a VM, which cuts the requests that its target is running. An
// order with a key is executed only once.
func (p *Platform) reboot(machine *vm, order string) {
	if order != "" && machine.executedOrders[order] {
		return
	}
	machine.executedOrders[order] = true
	powerOff(machine)
	machine.info.State = Rebooting
	machine.info.LastOrder = order
	time.AfterFunc(p.RebootTime, func() { p.boot(machine) })
}

// boot starts a VM and its target.
func (p *Platform) boot(machine *vm) {
	target, err := StartTarget(machine.config)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	machine.target = target
	machine.info.State = Running
	machine.info.Boots++
}

// powerOff stops a VM, its target and its tasks.
func powerOff(machine *vm) {
	if machine.target != nil {
		machine.target.Kill()
		machine.target = nil
	}
	machine.info.State = Off
	machine.tasks = taskTable{}
}
