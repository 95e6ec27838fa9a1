package message

import "arbutusward.example/arbutusward/internal/connection/link"

// Calls from an entry to the control leader. All of them can safely be sent
// again after a lost answer.
const (
	// ClaimKind claims an idempotency key. It sends a state.ClaimCommand and
	// returns a state.ClaimAnswer.
	ClaimKind link.Kind = "control.claim"
	// FinishClaimKind and ReleaseClaimKind end a claim. They send a
	// state.ClaimEnd and return Done.
	FinishClaimKind  link.Kind = "control.claim.finish"
	ReleaseClaimKind link.Kind = "control.claim.release"
	// AcceptBatchKind stores a batch request. It sends a batch.Request and
	// returns a BatchID.
	AcceptBatchKind link.Kind = "control.batch.accept"
	// PullBatchKind renews leases and asks for further batch requests. It sends
	// a batch.Pull and returns batch.Leases.
	PullBatchKind link.Kind = "control.batch.pull"
	// FinishBatchKind ends an attempt. It sends a batch.End and returns Done.
	FinishBatchKind link.Kind = "control.batch.finish"
	// GetBatchKind reads a batch request. It sends a BatchID and returns a
	// batch.Job.
	GetBatchKind link.Kind = "control.batch.get"
	// CancelBatchKind cancels batch requests. It sends a batch.Cancel and
	// returns batch.States.
	CancelBatchKind link.Kind = "control.batch.cancel"
)

// Done is an empty answer.
type Done struct{}

// BatchID identifies a batch request.
type BatchID struct {
	ID string `cbor:"1,keyasint"`
}
