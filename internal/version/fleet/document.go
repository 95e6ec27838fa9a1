package fleet

// SchemaVersion is the version of the document format that Parse accepts.
const SchemaVersion = 1

// Class is the priority class of a service's requests.
type Class string

// Classes of requests. Interactive requests take precedence over batch requests.
const (
	Interactive Class = "interactive"
	Batch       Class = "batch"
)

// Document declares a whole deployment.
type Document struct {
	// Schema is the version of the document format; it must be SchemaVersion.
	Schema int `json:"schema"`
	// Deployment is the name of the deployment.
	Deployment string `json:"deployment"`
	// Zones lists the availability zones with their racks.
	Zones []Zone `json:"zones"`
	// Pools lists the pools of VMs.
	Pools []Pool `json:"pools"`
	// VMs lists the worker VMs. One element with a count declares several VMs.
	VMs []VM `json:"vms"`
	// Services lists the services that run in the pools.
	Services []Service `json:"services"`
	// Teams lists the teams that submit jobs, with their quotas.
	Teams []Team `json:"teams,omitempty"`
	// Waves lists the maintenance waves.
	Waves []Wave `json:"waves,omitempty"`
	// Weights sets the relative importance of idle buffer, roll-out time and
	// moves.
	Weights Weights `json:"weights"`
}

// Zone is one availability zone.
type Zone struct {
	Name string `json:"name"`
	// Region is the region of the zone; default "default".
	Region string `json:"region,omitempty"`
	// Racks lists the names of the zone's racks.
	Racks []string `json:"racks"`
}

// Pool is a set of VMs that serve the same services.
type Pool struct {
	Name string `json:"name"`
	// Spare marks the pool whose free slots absorb the bursts of other pools.
	Spare bool `json:"spare,omitempty"`
	// Tolerate is the loss of racks and VMs that the pool must tolerate
	// without a breach of its services' budgets.
	Tolerate Tolerance `json:"tolerate"`
	// MinDwellS is the minimum time that a VM stays in the pool before it may
	// move to another, in seconds; default 600.
	MinDwellS int `json:"min_dwell_s,omitempty"`
	// JobShare is the share of each VM's processors and memory that is
	// available to jobs, from 0 to 1; default 0. If the share is above 0, all
	// accelerators of the VM are available to jobs, since they can't be
	// divided.
	JobShare float64 `json:"job_share,omitempty"`
}

// Tolerance is a combination of losses that must be tolerated at the same
// time.
type Tolerance struct {
	// Racks is the number of racks lost as a whole.
	Racks int `json:"racks"`
	// VMs is the number of further VMs lost, for example a VM that fails right
	// after its repair.
	VMs int `json:"vms"`
}

// VM is a worker VM. Pool is the desired pool; the current pool of a VM is
// part of the replicated state.
type VM struct {
	// Name is unique. With a count above 1, the VMs are named Name-1 to
	// Name-count.
	Name string `json:"name"`
	// Count is the number of VMs that the element declares; default 1.
	Count int    `json:"count,omitempty"`
	Pool  string `json:"pool"`
	Zone  string `json:"zone"`
	Rack  string `json:"rack"`
	// CPUCores, MemoryGiB and Accelerators are the size of the VM.
	CPUCores     int `json:"cpu_cores"`
	MemoryGiB    int `json:"memory_gib"`
	Accelerators int `json:"accelerators,omitempty"`
	// Slots is the number of requests that the VM executes concurrently;
	// default 8.
	Slots int `json:"slots,omitempty"`
	// Connections is the number of connections that the VM accepts; default
	// 64.
	Connections int `json:"connections,omitempty"`
}

// Service is an application that callers reach under a path prefix.
type Service struct {
	Name string `json:"name"`
	// Pool is the home pool of the service.
	Pool string `json:"pool"`
	// PathPrefix is the route of the service. A request is routed to the
	// service with the longest matching prefix.
	PathPrefix string `json:"path_prefix"`
	// Class is "interactive" or "batch".
	Class Class `json:"class"`
	// DeadlineMS is the time within which a request must be answered, in ms.
	DeadlineMS int `json:"deadline_ms"`
	// QueueLimit is the maximum number of requests queued in one entry;
	// default 512.
	QueueLimit int `json:"queue_limit,omitempty"`
	// MaxRequestBytes and MaxResponseBytes are the maximum sizes of the
	// bodies; default 1 MiB and 8 MiB.
	MaxRequestBytes  int64 `json:"max_request_bytes,omitempty"`
	MaxResponseBytes int64 `json:"max_response_bytes,omitempty"`
	// IdempotentMethods lists the methods whose requests may run more than
	// once; default GET, HEAD, OPTIONS, PUT, DELETE.
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	// Spill allows bursts to use free slots of the spare pool.
	Spill bool `json:"spill,omitempty"`
	// EchoesRequestID is true if targets return the X-Request-Id of the
	// request. It allows the detection of responses that belong to another
	// request.
	EchoesRequestID bool `json:"echoes_request_id,omitempty"`
	// Budget is the availability promised for the service.
	Budget Budget `json:"budget"`
}

// Budget is the availability promised for a service.
type Budget struct {
	// PromisedSlots is the number of slots of the home pool that must be
	// available at any time: during maintenance, moves and the tolerated
	// losses.
	PromisedSlots int `json:"promised_slots"`
}

// Team is a group of people who submit jobs.
type Team struct {
	Name string `json:"name"`
	// Quota limits the sum of the reservations of the team's running jobs.
	Quota Resources `json:"quota"`
}

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	CPUCores     float64 `json:"cpu_cores"`
	MemoryGiB    float64 `json:"memory_gib"`
	Accelerators int     `json:"accelerators,omitempty"`
}

// Wave is a maintenance wave: every VM of its pools is drained and
// rebooted once.
type Wave struct {
	Name  string   `json:"name"`
	Pools []string `json:"pools"`
	// MaxParallel is the maximum number of VMs out of service at once; 0 means
	// as many as the budgets allow.
	MaxParallel int `json:"max_parallel,omitempty"`
	// SettleS is the time that a VM must be healthy after its reboot before it
	// counts as capacity again, in seconds; default 10.
	SettleS int `json:"settle_s,omitempty"`
	// DrainS is the time after which a drain is reported as late, in seconds;
	// default 60. A late drain is never forced.
	DrainS int `json:"drain_s,omitempty"`
}

// Weights holds the relative weights of the costs of a plan. Their sum need
// not be 1.
type Weights struct {
	// Buffer is the weight of an idle VM kept for one hour.
	Buffer float64 `json:"buffer"`
	// Rollout is the weight of one hour of roll-out time.
	Rollout float64 `json:"rollout"`
	// Moves is the weight of one move of a VM or job.
	Moves float64 `json:"moves"`
}
