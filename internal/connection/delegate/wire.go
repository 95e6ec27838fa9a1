package delegate

import (
	"errors"
	"fmt"

	"arbutusward.example/arbutusward/internal/connection/batcher"
	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Kinds of link messages. Neither has an answer.
const (
	callsKind   link.Kind = "delegate.calls"
	answersKind link.Kind = "delegate.answers"
)

// callBatch carries calls from the leader to a delegate.
type callBatch struct {
	// ReplyTo is the link address of the leader.
	ReplyTo string `cbor:"1,keyasint"`
	// SentMS is a reading of the leader's clock, which counts suspensions.
	SentMS int64  `cbor:"2,keyasint"`
	Calls  []call `cbor:"3,keyasint"`
	// Session identifies the leader's process, whose restart may restart its
	// clock.
	Session uint64 `cbor:"4,keyasint"`
}

// call is one call to a worker. Exactly one order is set.
type call struct {
	// Number identifies the call in its answer.
	Number uint64                  `cbor:"1,keyasint"`
	Worker execution.WorkerAddress `cbor:"2,keyasint"`
	// TimeoutMS is the time that the call may take at the delegate.
	TimeoutMS int64                 `cbor:"3,keyasint,omitempty"`
	Start     *execution.StartOrder `cbor:"4,keyasint,omitempty"`
	Stop      *stopOrder            `cbor:"5,keyasint,omitempty"`
	Watch     *execution.Watch      `cbor:"6,keyasint,omitempty"`
	Throttle  *throttleOrder        `cbor:"7,keyasint,omitempty"`
	// Forget closes the connections to the worker. It has no answer.
	Forget bool `cbor:"8,keyasint,omitempty"`
}

// urgency returns how long the call may wait for others. A watch that only
// extends a lease and waits for the next end is patient.
func (c *call) urgency() batcher.Urgency {
	return batcher.Urgency(c.Watch == nil || c.Watch.Prompt)
}

type stopOrder struct {
	Task         workload.TaskID `cbor:"1,keyasint"`
	Run          int             `cbor:"2,keyasint"`
	FencingToken uint64          `cbor:"3,keyasint"`
}

type throttleOrder struct {
	Task         workload.TaskID `cbor:"1,keyasint"`
	Run          int             `cbor:"2,keyasint"`
	Percent      int             `cbor:"3,keyasint"`
	FencingToken uint64          `cbor:"4,keyasint"`
}

// answerBatch carries answers from a delegate to the leader.
type answerBatch struct {
	// From is the link address of the delegate.
	From    string   `cbor:"1,keyasint"`
	Answers []answer `cbor:"2,keyasint"`
}

// answer is the worker's answer to one call: an Answer to an order, a Report to
// a watch, or a failure.
type answer struct {
	// Number is 0 in an acknowledgement, which belongs to no call.
	Number  uint64            `cbor:"1,keyasint"`
	Order   *execution.Answer `cbor:"2,keyasint,omitempty"`
	Report  *execution.Report `cbor:"3,keyasint,omitempty"`
	Failure failure           `cbor:"4,keyasint,omitempty"`
	Text    string            `cbor:"5,keyasint,omitempty"`
}

// acknowledgement returns the answer that tells the leader that a batch of calls
// has arrived.
func acknowledgement() answer { return answer{} }

// urgency returns how long the answer may wait for others. Reports of ends free
// capacity, refusals and failures call for a decision, and a first report is
// awaited by a new leader. An accepted order and a report without news call for
// nothing.
func (a *answer) urgency(firstReport bool) batcher.Urgency {
	switch {
	case a.Failure != 0 || firstReport:
		return batcher.Prompt
	case a.Order != nil:
		return batcher.Urgency(a.Order.Refusal != execution.Accepted)
	default:
		return batcher.Urgency(len(a.Report.Ended) > 0 || a.Report.Refusal != execution.Accepted)
	}
}

// failure is the kind of error of a call.
type failure uint8

const (
	failedNoAnswer failure = iota + 1
	failedMalformed
	failedConnectionRefused
)

// failedAnswer returns the answer that carries an error of execution.Workers.
func failedAnswer(number uint64, err error) answer {
	kind := failedNoAnswer
	switch {
	case errors.Is(err, execution.ErrMalformedAnswer):
		kind = failedMalformed
	case errors.Is(err, execution.ErrConnectionRefused):
		kind = failedConnectionRefused
	}
	return answer{Number: number, Failure: kind, Text: err.Error()}
}

// err returns the error of the call, or nil.
func (a *answer) err() error {
	switch a.Failure {
	case 0:
		return nil
	case failedMalformed:
		return fmt.Errorf("%w: at the delegate: %s", execution.ErrMalformedAnswer, a.Text)
	case failedConnectionRefused:
		return fmt.Errorf("%w: at the delegate: %s", execution.ErrConnectionRefused, a.Text)
	default:
		return fmt.Errorf("%w: at the delegate: %s", execution.ErrNoAnswer, a.Text)
	}
}
