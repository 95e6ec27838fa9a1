package scheduler

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
)

// formatInterval is the time between two tries to raise the format of commands.
const formatInterval = time.Second

// raiseFormat allows the newest format of commands once all members can read it.
func (l *loop) raiseFormat() {
	for l.ctx.Err() == nil {
		if l.formatRaised() {
			return
		}
		select {
		case <-time.After(formatInterval):
		case <-l.ctx.Done():
		}
	}
}

// formatRaised tries to raise the format and reports whether it is the newest one.
func (l *loop) formatRaised() bool {
	current := 0
	l.Machine.Read(func(v *workstate.View) { current = v.Format() })
	if current >= workstate.NewestFormat {
		return true
	}
	common, err := l.MembersFormat(l.ctx)
	if err != nil || common <= current {
		return false
	}
	command := &workstate.Command{RaiseFormat: &workstate.RaiseFormat{Format: min(common, workstate.NewestFormat)}}
	if _, err := propose(l.ctx, l.Replica, command, l.Now()); err != nil {
		l.Log.Info("format of commands not raised", "from", current, "to", common, "error", err.Error())
		return false
	}
	l.Log.Info("format of commands raised", "from", current, "to", common)
	return true
}
