package jobmemory

// MiB is a mebibyte in bytes.
const MiB = 1 << 20

// Parts of the memory of a control process.
const (
	// fallbackMB is the memory of a process that is not told, in MiB.
	fallbackMB = 256
	// jobsShare is the part for jobs: a fifth. Connections and requests take half at most.
	jobsShare = 5
	// largeNumerator of largeDenominator parts of the limit may be taken when a job is
	// accepted that is not small. The rest is for small jobs, so that a few callers with
	// large jobs do not shut all others out.
	largeNumerator, largeDenominator = 3, 4
	// smallShare is the part of the limit up to which a job is small.
	smallShare = 4096
	// shareFrom is the part of the limit, a half, from which on an account must keep to
	// its share.
	shareFrom = 2
)

// Limit returns the memory for jobs of a process with the given memory in MiB, in bytes.
func Limit(memoryMB int) int64 {
	if memoryMB <= 0 {
		memoryMB = fallbackMB
	}
	return int64(memoryMB) * MiB / jobsShare
}

// Reason tells why a job is refused.
type Reason string

// Reasons of a refusal.
const (
	// TooLarge means that the job is never accepted, since it takes more than all large
	// jobs together may.
	TooLarge Reason = "the job takes more memory than there is for jobs"
	// Full means that other jobs take the memory.
	Full Reason = "no memory for the job"
	// AboveShare means that half of the memory is taken, and that the account would have
	// more than its share.
	AboveShare Reason = "no memory for the job beyond the share of its account"
)

// Use is what a decision about a job is made from. All memory is in bytes.
type Use struct {
	// Limit is the memory for all jobs, Taken what the others take, Need what the job takes.
	Limit, Taken, Need int64
	// OfAccount is the part of Taken of the job's account, and Share the part of the limit
	// that it is owed; 0 if the job has no account.
	OfAccount int64
	Share     float64
}

// Verdict is a decision about a job.
type Verdict struct {
	// Refused is "" if the job may be accepted.
	Refused Reason
	Use
}

// Decide decides about a job.
func Decide(u *Use) Verdict {
	return Verdict{Refused: u.refusal(), Use: *u}
}

func (u *Use) refusal() Reason {
	limit := u.Limit
	if u.Need > u.Limit/smallShare {
		limit = u.Limit / largeDenominator * largeNumerator
	}
	switch {
	case u.Need > limit:
		return TooLarge
	case u.Taken+u.Need > limit:
		return Full
	case u.Share > 0 && u.Taken+u.Need > u.Limit/shareFrom && float64(u.OfAccount+u.Need) > u.Share*float64(u.Limit):
		return AboveShare
	}
	return ""
}
