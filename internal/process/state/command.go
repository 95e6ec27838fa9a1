package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the type of a command.
type Kind string

// Kinds of commands.
const (
	SubmitDocument Kind = "submit-document"
	RegisterEntry  Kind = "register-entry"
	RemoveEntry    Kind = "remove-entry"
	SubmitJobs     Kind = "submit-jobs"
	StepJobs       Kind = "step-jobs"
	ReportTasks    Kind = "report-tasks"
	CancelJobs     Kind = "cancel-jobs"
	StepMove       Kind = "step-move"
	StartWave      Kind = "start-wave"
	ControlWave    Kind = "control-wave"
	StepWave       Kind = "step-wave"
	RecordLosses   Kind = "note-losses"
	EndWave        Kind = "end-wave"

	ClaimKey          Kind = "claim-key"
	FinishClaim       Kind = "finish-claim"
	ReleaseClaim      Kind = "release-claim"
	RecordIncarnation Kind = "note-incarnation"

	AcceptBatch Kind = "accept-batch"
	LeaseBatch  Kind = "lease-batch"
	FinishBatch Kind = "finish-batch"
	CancelBatch Kind = "cancel-batch"
)

// applier carries out one kind of command.
type applier func(m *Machine, c position, body []byte) Result

// appliers maps each kind to its function.
func appliers() map[Kind]applier {
	return map[Kind]applier{
		SubmitDocument: typed(applySubmit),
		RegisterEntry:  typed(applyRegisterEntry),
		RemoveEntry:    typed(applyRemoveEntry),
		SubmitJobs:     typed(applySubmitJobs),
		StepJobs:       typed(applyStepJobs),
		ReportTasks:    typed(applyReportTasks),
		CancelJobs:     typed(applyCancelJobs),
		StepMove:       typed(applyStepMove),
		StartWave:      typed(applyStartWave),
		ControlWave:    typed(applyControlWave),
		StepWave:       typed(applyStepWave),
		RecordLosses:   typed(applyNoteLosses),
		EndWave:        typed(applyEndWave),

		ClaimKey:          typed(applyClaim),
		FinishClaim:       typed(applyFinishClaim),
		ReleaseClaim:      typed(applyReleaseClaim),
		RecordIncarnation: typed(applyNoteIncarnation),

		AcceptBatch: typed(applyAcceptBatch),
		LeaseBatch:  typed(applyLeaseBatch),
		FinishBatch: typed(applyFinishBatch),
		CancelBatch: typed(applyCancelBatch),
	}
}

// position is the place and time of the command that is applied.
type position struct {
	// index is the log index; it is the revision of all that changes.
	index uint64
	// atMS is the leader's wall time at the proposal, in Unix milliseconds.
	atMS int64
}

// Command is one entry of the replicated log.
type Command struct {
	Kind Kind            `cbor:"1,keyasint"`
	AtMS int64           `cbor:"2,keyasint"`
	Body cbor.RawMessage `cbor:"3,keyasint"`
}

// Encode makes the log entry of a command.
func Encode(kind Kind, atMS int64, body any) ([]byte, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	return cbor.Marshal(Command{Kind: kind, AtMS: atMS, Body: raw})
}

// Code is the outcome of a command.
type Code string

// Outcomes of commands.
const (
	OK Code = "ok"
	// Conflict says that the state moved on since the proposer looked.
	Conflict Code = "conflict"
	// NotFound says that what the command names does not exist.
	NotFound Code = "not_found"
	// Refused says that carrying the command out would break a rule.
	Refused Code = "refused"
	// Malformed says that the command could not be decoded.
	Malformed Code = "malformed"
)

// Result is the outcome of a command, the same on every replica.
type Result struct {
	Code    Code            `cbor:"1,keyasint"`
	Message string          `cbor:"2,keyasint,omitempty"`
	Body    cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

// Error formats a result that is not OK.
func (r *Result) Error() string { return string(r.Code) + ": " + r.Message }

// DecodeResult returns the typed body of a result; a result that is not
// OK is returned as an error of type *Result.
func DecodeResult[T any](data []byte) (T, error) {
	var value T
	var result Result
	if err := cbor.Unmarshal(data, &result); err != nil {
		return value, fmt.Errorf("decode result: %w", err)
	}
	if len(result.Body) > 0 {
		if err := cbor.Unmarshal(result.Body, &value); err != nil {
			return value, fmt.Errorf("decode result body: %w", err)
		}
	}
	if result.Code != OK {
		return value, &result
	}
	return value, nil
}

// okResult returns an OK result with a body.
func okResult(body any) Result {
	return withBody(Result{Code: OK}, body)
}

func refuse(code Code, format string, args ...any) Result {
	return Result{Code: code, Message: fmt.Sprintf(format, args...)}
}

func withBody(result Result, body any) Result {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return refuse(Malformed, "encode result: %v", err)
	}
	result.Body = raw
	return result
}

// typed adapts a function on a decoded body to an applier.
func typed[T any](apply func(*Machine, position, T) Result) applier {
	return func(m *Machine, c position, body []byte) Result {
		var value T
		if err := cbor.Unmarshal(body, &value); err != nil {
			return refuse(Malformed, "decode command: %v", err)
		}
		return apply(m, c, value)
	}
}
