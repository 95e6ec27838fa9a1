package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"time"
)

// ephemeralLifetime is longer than a process runs.
const ephemeralLifetime = 10 * 365 * 24 * time.Hour

// NewEphemeral returns a ring for a deployment without an authority: a key
// made at this start names the process, and links to it are encrypted. The
// other end is believed its name.
func NewEphemeral(id string) (*Ring, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make key: %w", err)
	}
	template := newTemplate(id, ephemeralLifetime)
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, fmt.Errorf("make certificate: %w", err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate: %w", err)
	}
	ring := &Ring{ID: id, unauthenticated: true}
	ring.current.Store(&material{pool: x509.NewCertPool(), node: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private, Leaf: leaf}})
	return ring, nil
}
