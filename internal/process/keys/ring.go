package keys

import (
	"context"
	"crypto/ed25519"
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

// reloadInterval is the time between looks at the key files of a process.
const reloadInterval = 2 * time.Second

// errOtherNode says that a keys folder now belongs to another process.
var errOtherNode = errors.New("the node certificate names another process")

// Ring is what one process needs to prove itself and to check others. It
// is safe for concurrent use; new connections use the newest keys.
type Ring struct {
	// ID is the name in the node certificate.
	ID string

	// unauthenticated rings believe the other end its name.
	unauthenticated bool

	dir     string
	current atomic.Pointer[material]
}

// material is the content of a keys folder at one moment.
type material struct {
	authorities []*x509.Certificate
	pool        *x509.CertPool
	// node is empty for operators and targets.
	node tls.Certificate
	// verified holds the claims of good tokens; it ends with the material.
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

// LoadCA reads only the authority's certificates, for operators and targets.
func LoadCA(dir string) (*Ring, error) {
	loaded, err := loadMaterial(dir, false)
	if err != nil {
		return nil, err
	}
	ring := &Ring{dir: dir}
	ring.current.Store(loaded)
	return ring, nil
}

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

// equal says whether two contents are the same.
func (m *material) equal(other *material) bool {
	sameCA := slices.EqualFunc(m.authorities, other.authorities, func(a, b *x509.Certificate) bool { return a.Equal(b) })
	sameNode := slices.EqualFunc(m.node.Certificate, other.node.Certificate, slices.Equal[[]byte])
	return sameCA && sameNode
}

// signed says whether one of the authorities signed the body.
func (m *material) signed(body, signature []byte) bool {
	for _, certificate := range m.authorities {
		if public, ok := certificate.PublicKey.(ed25519.PublicKey); ok && ed25519.Verify(public, body, signature) {
			return true
		}
	}
	return false
}

// Reload reads the folder again and says whether anything changed. After
// an error the former keys stay in use.
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

// Follow reloads the folder from time to time until the context ends, and
// tells of each change and of each new error.
func (r *Ring) Follow(ctx context.Context, tell func(err error)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	told := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := r.Reload()
		switch {
		case err == nil:
			told = ""
		case err.Error() == told:
			continue
		default:
			told = err.Error()
		}
		if changed || err != nil {
			tell(err)
		}
	}
}

// NotAfter is the end of the node certificate's life.
func (r *Ring) NotAfter() time.Time {
	node := r.current.Load().node
	if node.Leaf == nil {
		return time.Time{}
	}
	return node.Leaf.NotAfter
}

// MutualTLS returns a configuration in which both ends prove themselves
// with node certificates of the deployment. The protocol names the
// application protocol of the connection. As a server, it takes the newest
// keys for each connection; as a client, make one for each connection.
func (r *Ring) MutualTLS(protocol string) *tls.Config {
	config := r.mutualTLS(protocol)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return r.mutualTLS(protocol), nil }
	return config
}

func (r *Ring) mutualTLS(protocol string) *tls.Config {
	current := r.current.Load()
	config := &tls.Config{
		Certificates: []tls.Certificate{current.node},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    current.pool,
		RootCAs:      current.pool,
		ServerName:   ServerName,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
	if r.unauthenticated {
		config.ClientAuth = tls.RequireAnyClientCert
		config.InsecureSkipVerify = true
	}
	return config
}

// ServerTLS returns a configuration for a port where callers prove
// themselves by token. Each connection gets the newest certificate.
func (r *Ring) ServerTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &r.current.Load().node, nil
	}}
}

// ClientTLS returns a configuration that trusts only the deployment's
// authority, as it is now.
func (r *Ring) ClientTLS() *tls.Config {
	return &tls.Config{RootCAs: r.current.Load().pool, ServerName: ServerName, MinVersion: tls.VersionTLS13}
}
