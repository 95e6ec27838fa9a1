package request

// reason is the reason of a refusal, as the caller sees it.
type reason string

// Reasons of refusals. Their texts are also metric labels.
const (
	reasonNoDocument    reason = "no document is in force yet"
	reasonNoRoute       reason = "no service has this route"
	reasonTooLarge      reason = "the request body is too large"
	reasonMalformedBody reason = "the request body was cut or is malformed"
	reasonSlowSender    reason = "the request body took too long"
	reasonMethod        reason = "the method or an upgrade is not supported"
	reasonNoTarget      reason = "no target of the service is live"
	reasonQueueFull     reason = "the queue of the service is full"
	reasonCallerShare   reason = "the caller holds more than its share of the queue"
	reasonDeadline      reason = "the request can't finish before its deadline"
	reasonCallerGone    reason = "the caller is gone"
	reasonRemoved       reason = "the service was removed"
	reasonNoClaim       reason = "no claim of the idempotency key can be made"
	reasonUnreachable   reason = "no target could be reached"
	reasonMismatch      reason = "the idempotency key was used with other content"
	reasonLongKey       reason = "the idempotency key is too long"
	reasonBodyMemory    reason = "too many request bodies are being received"
)

// refusal is the reason why a request gets no slot, with the HTTP status and
// the Retry-After seconds of the answer.
type refusal struct {
	status      int
	reason      reason
	retryAfterS int
}
