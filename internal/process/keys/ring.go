package keys

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// reloadInterval is the time between two reads of the keys folder of a process.
const reloadInterval = 2 * time.Second

// errOtherNode is returned when the certificate in a reloaded keys folder names
// another process.
var errOtherNode = errors.New("the node certificate names another process")

// Ring is the key ring of a process. It holds the keys to authenticate the
// process to others and others to it. It is safe for concurrent use. New
// connections use the newest keys.
type Ring struct {
	// ID is the name in the node certificate, or "" if there is none.
	ID string

	// unauthenticated is set if certificates of peers are not verified.
	unauthenticated bool

	dir     string
	current atomic.Pointer[material]
}

// material is the content of a keys folder at one time.
type material struct {
	authorities []*x509.Certificate
	pool        *x509.CertPool
	// node is the node certificate. It is empty for operators and targets.
	node tls.Certificate
	// verified caches the claims of tokens with a valid signature, by token.
	// It belongs to these authorities, so a reload starts an empty cache.
	verified      sync.Map
	verifiedCount atomic.Int64
}

// Load reads the keys folder of a process.
func Load(dir string) (*Ring, error) {
	loaded, err := loadMaterial(dir, true)
	if err != nil {
		return nil, err
	}
	ring := &Ring{ID: loaded.node.Leaf.Subject.CommonName, dir: dir}
	ring.current.Store(loaded)
	return ring, nil
}

// LoadCA reads only the certificates of the authorities from the keys folder,
// for operators and targets.
func LoadCA(dir string) (*Ring, error) {
	loaded, err := loadMaterial(dir, false)
	if err != nil {
		return nil, err
	}
	ring := &Ring{dir: dir}
	ring.current.Store(loaded)
	return ring, nil
}

// loadMaterial reads a keys folder, with or without a node certificate.
func loadMaterial(dir string, withNode bool) (*material, error) {
	authorities, err := readCertificates(filepath.Join(dir, caFile))
	if err != nil {
		return nil, err
	}
	loaded := &material{authorities: authorities, pool: x509.NewCertPool()}
	for _, certificate := range authorities {
		loaded.pool.AddCert(certificate)
	}
	if !withNode {
		return loaded, nil
	}
	loaded.node, err = tls.LoadX509KeyPair(filepath.Join(dir, nodeFile), filepath.Join(dir, nodeKey))
	if err != nil {
		return nil, fmt.Errorf("load node keys: %w", err)
	}
	return loaded, nil
}

// equal reports whether two folders hold the same certificates.
func (m *material) equal(other *material) bool {
	sameCA := slices.EqualFunc(m.authorities, other.authorities, func(a, b *x509.Certificate) bool { return a.Equal(b) })
	sameNode := slices.EqualFunc(m.node.Certificate, other.node.Certificate, slices.Equal[[]byte])
	return sameCA && sameNode
}

// signed reports whether one of the authorities signed the body.
func (m *material) signed(body, signature []byte) bool {
	for _, certificate := range m.authorities {
		if public, ok := certificate.PublicKey.(ed25519.PublicKey); ok && ed25519.Verify(public, body, signature) {
			return true
		}
	}
	return false
}

// Reload reads the keys folder again and reports whether its content changed.
// After an error the current keys stay in use.
func (r *Ring) Reload() (bool, error) {
	loaded, err := loadMaterial(r.dir, r.ID != "")
	if err != nil {
		return false, err
	}
	if r.ID != "" && loaded.node.Leaf.Subject.CommonName != r.ID {
		return false, errOtherNode
	}
	if r.current.Load().equal(loaded) {
		return false, nil
	}
	r.current.Store(loaded)
	return true, nil
}

// Watch reloads the keys folder at an interval until the context ends. It calls
// onReload with nil after each change, and with each error that differs from
// the previous one.
func (r *Ring) Watch(ctx context.Context, onReload func(err error)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastError := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := r.Reload()
		switch {
		case err == nil:
			lastError = ""
		case err.Error() == lastError:
			continue
		default:
			lastError = err.Error()
		}
		if changed || err != nil {
			onReload(err)
		}
	}
}

// ResetKey returns the key with which a process that was restarted at an
// address tells its peers that the connections to its former life are gone. It
// has to be the same in both lives. It is derived from the node key or, where
// links are not authenticated anyway, from the address.
func (r *Ring) ResetKey(address string) [sha256.Size]byte {
	secret := []byte(address)
	if key, ok := r.current.Load().node.PrivateKey.(ed25519.PrivateKey); ok && !r.unauthenticated {
		secret = key.Seed()
	}
	return sha256.Sum256(append([]byte("arbutusward link reset "), secret...))
}

// NotAfter returns the expiry time of the node certificate, or the zero time if
// there is none.
func (r *Ring) NotAfter() time.Time {
	node := r.current.Load().node
	if node.Leaf == nil {
		return time.Time{}
	}
	return node.Leaf.NotAfter
}

// MutualTLS returns a TLS configuration in which both ends authenticate with
// node certificates of the deployment. The protocols are the ALPN protocols of
// the connection, the preferred one first. A server uses the newest keys for each connection; a client must
// create a new configuration for each connection.
func (r *Ring) MutualTLS(protocols ...string) *tls.Config {
	config := r.mutualTLS(protocols)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return r.mutualTLS(protocols), nil }
	return config
}

// mutualTLS returns a configuration with the current keys.
func (r *Ring) mutualTLS(protocols []string) *tls.Config {
	current := r.current.Load()
	config := &tls.Config{
		Certificates: []tls.Certificate{current.node},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    current.pool,
		RootCAs:      current.pool,
		ServerName:   ServerName,
		NextProtos:   protocols,
		MinVersion:   tls.VersionTLS13,
	}
	if r.unauthenticated {
		config.ClientAuth = tls.RequireAnyClientCert
		config.InsecureSkipVerify = true
	}
	return config
}

// ServerTLS returns a TLS configuration for a server whose callers authenticate
// with tokens. It uses the newest node certificate for each connection.
func (r *Ring) ServerTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &r.current.Load().node, nil
	}}
}

// ClientTLS returns a TLS configuration that trusts only the current
// authorities of the deployment.
func (r *Ring) ClientTLS() *tls.Config {
	return &tls.Config{RootCAs: r.current.Load().pool, ServerName: ServerName, MinVersion: tls.VersionTLS13}
}
