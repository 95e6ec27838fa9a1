package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
)

// VMState is the platform's word on a VM.
type VMState string

// States of a stand-in VM.
const (
	Running   VMState = "running"
	Rebooting VMState = "rebooting"
	Off       VMState = "off"
)

// VMInfo is the platform's answer about a VM.
type VMInfo struct {
	VM    string  `json:"vm"`
	State VMState `json:"state"`
	// Boots counts the starts of the VM.
	Boots int `json:"boots"`
	// LastOrder is the idempotency key of the newest order carried out.
	LastOrder string `json:"last_order,omitempty"`
}

// vm is one stand-in VM with its target.
type vm struct {
	config TargetConfig
	target *Target
	info   VMInfo
	// orders holds the idempotency keys of all orders carried out.
	orders map[string]bool
	tasks  taskTable
}

// Platform is a set of stand-in VMs that reboot on order.
type Platform struct {
	// RebootTime is how long a reboot takes.
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
	p.vms[config.VM] = &vm{config: config, target: target, orders: map[string]bool{},
		info: VMInfo{VM: config.VM, State: Running, Boots: 1}}
	return target, nil
}

// Target returns the running target of a VM, nil if there is none.
func (p *Platform) Target(name string) *Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if machine := p.vms[name]; machine != nil {
		return machine.target
	}
	return nil
}

// Info returns the state of a VM.
func (p *Platform) Info(name string) VMInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	if machine := p.vms[name]; machine != nil {
		return machine.info
	}
	return VMInfo{}
}

// Fail ends a VM at once, as a failure does; Repair starts it again.
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
//	POST /platform/v1/vms/{vm}/reboot     VMInfo; the Idempotency-Key header names the order
//	POST /platform/v1/vms/{vm}/power-off  VMInfo
func (p *Platform) Handler() http.Handler {
	engine := gin.New()
	engine.GET("/platform/v1/vms/:vm", func(c *gin.Context) { p.answer(c, func(*vm) {}) })
	engine.POST("/platform/v1/vms/:vm/reboot", func(c *gin.Context) {
		order := c.GetHeader("Idempotency-Key")
		p.answer(c, func(machine *vm) { p.reboot(machine, order) })
	})
	engine.PUT("/platform/v1/vms/:vm/tasks", p.syncTasks)
	engine.POST("/platform/v1/vms/:vm/power-off", func(c *gin.Context) { p.answer(c, powerOff) })
	return engine
}

func (p *Platform) answer(c *gin.Context, act func(*vm)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	machine := p.vms[c.Param("vm")]
	if machine == nil {
		c.JSON(http.StatusNotFound, gin.H{"code": "not_found", "message": "no such VM"})
		return
	}
	act(machine)
	c.JSON(http.StatusOK, machine.info)
}

// reboot carries an order out once; the target's requests are cut.
func (p *Platform) reboot(machine *vm, order string) {
	if order != "" && machine.orders[order] {
		return
	}
	machine.orders[order] = true
	powerOff(machine)
	machine.info.State = Rebooting
	machine.info.LastOrder = order
	time.AfterFunc(p.RebootTime, func() { p.boot(machine) })
}

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

func powerOff(machine *vm) {
	if machine.target != nil {
		machine.target.Kill()
		machine.target = nil
	}
	machine.info.State = Off
	machine.tasks = taskTable{}
}
