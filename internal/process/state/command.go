package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/codec"
)

// Kind identifies the kind of a command.
type Kind string

// Command kinds.
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

// applier applies a command of one kind. body is the encoded body of the
// command.
type applier func(m *Machine, pos position, body []byte) Result

// appliers returns the applier of each kind.
func appliers() map[Kind]applier {
	return map[Kind]applier{
		SubmitDocument: typed(applySubmitDocument),
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
		RecordLosses:   typed(applyRecordLosses),
		EndWave:        typed(applyEndWave),

		ClaimKey:          typed(applyClaim),
		FinishClaim:       typed(applyFinishClaim),
		ReleaseClaim:      typed(applyReleaseClaim),
		RecordIncarnation: typed(applyRecordIncarnation),

		AcceptBatch: typed(applyAcceptBatch),
		LeaseBatch:  typed(applyLeaseBatch),
		FinishBatch: typed(applyFinishBatch),
		CancelBatch: typed(applyCancelBatch),
	}
}

// position is the log position and the time of the command that is applied.
type position struct {
	// index is the log index. It is the revision of everything that the
	// command changes.
	index uint64
	// atMS is the leader's wall-clock time when it proposed the command, in
	// Unix milliseconds.
	atMS int64
}

// Command is one entry of the replicated log.
type Command struct {
	Kind Kind            `cbor:"1,keyasint"`
	AtMS int64           `cbor:"2,keyasint"`
	Body cbor.RawMessage `cbor:"3,keyasint"`
}

// Encode returns the log entry of a command.
func Encode(kind Kind, atMS int64, body any) ([]byte, error) {
	raw, err := codec.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	return codec.Marshal(Command{Kind: kind, AtMS: atMS, Body: raw})
}

// Code is the result code of a command.
type Code string

// Result codes.
const (
	OK Code = "ok"
	// Conflict means that the state has changed since the proposer read it.
	Conflict Code = "conflict"
	// NotFound means that an object named by the command does not exist.
	NotFound Code = "not_found"
	// Refused means that the command would break a rule.
	Refused Code = "refused"
	// Malformed means that the command could not be decoded or has an invalid
	// kind or value.
	Malformed Code = "malformed"
)

// Result is the result of a command. It is the same on every replica.
type Result struct {
	Code    Code            `cbor:"1,keyasint"`
	Message string          `cbor:"2,keyasint,omitempty"`
	Body    cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

// Error formats a Result whose code is not OK.
func (r *Result) Error() string { return string(r.Code) + ": " + r.Message }

// DecodeResult returns the decoded body of a result. If the code is not OK,
// the error is of type *Result.
func DecodeResult[T any](data []byte) (T, error) {
	var value T
	var result Result
	if err := codec.UnmarshalStored(data, &result); err != nil {
		return value, fmt.Errorf("decode result: %w", err)
	}
	if len(result.Body) > 0 {
		if err := codec.UnmarshalStored(result.Body, &value); err != nil {
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
	raw, err := codec.MarshalStored(body)
	if err != nil {
		return refuse(Malformed, "encode result: %v", err)
	}
	result.Body = raw
	return result
}

// typed returns an applier that decodes the body and calls apply.
func typed[T any](apply func(*Machine, position, T) Result) applier {
	return func(m *Machine, pos position, body []byte) Result {
		var value T
		if err := codec.Unmarshal(body, &value); err != nil {
			return refuse(Malformed, "decode command: %v", err)
		}
		return apply(m, pos, value)
	}
}
