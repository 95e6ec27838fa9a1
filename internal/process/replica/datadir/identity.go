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

// ErrIdentityMismatch says that the folder belongs to another process.
var ErrIdentityMismatch = errors.New("the data folder belongs to another id")

// Identity ties a data folder to a process for good.
type Identity struct {
	ID string `json:"id"`
	// Disk is random; an emptied folder gets another.
	Disk string `json:"disk"`
	// InitialDisks holds the disk of each first member that has asked for the
	// founding of the deployment, the own included; nil in a member that
	// has joined later.
	InitialDisks map[string]string `json:"founding,omitempty"`
}

// LoadOrCreateIdentity reads the folder's identity; in an empty folder it makes one.
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

// ReadIdentity reads the folder's identity; an empty or missing folder has
// none, which is nil.
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
