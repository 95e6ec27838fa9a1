package state

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"

	"arbutusward.example/arbutusward/internal/request/batch"
	"arbutusward.example/arbutusward/internal/request/claim"
)

// BenchmarkClaimAndFinish measures the commands for one request with an
// idempotency key.
func BenchmarkClaimAndFinish(b *testing.B) {
	d := newDriver()
	answer := &claim.Answer{Status: 200, Header: http.Header{"Content-Type": {"application/json"}}, Body: make([]byte, 512)}
	for i := 0; b.Loop(); i++ {
		d.nowMS += 1000
		c := command(fmt.Sprintf("%043d", i), "entry-a1", "0123456789ABCDEFGHIJKLMNOP", fmt.Sprintf("%026d", i))
		d.claim(b, c)
		d.end(b, FinishClaim, ClaimEnd{Key: c.Key, Attempt: c.Attempt, Answer: answer})
	}
}

// BenchmarkBatchRequest measures the commands for one batch request from
// acceptance to its end, leased in groups of 16.
func BenchmarkBatchRequest(b *testing.B) {
	d := newDriver()
	const pullSize = 16
	for i := 0; b.Loop(); i++ {
		d.nowMS += 10
		d.accept(b, batch.Request{Service: "cleanup", ID: fmt.Sprint(i), Body: make([]byte, 512)})
		if i%pullSize != pullSize-1 {
			continue
		}
		for _, job := range d.pull(b, "e1", "r1", pullSize).Jobs {
			if _, err := run[string](b, d, FinishBatch, batch.End{LeaseRef: batch.LeaseRef{ID: job.ID, Epoch: job.Epoch}, Ran: true, Answer: &claim.Answer{Status: 200}}); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkSnapshotOfManyClaims measures the time and size of a snapshot with
// 50,000 claims, each with an answer of 512 bytes, and the memory of the
// claims.
func BenchmarkSnapshotOfManyClaims(b *testing.B) {
	const claims = 50_000
	before := heapBytes()
	d := newDriver()
	for i := range claims {
		c := command(fmt.Sprintf("%043d", i), "entry-a1", "0123456789ABCDEFGHIJKLMNOP", fmt.Sprintf("%026d", i))
		d.claim(b, c)
		d.end(b, FinishClaim, ClaimEnd{Key: c.Key, Attempt: c.Attempt, Answer: &claim.Answer{Status: 200, Body: make([]byte, 512)}})
	}
	memory := heapBytes() - before
	var size int
	for b.Loop() {
		snapshot, err := d.machine.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(snapshot)
	}
	b.ReportMetric(float64(size)/claims, "snapshot-B/claim")
	b.ReportMetric(float64(memory)/claims, "heap-B/claim")
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
