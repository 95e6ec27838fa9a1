package workstate

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// checkMemory compares the memory that is counted with that of the jobs of the state.
func checkMemory(t *testing.T, m *Machine, when string) {
	t.Helper()
	total, ofAccount := int64(0), int64(0)
	for _, job := range m.data.Jobs {
		total += job.footprint()
		if job.Account != "" {
			ofAccount += job.footprint()
		}
	}
	if m.memory.Total != total || m.memory.Of("a") != ofAccount {
		t.Fatalf("%s: %d bytes are counted, %d of the account, expected %d and %d", when, m.memory.Total, m.memory.Of("a"), total, ofAccount)
	}
}

// TestCountedMemoryIsThatOfTheJobs guards against a sum that drifts from the jobs, so that jobs are refused for memory that nobody takes, or accepted without any.
func TestCountedMemoryIsThatOfTheJobs(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	m := newTestMachine(t)
	for i := range 2000 {
		id := fmt.Sprintf("%016x", random.IntN(40))
		task := workload.TaskID{Job: id}
		switch random.IntN(6) {
		case 0, 1:
			apply(t, m, Command{Submit: &Submit{ID: id, Host: "h", Path: "/q/" + id, Spec: workload.Spec{Payload: "x", Steps: []workload.Step{{Count: 1 + random.IntN(3), DependsOn: nil}}}}})
			if job := m.data.Jobs[id]; job.Account == "" && id > "0000000000000014" && job.charged > 0 {
				m.memory.Add("a", job.charged)
				m.memory.Total -= job.charged
				job.Account = "a"
			}
		case 2:
			apply(t, m, Command{Progress: &Progress{Starts: []Start{{Task: task, Run: 1 + random.IntN(5), Worker: "w0"}}}})
		case 3:
			apply(t, m, Command{Progress: &Progress{Ends: []End{{Task: task, Run: 1 + random.IntN(5), Kind: EndKind(1 + random.IntN(3))}}}})
		case 4:
			apply(t, m, Command{Cancel: &Cancel{ID: id}})
		case 5:
			if random.IntN(10) == 0 {
				apply(t, m, Command{PurgeJobs: &PurgeJobs{EndedBeforeMS: int64(random.IntN(2)) * (m.data.ClockMS + 1)}})
			}
		}
		checkMemory(t, m, fmt.Sprint("command ", i))
	}
	restored := restoreCopy(t, m)
	checkMemory(t, restored, "restored")
	if restored.memory.Total != m.memory.Total {
		t.Errorf("%d bytes are counted once restored, %d before", restored.memory.Total, m.memory.Total)
	}
}

// TestFootprintIsNoLessThanTheMemoryOfTheState guards against a limit that counts less than what jobs of any shape take.
func TestFootprintIsNoLessThanTheMemoryOfTheState(t *testing.T) {
	const jobs = 40
	step := workload.Step{Count: 1, RequiredLabel: "l"}
	for name, spec := range map[string]workload.Spec{
		"small":       {Steps: []workload.Step{step}},
		"steps":       {Steps: repeated(step, workload.MaxSteps)},
		"payload":     {Payload: strings.Repeat("x", workload.MaxPayloadBytes), Steps: []workload.Step{step}},
		"tasks":       {Steps: []workload.Step{{Count: 20_000}}},
		"occurrences": {Steps: []workload.Step{step}, Repeat: 5000},
		"image":       {Steps: []workload.Step{{Count: 1, Image: strings.Repeat("x", 100_000)}}},
		"dependency":  {Steps: []workload.Step{step, {Count: 1, DependsOn: make([]int, 20_000)}}},
	} {
		t.Run(name, func(t *testing.T) {
			before := heapBytes()
			m := newTestMachine(t)
			var log [][]byte
			for i := range jobs {
				id := fmt.Sprintf("%016x", i)
				command, err := cbor.Marshal(&Command{Submit: &Submit{ID: id, Host: "h", Path: "/q/" + id, Spec: spec}})
				if err != nil {
					t.Fatal(err)
				}
				m.Apply(uint64(i), command)
				log = append(log, command)
				m.data.Jobs[id].ensureOccurrence(spec.Occurrences() - 1)
			}
			snapshot, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			took := heapBytes() - before
			counted := m.memory.Total
			if took > counted {
				t.Errorf("%d jobs take %d bytes, %d are counted", jobs, took, counted)
			}
			runtime.KeepAlive(snapshot)
			runtime.KeepAlive(log)
		})
	}
}

func repeated(step workload.Step, count int) []workload.Step {
	steps := make([]workload.Step, count)
	for i := range steps {
		steps[i] = step
	}
	return steps
}

// heapBytes returns the memory of what is in use.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
