package workstate

import "testing"

// TestCancelNamesItsJobByLocation guards against a command that cancels the job of another queue with the same id, and against members of two versions that apply one command differently.
func TestCancelNamesItsJobByLocation(t *testing.T) {
	for _, c := range []struct {
		format  int
		path    string
		code    Code
		outcome Outcome
	}{
		{FormatPacked, "/other/" + testJob, OK, Cancelled},
		{FormatJobLocation, "/other/" + testJob, UnknownJob, Open},
		{FormatJobLocation, "/q/" + testJob, OK, Cancelled},
		{FormatJobLocation, "", UnknownJob, Open},
	} {
		m := newTestMachine(t)
		apply(t, m, Command{RaiseFormat: &RaiseFormat{Format: c.format}})
		result := apply(t, m, Command{Cancel: &Cancel{ID: testJob, Host: "h", Path: c.path}})
		if outcome := m.data.Jobs[testJob].Outcome; result.Code != c.code || outcome != c.outcome {
			t.Errorf("%+v: code %d, outcome %d", c, result.Code, outcome)
		}
	}
}
