package explain

import "arbutusward.example/arbutusward/internal/version/workload"

// Answer is an explanation. All ages and durations are in milliseconds.
type Answer struct {
	// Term is that of the leader that answers, Version that of the configuration.
	Term    uint64 `json:"term"`
	Version int64  `json:"version"`
	// Queue is nil if none matches the host and the path.
	Queue *Queue `json:"queue"`
	// Access is "allowed" or the reason of a refusal. Only Queue and Access are set for a
	// caller that is refused.
	Access    string     `json:"access"`
	Account   *Account   `json:"account,omitempty"`
	Job       *Job       `json:"job,omitempty"`
	Admission *Admission `json:"admission,omitempty"`
	Steps     []Step     `json:"steps,omitempty"`
	// Workers lists those of the queue's service, by what they do with new tasks.
	Workers []Workers `json:"workers,omitempty"`
	// Unknown lists what the answer does not consider.
	Unknown []string `json:"unknown,omitempty"`
}

// Queue is the queue that a call belongs to.
type Queue struct {
	Name       string `json:"name"`
	PathPrefix string `json:"path_prefix"`
	Service    string `json:"service"`
	Priority   int    `json:"priority"`
}

// Resources is an amount of resources in the units of the configuration.
type Resources struct {
	MilliCPU int64 `json:"cpu"`
	MemoryMB int64 `json:"mem_mb"`
	GPU      int64 `json:"gpu"`
}

func resources(r workload.Resources) Resources {
	return Resources{MilliCPU: r.MilliCPU, MemoryMB: r.MemoryMB, GPU: r.GPU}
}

// Account is the account that a key belongs to.
type Account struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// OverRate is set if a job submitted now would exceed the account's rate.
	OverRate bool `json:"over_rate"`
	// Use is what the account has executing, of which Limit is the most; a figure of 0
	// in Limit means no limit.
	Use   Resources `json:"use"`
	Limit Resources `json:"limit"`
	// AboveShare is set if the account has more of the service than its share, so that its
	// tasks come after the others of their tier.
	AboveShare bool `json:"above_share"`
}

// Job is a job that was accepted before.
type Job struct {
	// State is "waiting", "running", "succeeded", "failed" or "cancelled".
	State    string `json:"state"`
	AgeMS    int64  `json:"age_ms"`
	OverRate bool   `json:"over_rate"`
}

// Outcomes of a submission.
const (
	Accepted      = "accepted"
	Refused       = "refused"
	AcceptedAgain = "accepted before"
	Scheduled     = "accepted, due later"
)

// noLoad is the LoadAgeMS of an answer that no load has decided.
const noLoad = -1

// Admission is the answer that a submission would get.
type Admission struct {
	Outcome string `json:"outcome"`
	// Reason tells why the job would be refused, RetryAfterMS when it may be sent again.
	Reason       string `json:"reason,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	// BacklogCoreS is the work before the job in core seconds, WaitMS the time for it. They are 0
	// if no tasks wait for room.
	BacklogCoreS float64 `json:"backlog_core_s"`
	WaitMS       int64   `json:"wait_ms"`
	ObjectiveMS  int64   `json:"objective_ms"`
	// LoadAgeMS is the age of the load by which is decided, or noLoad (-1).
	LoadAgeMS int64 `json:"load_age_ms"`
}

// Reasons why tasks don't start.
const (
	ReasonNoWorker     = "no worker accepts tasks"
	ReasonLabel        = "no worker that accepts tasks has the label"
	ReasonQuota        = "quota of the account"
	ReasonRoom         = "no room"
	ReasonMaxPerWorker = "most tasks of the step on one worker"
	ReasonGang         = "no room for all tasks of the gang"
	ReasonApart        = "task may crash its worker and starts apart"
	ReasonEarlier      = "earlier steps"
)

// Step tells about the tasks of one step.
type Step struct {
	Step  int `json:"step"`
	Tasks int `json:"tasks"`
	Done  int `json:"done,omitempty"`
	// Executing and Starts list the workers on which tasks execute and would start.
	Executing []OnWorker `json:"executing,omitempty"`
	Starts    []OnWorker `json:"starts,omitempty"`
	// Waiting counts the tasks that would not start, for a reason.
	Waiting int    `json:"waiting,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// DependsOn lists the steps that must be done first.
	DependsOn []int `json:"depends_on,omitempty"`
	// Order is the place of a step that may start.
	Order *Order `json:"order,omitempty"`
}

// OnWorker is a number of tasks on a worker. The last one of a long list has no worker
// and counts the tasks on the others.
type OnWorker struct {
	Worker string `json:"worker"`
	Tasks  int    `json:"tasks"`
	// AgeMS is the time since the worker last answered.
	AgeMS int64 `json:"age_ms"`
}

// Order is the place of a step among what waits for the same service. Steps are served by
// priority, tier and rank, the lowest first.
type Order struct {
	Priority int     `json:"priority"`
	Tier     string  `json:"tier"`
	Rank     float64 `json:"rank"`
	// StepsBefore and TasksBefore count what goes before, OwnTasksBefore those of the
	// same account. Steps of the same tier are counted by rank alone.
	StepsBefore    int `json:"steps_before"`
	TasksBefore    int `json:"tasks_before"`
	OwnTasksBefore int `json:"own_tasks_before"`
}

// Workers counts workers in the same state.
type Workers struct {
	// State is "accept tasks" or why they don't.
	State string `json:"state"`
	Count int    `json:"count"`
	// Free is what they have free, OldestMS the age of the oldest newest answer.
	Free     Resources `json:"free"`
	OldestMS int64     `json:"oldest_ms"`
}
