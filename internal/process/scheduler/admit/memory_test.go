package admit

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/jobmemory"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// testLeader returns a leader whose state is always current and has no jobs.
func testLeader() Leader {
	machine := workstate.NewMachine()
	read := func(_ context.Context, f func(*workstate.View)) error {
		machine.Read(f)
		return nil
	}
	return Leader{Machine: machine, Read: read, Log: slog.New(slog.DiscardHandler)}
}

func submissionOf(id string, tasks int) Submission {
	spec := workload.Spec{Steps: []workload.Step{{Count: tasks}}}
	return Submission{SubmitRequest: &workcall.SubmitRequest{Spec: spec, Attempt: id}, ID: id}
}

// TestJobsInFlightCountAgainstTheMemory guards against a burst of submissions that are all accepted since none of them is in the state yet.
func TestJobsInFlightCountAgainstTheMemory(t *testing.T) {
	var c Control
	l := testLeader()
	large := submissionOf("job", 10_000)
	need := workstate.Footprint(&large.Spec)
	c.Memory.SetOwn(10 * need)
	var mu sync.Mutex
	var accepted []*Proposal
	var all sync.WaitGroup
	for i := range 100 {
		all.Go(func() {
			proposal, response, err := c.Admit(t.Context(), l, submissionOf(fmt.Sprint(i), 10_000))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				t.Error(err)
			case proposal != nil:
				accepted = append(accepted, proposal)
			case response.Status != workcall.Overloaded || response.RetryAfterMS <= 0:
				t.Errorf("refusal: %+v", response)
			}
		})
	}
	all.Wait()
	if len(accepted) != 7 {
		t.Errorf("%d jobs of a tenth of the memory are being proposed, expected those of three quarters", len(accepted))
	}
	for _, proposal := range accepted {
		proposal.End(workcall.SubmitResponse{Status: workcall.Unauthorized}, nil, time.Now())
	}
	if c.Memory.claimed.Total != 0 {
		t.Errorf("%d bytes are claimed when nothing is being proposed", c.Memory.claimed.Total)
	}
}

// TestSmallestMemberLimitsTheJobs guards against jobs that the leader has the memory for, and another control process has not.
func TestSmallestMemberLimitsTheJobs(t *testing.T) {
	var m Memory
	now := time.Now()
	m.SetOwn(100 * jobmemory.MiB)
	m.SetMember("small", 50*jobmemory.MiB, now)
	m.SetMember("version before", 0, now)
	for _, c := range []struct {
		after time.Duration
		want  int64
	}{{0, 50 * jobmemory.MiB}, {memberAge, 50 * jobmemory.MiB}, {2 * memberAge, 100 * jobmemory.MiB}} {
		if got := m.limit(now.Add(c.after)); got != c.want {
			t.Errorf("%s later: limit %d, expected %d", c.after, got, c.want)
		}
	}
}

// TestJobThatNeverFitsIsInvalid guards against a Retry-After for a job that is never accepted.
func TestJobThatNeverFitsIsInvalid(t *testing.T) {
	var c Control
	c.Memory.SetOwn(jobmemory.MiB)
	proposal, response, err := c.Admit(t.Context(), testLeader(), submissionOf("job", 100_000))
	if proposal != nil || err != nil || response.Status != workcall.Invalid || response.RetryAfterMS != 0 {
		t.Errorf("proposal %v, response %+v, error %v", proposal, response, err)
	}
}

// TestRefusedCallersReturnApart guards against callers without memory for their jobs who all return in the same second, and are refused again.
func TestRefusedCallersReturnApart(t *testing.T) {
	bySecond := map[time.Duration]int{}
	for i := range 1000 {
		bySecond[MemoryRetryAfter(fmt.Sprintf("%016x", i)).Truncate(time.Second)]++
	}
	for second, count := range bySecond {
		if count > 400 {
			t.Errorf("%d of 1000 callers return after %s", count, second)
		}
	}
}
