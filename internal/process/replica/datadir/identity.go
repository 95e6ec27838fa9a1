package datadir

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"arbutusward.example/arbutusward/internal/process/logging"
)

// identityName is the name of the identity file.
const identityName = "identity.json"

// ErrIdentityMismatch is returned when the directory belongs to a process
// with another ID.
var ErrIdentityMismatch = errors.New("the data directory belongs to another id")

// Identity binds a data directory to a process permanently.
type Identity struct {
	ID string `json:"id"`
	// Disk is a random identifier; a directory that has been emptied gets a
	// new one.
	Disk string `json:"disk"`
	// InitialDisks holds the disk of each initial member that has asked to
	// bootstrap the deployment, including this process. It is nil in a member
	// that joined later.
	InitialDisks map[string]string `json:"founding,omitempty"`
}

// LoadOrCreateIdentity reads the identity of the directory. It creates one in
// an empty directory.
func LoadOrCreateIdentity(dir, id string) (*Identity, error) {
	identity, err := ReadIdentity(dir)
	if err != nil {
		return nil, err
	}
	if identity == nil {
		identity = &Identity{ID: id, Disk: rand.Text()}
		return identity, identity.Save(dir)
	}
	if identity.ID != id {
		return nil, logging.Wrap(fmt.Errorf("%w: it is %q, the settings say %q", ErrIdentityMismatch, identity.ID, id), "check identity", dir)
	}
	return identity, nil
}

// ReadIdentity reads the identity of the directory. It returns nil if the
// directory is empty or missing.
func ReadIdentity(dir string) (*Identity, error) {
	data, err := os.ReadFile(filepath.Join(dir, identityName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, logging.Wrap(err, "read identity", dir)
	}
	var identity Identity
	if err := json.Unmarshal(data, &identity); err != nil {
		return nil, logging.Wrap(fmt.Errorf("decode identity: %w", err), "read identity", dir)
	}
	return &identity, nil
}

// Save writes the identity durably.
func (i *Identity) Save(dir string) error {
	data, err := json.Marshal(i)
	if err != nil {
		return fmt.Errorf("encode identity: %w", err)
	}
	return Replace(filepath.Join(dir, identityName), data)
}
