package fleet

// SchemaVersion is the version of the document format that Parse accepts.
const SchemaVersion = 1

// Class is the urgency of a service's requests.
type Class string

// Classes of requests. Interactive requests go before batch requests.
const (
	Interactive Class = "interactive"
	Batch       Class = "batch"
)

// Document is the declaration of a whole deployment.
type Document struct {
	// Schema is the format version, always SchemaVersion.
	Schema int `json:"schema"`
	// Deployment names the deployment.
	Deployment string `json:"deployment"`
	// Zones lists the availability zones with their racks.
	Zones []Zone `json:"zones"`
	// Pools lists the pools of VMs.
	Pools []Pool `json:"pools"`
	// VMs lists the workers; an entry with a count stands for several.
	VMs []VM `json:"vms"`
	// Services lists the services placed on the pools.
	Services []Service `json:"services"`
	// Teams lists the teams that submit jobs, with their quotas.
	Teams []Team `json:"teams,omitempty"`
	// Waves lists the maintenance waves.
	Waves []Wave `json:"waves,omitempty"`
	// Weights weighs the three measures against each other.
	Weights Weights `json:"weights"`
}

// Zone is one availability zone.
type Zone struct {
	Name string `json:"name"`
	// Region is the region of the zone; default "default".
	Region string `json:"region,omitempty"`
	// Racks names the racks of the zone.
	Racks []string `json:"racks"`
}

// Pool is a set of VMs that serve the same services.
type Pool struct {
	Name string `json:"name"`
	// Spare marks the pool whose free slots take the bursts of others.
	Spare bool `json:"spare,omitempty"`
	// Tolerate is the number of unplanned losses the pool must carry
	// while every budget of its services still holds.
	Tolerate Tolerance `json:"tolerate"`
	// MinDwellS is the time a VM stays in the pool at least before it
	// may be moved on, in seconds; default 600.
	MinDwellS int `json:"min_dwell_s,omitempty"`
	// JobShare is the share of each VM's processors and memory that jobs
	// may hold, 0 to 1; default 0. Accelerators go to jobs whole wherever
	// the share is above 0.
	JobShare float64 `json:"job_share,omitempty"`
}

// Tolerance is a number of losses to be carried at once.
type Tolerance struct {
	// Racks is the number of whole racks lost.
	Racks int `json:"racks"`
	// VMs is the number of further VMs lost, such as one right after a repair.
	VMs int `json:"vms"`
}

// VM is one worker. Its desired pool is declared here; the pool it is in
// at the moment is part of the replicated state.
type VM struct {
	// Name is unique; with a count above 1 the VMs are Name-1 .. Name-count.
	Name string `json:"name"`
	// Count is the number of VMs that the entry stands for; default 1.
	Count int    `json:"count,omitempty"`
	Pool  string `json:"pool"`
	Zone  string `json:"zone"`
	Rack  string `json:"rack"`
	// CPUCores, MemoryGiB and Accelerators are the size of the VM.
	CPUCores     int `json:"cpu_cores"`
	MemoryGiB    int `json:"memory_gib"`
	Accelerators int `json:"accelerators,omitempty"`
	// Slots is the number of requests the VM runs at once; default 8.
	Slots int `json:"slots,omitempty"`
	// Connections is the number of connections the VM takes; default 512.
	Connections int `json:"connections,omitempty"`
}

// Service is one application reached by callers under a route.
type Service struct {
	Name string `json:"name"`
	// Pool is the home pool of the service.
	Pool string `json:"pool"`
	// PathPrefix routes requests: the longest matching prefix wins.
	PathPrefix string `json:"path_prefix"`
	// Class is "interactive" or "batch".
	Class Class `json:"class"`
	// DeadlineMS is the time within which a request is to be answered, in ms.
	DeadlineMS int `json:"deadline_ms"`
	// QueueLimit bounds the requests waiting in one entry; default 64.
	QueueLimit int `json:"queue_limit,omitempty"`
	// MaxRequestBytes and MaxResponseBytes bound bodies; default 1 MiB, 8 MiB.
	MaxRequestBytes  int64 `json:"max_request_bytes,omitempty"`
	MaxResponseBytes int64 `json:"max_response_bytes,omitempty"`
	// IdempotentMethods lists the methods that may run more than once;
	// default GET, HEAD, OPTIONS, PUT, DELETE.
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	// Spill allows bursts to use free slots of the spare pool.
	Spill bool `json:"spill,omitempty"`
	// EchoesRequestID says that targets return the X-Request-Id they got,
	// so that crossed answers can be told.
	EchoesRequestID bool `json:"echoes_request_id,omitempty"`
	// Budget is the availability promised for the service.
	Budget Budget `json:"budget"`
}

// Budget is the availability promised for a service.
type Budget struct {
	// PromisedSlots is the number of slots of the home pool that must be
	// able to serve at any time, through maintenance, moves and the
	// tolerated losses.
	PromisedSlots int `json:"promised_slots"`
}

// Team is a group of people that submits jobs.
type Team struct {
	Name string `json:"name"`
	// Quota bounds what the team's running jobs hold together.
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
	// MaxParallel bounds the VMs out at once; 0 means as many as the budgets allow.
	MaxParallel int `json:"max_parallel,omitempty"`
	// SettleS is the time a VM must be healthy after its reboot before it
	// counts as capacity again, in seconds; default 10.
	SettleS int `json:"settle_s,omitempty"`
	// DrainS is the time a drain may take before it is reported late, in
	// seconds; default 60. A late drain is never forced.
	DrainS int `json:"drain_s,omitempty"`
}

// Weights weighs the measures; they need not sum to 1.
type Weights struct {
	// Buffer weighs an idle VM held for one hour.
	Buffer float64 `json:"buffer"`
	// Rollout weighs one hour of roll-out time.
	Rollout float64 `json:"rollout"`
	// Moves weighs one VM or job moved.
	Moves float64 `json:"moves"`
}
