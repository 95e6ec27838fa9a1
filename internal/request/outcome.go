package request

// Outcome says what became of a request; every final answer carries one.
type Outcome string

// Outcomes of requests.
const (
	// Ran says that the target answered, whole.
	Ran Outcome = "ran"
	// NotRun says that no byte of the request went to any target.
	NotRun Outcome = "not-run"
	// Unknown says that the request may have run.
	Unknown Outcome = "unknown"
)

// Headers of every answer.
const (
	OutcomeHeader   = "X-Arbutus-Outcome"
	ReasonHeader    = "X-Arbutus-Reason"
	RequestIDHeader = "X-Request-Id"
)
