package control

import (
	"testing"

	"arbutusward.example/arbutusward/internal/connection/message"
)

// TestLateReportDoesNotRevertTheAcknowledgedRevision delivers a report that
// was created before the entry's newest watch acknowledged a later revision.
func TestLateReportDoesNotRevertTheAcknowledgedRevision(t *testing.T) {
	o := newObservations()
	o.recordRevision("entry-a1", "za", 8, 2)
	o.record(message.Report{EntryID: "entry-a1", Zone: "za", Revision: 7, Version: 1})
	if last, _ := o.get("entry-a1"); last.revision != 8 || last.version != 2 {
		t.Errorf("revision %d, version %d in force, expected 8 and 2", last.revision, last.version)
	}
}
