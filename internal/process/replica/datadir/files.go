package datadir

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"arbutusward.example/arbutusward/internal/process/logging"
)

// lockName is the name of the lock file.
const lockName = "lock"

// ErrInUse is returned when another process has locked the directory.
var ErrInUse = errors.New("the data directory is in use by another process")

// Lock is a process's exclusive lock of a data directory. The kernel releases
// it when the process ends, even after a crash.
type Lock struct{ file *os.File }

// Acquire creates the directory if needed and locks it.
func Acquire(dir string) (*Lock, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, logging.Wrap(err, "make data directory", dir)
	}
	file, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, logging.Wrap(err, "open lock", dir)
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = ErrInUse
	}
	if err != nil {
		return nil, logging.Wrap(errors.Join(err, file.Close()), "lock data directory", dir)
	}
	return &Lock{file: file}, nil
}

// Release unlocks the directory.
func (l *Lock) Release() error { return l.file.Close() }

// Replace writes a file atomically: after a crash the file has either the old
// or the new content.
func Replace(path string, data []byte) error {
	temporary := path + ".tmp"
	if err := writeSynced(temporary, data); err != nil {
		return logging.Wrap(err, "write file", temporary)
	}
	// The content is synced before the rename. Otherwise a crash between the
	// two could leave an empty file under the name.
	if err := os.Rename(temporary, path); err != nil {
		return logging.Wrap(err, "rename file", path)
	}
	// The rename is durable only after the directory is synced.
	return Sync(filepath.Dir(path))
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Sync(); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}

// Sync makes the names in a directory durable.
func Sync(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return logging.Wrap(err, "open directory", dir)
	}
	return logging.Wrap(errors.Join(directory.Sync(), directory.Close()), "sync directory", dir)
}
