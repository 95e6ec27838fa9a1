// Package progresslog writes the starts and ends of runs that a commit has recorded to
// the log: one line for each step and kind of progress.
package progresslog

import (
	"log/slog"
	"strconv"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// MaxRunsPerLine bounds the runs that one log line names, so that the line stays
// short enough to be written at once.
const MaxRunsPerLine = 64

// progressLines collects the runs of one commit for the log: a line for each
// step and kind of progress, or several for a step of many tasks.
type progressLines struct {
	log   *slog.Logger
	lines map[progressKey]*progressLine
}

// progressKey identifies a line.
type progressKey struct {
	job              string
	occurrence, step int
	message          string
}

// progressLine holds the runs of one line as INDEX#RUN or INDEX#RUN@WORKER.
type progressLine struct {
	text  []byte
	count int
}

// Write logs the starts and ends of runs. A start that the state did not take is told
// apart by started.
func Write(log *slog.Logger, p *workstate.Progress, started []bool) {
	lines := progressLines{log: log, lines: map[progressKey]*progressLine{}}
	for i := range p.Ends {
		e := &p.Ends[i]
		lines.add(endMessage(e.Kind), e.Task, e.Run, "")
	}
	for i := range p.Starts {
		s := &p.Starts[i]
		message := "tasks started"
		if !started[i] {
			message = "tasks not started, start no longer valid"
		}
		lines.add(message, s.Task, s.Run, s.Worker)
	}
	for key, line := range lines.lines {
		lines.write(key, line)
	}
}

// endMessage returns the message of the lines about one kind of ends.
func endMessage(kind workstate.EndKind) string {
	switch kind {
	case workstate.EndDone:
		return "tasks done"
	case workstate.EndFailed:
		return "tasks failed"
	case workstate.EndCrashed:
		return "tasks lost with their worker at their start"
	}
	return "tasks interrupted"
}

// add adds a run to the line of its step, and writes the line if it is full.
func (p *progressLines) add(message string, task workload.TaskID, run int, worker string) {
	key := progressKey{task.Job, task.Occurrence, task.Step, message}
	line := p.lines[key]
	if line == nil {
		line = &progressLine{}
		p.lines[key] = line
	}
	line.add(task.Index, run, worker)
	if line.count == MaxRunsPerLine {
		p.write(key, line)
		delete(p.lines, key)
	}
}

func (l *progressLine) add(index, run int, worker string) {
	if l.count > 0 {
		l.text = append(l.text, ' ')
	}
	l.count++
	l.text = strconv.AppendInt(l.text, int64(index), 10)
	l.text = append(l.text, '#')
	l.text = strconv.AppendInt(l.text, int64(run), 10)
	if worker != "" {
		l.text = append(l.text, '@')
		l.text = append(l.text, worker...)
	}
}

func (p *progressLines) write(key progressKey, line *progressLine) {
	p.log.Info(key.message, "job", key.job, "occurrence", key.occurrence, "step", key.step, "runs", string(line.text))
}
