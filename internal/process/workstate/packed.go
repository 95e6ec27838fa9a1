package workstate

import (
	"slices"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// Formats of the commands that a process can read.
const (
	// FormatPlain has no PackedProgress.
	FormatPlain = 0
	// FormatPacked has PackedProgress.
	FormatPacked = 1
	// FormatJobLocation has no new command. From it on a Cancel names its job by
	// host and path; below it by the id alone.
	FormatJobLocation = 2
	// NewestFormat is the newest one that this version reads.
	NewestFormat = FormatJobLocation
)

// RaiseFormat allows commands of a newer format. It is proposed once all members can
// read it, since one that can't would miss what they change.
type RaiseFormat struct {
	Format int `cbor:"1,keyasint"`
}

// PackedProgress is a Progress that names each step and each worker once. A leader
// records some thousand starts and ends a second, and sends them to each member.
type PackedProgress struct {
	_ struct{} `cbor:",toarray"`
	// Term is Start.Term of all starts.
	Term uint64
	// Workers are the workers of the starts.
	Workers []packedWorker
	Steps   []packedStep
	// Rest holds the survivals and the ends with a checkpoint.
	Rest *Progress
}

type packedWorker struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
}

// packedStep holds the ends and starts of the tasks of one step, each as three numbers.
type packedStep struct {
	_                struct{} `cbor:",toarray"`
	Job              string
	Occurrence, Step int
	// Ends holds the index, the run and the packed kind of each end.
	Ends []int
	// Starts holds the index, the run and the place of the worker of each start.
	Starts []int
}

// numbersPerRun is the number of numbers that a packedStep has for each start or end.
const numbersPerRun = 3

// Flags of a packed kind, above the EndKind.
const (
	packedAlone = 1 << (iota + 4)
	packedSurvived
	packedUncertain
	packedUnreported
	packedKindMask = 1<<4 - 1
)

// packer collects a PackedProgress.
type packer struct {
	packed  PackedProgress
	rest    Progress
	steps   map[workload.StepID]int
	workers map[packedWorker]int
}

// Pack returns the progress in its compact form. All its starts are of one term. Unpack
// returns it in another order.
func Pack(p *Progress) *PackedProgress {
	k := packer{steps: map[workload.StepID]int{}, workers: make(map[packedWorker]int, len(p.Starts))}
	k.packed.Workers = make([]packedWorker, 0, len(p.Starts))
	k.rest.Survivals = p.Survivals
	for i := range p.Ends {
		k.addEnd(&p.Ends[i])
	}
	for i := range p.Starts {
		k.addStart(&p.Starts[i])
	}
	if len(k.rest.Ends) > 0 || len(k.rest.Survivals) > 0 {
		k.packed.Rest = &k.rest
	}
	return &k.packed
}

func (k *packer) addEnd(e *End) {
	if e.Checkpoint != "" {
		k.rest.Ends = append(k.rest.Ends, *e)
		return
	}
	step := k.step(e.Task)
	step.Ends = append(step.Ends, e.Task.Index, e.Run, packKind(e))
}

func (k *packer) addStart(s *Start) {
	k.packed.Term = s.Term
	step := k.step(s.Task)
	step.Starts = append(step.Starts, s.Task.Index, s.Run, k.worker(packedWorker{ID: s.Worker, Incarnation: s.Incarnation}))
}

// step returns the entry of a task's step.
func (k *packer) step(task workload.TaskID) *packedStep {
	id := task.StepID()
	if last := len(k.packed.Steps) - 1; last >= 0 && k.packed.Steps[last].id() == id {
		return &k.packed.Steps[last]
	}
	at, known := k.steps[id]
	if !known {
		at = len(k.packed.Steps)
		k.steps[id] = at
		k.packed.Steps = append(k.packed.Steps, packedStep{Job: task.Job, Occurrence: task.Occurrence, Step: task.Step})
	}
	return &k.packed.Steps[at]
}

// worker returns the place of a worker in the table.
func (k *packer) worker(w packedWorker) int {
	at, known := k.workers[w]
	if !known {
		at = len(k.packed.Workers)
		k.workers[w] = at
		k.packed.Workers = append(k.packed.Workers, w)
	}
	return at
}

// packKind returns the kind and the flags of an end as one number.
func packKind(e *End) int {
	return int(e.Kind) | flagIf(e.Alone, packedAlone) | flagIf(e.Survived, packedSurvived) |
		flagIf(e.Uncertain, packedUncertain) | flagIf(e.Unreported, packedUnreported)
}

func flagIf(set bool, flag int) int {
	if set {
		return flag
	}
	return 0
}

// Unpack returns the progress. What can't be read is left out.
func (p *PackedProgress) Unpack() *Progress {
	progress := &Progress{}
	if p.Rest != nil {
		*progress = *p.Rest
	}
	ends, starts := 0, 0
	for i := range p.Steps {
		ends += len(p.Steps[i].Ends) / numbersPerRun
		starts += len(p.Steps[i].Starts) / numbersPerRun
	}
	progress.Ends = slices.Grow(progress.Ends, ends)
	progress.Starts = slices.Grow(progress.Starts, starts)
	for i := range p.Steps {
		p.Steps[i].unpackEnds(progress)
	}
	for i := range p.Steps {
		p.unpackStarts(&p.Steps[i], progress)
	}
	return progress
}

func (s *packedStep) id() workload.StepID {
	return workload.StepID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step}
}

// task returns the id of a task of the step.
func (s *packedStep) task(index int) workload.TaskID {
	return workload.TaskID{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step, Index: index}
}

func (s *packedStep) unpackEnds(progress *Progress) {
	for n := s.Ends; len(n) >= numbersPerRun; n = n[numbersPerRun:] {
		kind := n[2]
		progress.Ends = append(progress.Ends, End{
			Task: s.task(n[0]), Run: n[1], Kind: EndKind(kind & packedKindMask), Alone: kind&packedAlone != 0,
			Survived: kind&packedSurvived != 0, Uncertain: kind&packedUncertain != 0, Unreported: kind&packedUnreported != 0,
		})
	}
}

func (p *PackedProgress) unpackStarts(s *packedStep, progress *Progress) {
	for n := s.Starts; len(n) >= numbersPerRun; n = n[numbersPerRun:] {
		if n[2] < 0 || n[2] >= len(p.Workers) {
			continue
		}
		w := &p.Workers[n[2]]
		progress.Starts = append(progress.Starts, Start{Task: s.task(n[0]), Run: n[1], Worker: w.ID, Incarnation: w.Incarnation, Term: p.Term})
	}
}
