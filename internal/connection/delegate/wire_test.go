package delegate

import (
	"errors"
	"testing"

	"arbutusward.example/arbutusward/internal/connection/execution"
)

func TestErrorsOfADelegatedCallReachTheLeader(t *testing.T) {
	for _, sent := range []error{execution.ErrNoAnswer, execution.ErrMalformedAnswer, execution.ErrConnectionRefused} {
		a := failedAnswer(1, sent)
		if err := a.err(); !errors.Is(err, sent) {
			t.Errorf("%v arrives as %v", sent, err)
		}
	}
}
