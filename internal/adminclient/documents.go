package adminclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

// Accepted is the newest accepted document.
type Accepted struct {
	// Version is 0 and Document is nil if no document has been accepted yet.
	Version  uint64
	Text     []byte
	Document *fleet.Document
}

// CurrentDocument returns the newest accepted document.
func (c *Client) CurrentDocument(ctx context.Context) (Accepted, error) {
	var raw Raw
	err := c.Do(ctx, http.MethodGet, "/v1/documents/current", nil, &raw)
	var statusErr *StatusError
	if errors.As(err, &statusErr) && statusErr.Status == http.StatusNotFound {
		return Accepted{}, nil
	}
	if err != nil {
		return Accepted{}, err
	}
	version, err := strconv.ParseUint(raw.Header.Get(control.VersionHeader), 10, 64)
	if err != nil {
		return Accepted{}, fmt.Errorf("read the version of the document: %w", err)
	}
	document, err := fleet.Parse("accepted document", raw.Body)
	if err != nil {
		return Accepted{}, fmt.Errorf("parse the accepted document: %w", err)
	}
	return Accepted{Version: version, Text: raw.Body, Document: document}, nil
}

// Conflict reports whether the call was refused because another document had been
// accepted on the same base version. It returns that submission, which is empty if
// control did not send it.
func (e *StatusError) Conflict() (state.Submission, bool) {
	var refusal control.SubmitRefusal
	if e.Status != http.StatusConflict || json.Unmarshal(e.Body, &refusal) != nil || refusal.Code != string(state.Conflict) {
		return state.Submission{}, false
	}
	if refusal.Winner == nil {
		return state.Submission{}, true
	}
	return *refusal.Winner, true
}
