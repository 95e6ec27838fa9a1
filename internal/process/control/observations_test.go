package control

import (
	"testing"

	"arbutusward.example/arbutusward/internal/connection/message"
)

// TestReportThatComesAfterANewerWatchTakesNothingBack delivers a report
// that was made before the entry's watch acknowledged a change.
func TestReportThatComesAfterANewerWatchTakesNothingBack(t *testing.T) {
	o := newObservers()
	o.noteRevision("entry-a1", "za", 8, 2)
	o.note(message.Report{EntryID: "entry-a1", Zone: "za", Revision: 7, Version: 1})
	if seen, _ := o.get("entry-a1"); seen.revision != 8 || seen.version != 2 {
		t.Errorf("revision %d, version %d in force, expected 8 and 2", seen.revision, seen.version)
	}
}
