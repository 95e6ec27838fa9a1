package datadir

import (
	"errors"
	"testing"
)

func TestDirectoryIsLockedAndBoundToItsID(t *testing.T) {
	dir := t.TempDir()
	lock, err := Acquire(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Acquire(dir); !errors.Is(err, ErrInUse) {
		t.Errorf("second lock: %v", err)
	}
	if err := lock.Release(); err != nil {
		t.Fatal(err)
	}
	first, err := LoadOrCreateIdentity(dir, "control-1")
	if err != nil {
		t.Fatal(err)
	}
	again, err := LoadOrCreateIdentity(dir, "control-1")
	if err != nil || again.Disk != first.Disk {
		t.Errorf("identity %+v and %+v: %v", first, again, err)
	}
	if _, err := LoadOrCreateIdentity(dir, "control-2"); !errors.Is(err, ErrIdentityMismatch) {
		t.Errorf("another id: %v", err)
	}
}
