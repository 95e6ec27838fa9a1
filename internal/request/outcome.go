package request

// Outcome is the outcome of a request. Every final answer has one.
type Outcome string

// Outcomes of requests.
const (
	// Ran means that a target ran the request and its whole answer arrived.
	Ran Outcome = "ran"
	// NotRun means that no byte of the request was sent to any target.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Headers of every answer.
const (
	OutcomeHeader   = "X-Arbutus-Outcome"
	ReasonHeader    = "X-Arbutus-Reason"
	RequestIDHeader = "X-Request-Id"
)
