package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// pendingSubmission records a submission that has no definite answer yet. It
// is stored in a file next to the document. When the same content is sent
// again, its base is read from there, so that it is the same submission and
// not a new one that would overwrite a version accepted in between.
type pendingSubmission struct {
	Digest string `json:"digest"`
	Base   uint64 `json:"base"`
}

// pendingPath returns the path of the file that holds the pending submission
// of a document.
func pendingPath(document string) string {
	return filepath.Join(filepath.Dir(document), "."+filepath.Base(document)+".pending")
}

// readPending returns the pending submission of a document, or a zero value if
// there is none. The second result reports whether its content has the digest.
func readPending(document, digest string) (pendingSubmission, bool, error) {
	var pending pendingSubmission
	data, err := os.ReadFile(pendingPath(document))
	if errors.Is(err, fs.ErrNotExist) {
		return pending, false, nil
	}
	if err != nil {
		return pending, false, fmt.Errorf("read the pending submission: %w", err)
	}
	if err := json.Unmarshal(data, &pending); err != nil {
		return pending, false, fmt.Errorf("read %s: %w", pendingPath(document), err)
	}
	return pending, pending.Digest == digest, nil
}

// writePending stores a submission. It is called before the submission is
// sent.
func writePending(document string, pending pendingSubmission) error {
	data, err := json.Marshal(pending)
	if err != nil {
		return fmt.Errorf("encode the pending submission: %w", err)
	}
	if err := os.WriteFile(pendingPath(document), append(data, '\n'), 0o600); err != nil {
		return fmt.Errorf("store the pending submission: %w", err)
	}
	return nil
}

// clearPending removes the pending submission of a document. It is called
// once the submission has a definite answer.
func clearPending(document string) error {
	if err := os.Remove(pendingPath(document)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove the pending submission: %w", err)
	}
	return nil
}
