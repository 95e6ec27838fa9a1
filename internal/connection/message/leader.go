package message

import "arbutusward.example/arbutusward/internal/connection/link"

// Calls from an entry to the leading control process. All of them may be
// sent again after a lost answer.
const (
	// ClaimKind claims a key: state.ClaimCommand, answered by state.ClaimAnswer.
	ClaimKind link.Kind = "control.claim"
	// FinishClaimKind and ReleaseClaimKind end a claim: state.ClaimEnd,
	// answered by Done.
	FinishClaimKind  link.Kind = "control.claim.finish"
	ReleaseClaimKind link.Kind = "control.claim.release"
	// AcceptBatchKind stores a batch request: batch.Request, answered
	// by BatchID.
	AcceptBatchKind link.Kind = "control.batch.accept"
	// PullBatchKind renews leases and asks for more: batch.Pull, answered by
	// batch.Leases.
	PullBatchKind link.Kind = "control.batch.pull"
	// FinishBatchKind ends an attempt: batch.End, answered by Done.
	FinishBatchKind link.Kind = "control.batch.finish"
	// GetBatchKind reads a batch request: BatchID, answered by batch.Job.
	GetBatchKind link.Kind = "control.batch.get"
	// CancelBatchKind cancels batch requests: batch.Cancel, answered
	// by batch.States.
	CancelBatchKind link.Kind = "control.batch.cancel"
)

// Done acknowledges a call.
type Done struct{}

// BatchID names a batch request.
type BatchID struct {
	ID string `cbor:"1,keyasint"`
}
