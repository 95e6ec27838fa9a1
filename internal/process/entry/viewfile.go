package entry

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"arbutusward.example/arbutusward/internal/codec"
	"arbutusward.example/arbutusward/internal/version/view"
)

const (
	viewFileName = "view.cbor"
	checksumSize = 4
)

// errChecksum is returned when a file does not match its checksum.
var errChecksum = errors.New("the file does not match its checksum")

// viewFile stores the newest view of an entry in a directory. It stores nothing
// if dir is "", on a VM without a disk.
type viewFile struct{ dir string }

// save makes the view durable before it returns.
func (f viewFile) save(v *view.View) error {
	if f.dir == "" {
		return nil
	}
	body, err := codec.MarshalStored(fullDelta(v))
	if err != nil {
		return fmt.Errorf("encode view: %w", err)
	}
	content := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(body))
	path := filepath.Join(f.dir, viewFileName)
	if err := writeSynced(path+".new", append(content, body...)); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("replace view file: %w", err)
	}
	return syncDir(f.dir)
}

// load returns the saved view, or an empty one if there is none or it can't be
// read.
func (f viewFile) load() (*view.View, error) {
	if f.dir == "" {
		return view.Empty(), nil
	}
	if err := os.MkdirAll(f.dir, 0o700); err != nil {
		return view.Empty(), fmt.Errorf("make data directory: %w", err)
	}
	content, err := os.ReadFile(filepath.Join(f.dir, viewFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return view.Empty(), nil
	}
	if err != nil {
		return view.Empty(), fmt.Errorf("read view file: %w", err)
	}
	if len(content) < checksumSize || binary.BigEndian.Uint32(content) != crc32.ChecksumIEEE(content[checksumSize:]) {
		return view.Empty(), errChecksum
	}
	var delta view.Delta
	if err := codec.UnmarshalStored(content[checksumSize:], &delta); err != nil {
		return view.Empty(), fmt.Errorf("decode view file: %w", err)
	}
	loaded, _ := view.Empty().Apply(delta)
	return loaded, nil
}

// fullDelta returns the delta that turns an empty view into the given one.
func fullDelta(v *view.View) view.Delta {
	delta := view.Delta{To: v.Revision, Full: true, Version: v.Version, SparePool: v.SparePool}
	for _, service := range v.Services {
		delta.Services = append(delta.Services, service)
	}
	for _, vm := range v.VMs {
		delta.VMs = append(delta.VMs, vm)
	}
	for _, entry := range v.Entries {
		delta.Entries = append(delta.Entries, entry)
	}
	return delta
}

// writeSynced writes a file and syncs it to disk.
func writeSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open view file: %w", err)
	}
	_, writeErr := file.Write(content)
	syncErr := file.Sync()
	closeErr := file.Close()
	if err := errors.Join(writeErr, syncErr, closeErr); err != nil {
		return fmt.Errorf("write view file: %w", err)
	}
	return nil
}

// syncDir syncs a directory to disk, which makes the rename of a file in it
// durable.
func syncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("open data directory: %w", err)
	}
	return errors.Join(folder.Sync(), folder.Close())
}
