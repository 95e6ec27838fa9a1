package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"time"
)

// ephemeralLifetime is the lifetime of an ephemeral certificate: longer than
// any process runs.
const ephemeralLifetime = 10 * 365 * 24 * time.Hour

// NewEphemeral returns a ring for a deployment without a certificate authority.
// Its self-signed certificate carries the id of the process, and its key is
// generated at each start. Links are encrypted, but the id of the peer is not
// authenticated.
func NewEphemeral(id string) (*Ring, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate ephemeral key: %w", err)
	}
	template := newTemplate(id, ephemeralLifetime)
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, fmt.Errorf("sign ephemeral certificate: %w", err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse ephemeral certificate: %w", err)
	}
	ring := &Ring{ID: id, unauthenticated: true}
	ring.current.Store(&material{pool: x509.NewCertPool(), node: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private, Leaf: leaf}})
	return ring, nil
}
