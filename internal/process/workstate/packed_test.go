package workstate

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// randomProgress returns a progress with ends and starts of all kinds.
func randomProgress(dice *rand.Rand, records int) *Progress {
	p := &Progress{}
	task := func() workload.TaskID {
		return workload.TaskID{Job: fmt.Sprintf("%016x", dice.IntN(records/8+1)), Occurrence: dice.IntN(2), Step: dice.IntN(3), Index: dice.IntN(20)}
	}
	for i := range records {
		switch dice.IntN(8) {
		case 0:
			p.Survivals = append(p.Survivals, Survival{Task: task(), Run: i})
		case 1, 2, 3:
			p.Starts = append(p.Starts, Start{Task: task(), Run: i, Worker: fmt.Sprint("i-", dice.IntN(records)), Incarnation: 1780000000000 + int64(dice.IntN(3)), Term: 7})
		default:
			e := End{Task: task(), Run: i, Kind: EndKind(1 + dice.IntN(4)), Alone: dice.IntN(2) == 0, Survived: dice.IntN(2) == 0, Uncertain: dice.IntN(2) == 0, Unreported: dice.IntN(2) == 0}
			if dice.IntN(4) == 0 {
				e.Checkpoint = "c"
			}
			p.Ends = append(p.Ends, e)
		}
	}
	return p
}

// sorted brings the records, whose runs differ, into one order.
func (p *Progress) sorted() *Progress {
	slices.SortFunc(p.Ends, func(a, b End) int { return cmp.Compare(a.Run, b.Run) })
	slices.SortFunc(p.Starts, func(a, b Start) int { return cmp.Compare(a.Run, b.Run) })
	return p
}

// TestPackedProgressLosesNothing guards against starts and ends that a compact command leaves out or changes.
func TestPackedProgressLosesNothing(t *testing.T) {
	dice := rand.New(rand.NewPCG(3, 4))
	for n := range 300 {
		p := randomProgress(dice, n)
		encoded, err := cbor.Marshal(Command{Packed: Pack(p)})
		if err != nil {
			t.Fatal(err)
		}
		var c Command
		if err := cbor.Unmarshal(encoded, &c); err != nil {
			t.Fatal(err)
		}
		if got := c.Packed.Unpack().sorted(); !reflect.DeepEqual(got, p.sorted()) {
			t.Fatalf("%d records: %+v, want %+v", n, got, p)
		}
	}
}

// turnProgress returns what a commit records in a turn of short tasks.
func turnProgress() *Progress {
	p := &Progress{}
	for i := range 400 {
		task := workload.TaskID{Job: fmt.Sprintf("%016x", i/8), Index: i % 8}
		p.Starts = append(p.Starts, Start{Task: task, Run: 1, Worker: fmt.Sprintf("i-%010x", i*3/4), Incarnation: 1780000000000, Term: 7})
		task.Step = 1
		p.Ends = append(p.Ends, End{Task: task, Run: 1, Kind: EndDone})
	}
	return p
}

// TestPackedProgressIsMuchSmaller guards against a leader whose processor goes to the records of runs that it sends to each member.
func TestPackedProgressIsMuchSmaller(t *testing.T) {
	p := turnProgress()
	size := func(c Command) int {
		encoded, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		return len(encoded)
	}
	plain, packed := size(Command{Progress: p}), size(Command{Packed: Pack(p)})
	t.Logf("%d bytes, packed %d", plain, packed)
	if packed > plain/2 {
		t.Errorf("%d bytes packed, %d plain", packed, plain)
	}
}

// TestDamagedPackedProgressIsNotApplied guards against members that end when they apply a command with numbers out of range.
func TestDamagedPackedProgressIsNotApplied(t *testing.T) {
	m := NewMachine()
	p := &PackedProgress{Steps: []packedStep{{Job: "j", Starts: []int{0, 1, 5, 0, 1, -1, 9}, Ends: []int{1, 2}}}}
	encoded, err := cbor.Marshal(Command{Packed: p})
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(1, encoded)
	if got := p.Unpack(); len(got.Starts) != 0 || len(got.Ends) != 0 {
		t.Errorf("%+v", got)
	}
}

// BenchmarkProgress measures what a commit of 400 starts and ends each costs to encode and decode.
func BenchmarkProgress(b *testing.B) {
	p := turnProgress()
	for name, command := range map[string]func() Command{
		"plain":  func() Command { return Command{Progress: p} },
		"packed": func() Command { return Command{Packed: Pack(p)} },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				encoded, err := cbor.Marshal(command())
				if err != nil {
					b.Fatal(err)
				}
				var c Command
				if err := cbor.Unmarshal(encoded, &c); err != nil {
					b.Fatal(err)
				}
				if c.Packed != nil {
					c.Packed.Unpack()
				}
			}
		})
	}
}
