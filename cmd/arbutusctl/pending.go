package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// pendingSubmission remembers, beside the document, a submission that has
// no definite answer yet. A resend of the same content takes its base from
// here, so that it is the same submission and not a new one that would
// overwrite what others had accepted in between.
type pendingSubmission struct {
	Digest string `json:"digest"`
	Base   uint64 `json:"base"`
}

// pendingPath names the file for a document.
func pendingPath(document string) string {
	return filepath.Join(filepath.Dir(document), "."+filepath.Base(document)+".pending")
}

// readPending returns the unanswered submission of a document, if its
// content is still the same.
func readPending(document, digest string) (pendingSubmission, bool, error) {
	var pending pendingSubmission
	data, err := os.ReadFile(pendingPath(document))
	if errors.Is(err, fs.ErrNotExist) {
		return pending, false, nil
	}
	if err != nil {
		return pending, false, fmt.Errorf("read the unanswered submission: %w", err)
	}
	if err := json.Unmarshal(data, &pending); err != nil {
		return pending, false, fmt.Errorf("read %s: %w", pendingPath(document), err)
	}
	return pending, pending.Digest == digest, nil
}

// writePending stores a submission before it is sent.
func writePending(document string, pending pendingSubmission) error {
	data, err := json.Marshal(pending)
	if err != nil {
		return fmt.Errorf("encode the submission: %w", err)
	}
	if err := os.WriteFile(pendingPath(document), append(data, '\n'), 0o600); err != nil {
		return fmt.Errorf("remember the submission: %w", err)
	}
	return nil
}

// clearPending forgets a submission that got its answer.
func clearPending(document string) error {
	if err := os.Remove(pendingPath(document)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("forget the submission: %w", err)
	}
	return nil
}
