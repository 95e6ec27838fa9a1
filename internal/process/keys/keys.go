// Package keys makes and checks the deployment's keys: one certificate
// authority, a certificate for each process, and signed tokens for
// operators and targets. Secrets never appear in logs or documents.
package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Names of the files in a keys folder.
const (
	caFile   = "ca.pem"
	caKey    = "ca.key"
	nodeFile = "node.pem"
	nodeKey  = "node.key"
)

const (
	caLifetime   = 10 * 365 * 24 * time.Hour
	nodeLifetime = 365 * 24 * time.Hour
	// clockSkew is how far another VM's clock may be behind.
	clockSkew = time.Hour
	// ServerName is the name that all certificates of a deployment bear.
	ServerName = "arbutusward.internal"
)

// ErrNotPEM says that a key file holds no PEM block.
var ErrNotPEM = errors.New("no PEM block found")

// Init founds a certificate authority in an empty folder.
func Init(dir string) error {
	if _, err := os.Stat(filepath.Join(dir, caKey)); err == nil {
		return fmt.Errorf("%s holds a certificate authority already", dir)
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("generate CA key: %w", err)
	}
	template := newTemplate("arbutusward CA", caLifetime)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return fmt.Errorf("sign CA certificate: %w", err)
	}
	return writePair(dir, caFile, caKey, der, private)
}

// Issue makes a node certificate for a process in its own folder, signed
// by the authority in caDir.
func Issue(caDir, nodeDir, id string) error {
	authority, signer, err := loadAuthority(caDir)
	if err != nil {
		return err
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("generate node key: %w", err)
	}
	template := newTemplate(id, nodeLifetime)
	template.DNSNames = []string{ServerName, "localhost"}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, public, signer)
	if err != nil {
		return fmt.Errorf("sign node certificate: %w", err)
	}
	if err := writePair(nodeDir, nodeFile, nodeKey, der, private); err != nil {
		return err
	}
	return writePEM(filepath.Join(nodeDir, caFile), "CERTIFICATE", authority.Raw)
}

func newTemplate(name string, lifetime time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(fmt.Sprintf("read random serial: %v", err))
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-clockSkew),
		NotAfter:     time.Now().Add(lifetime),
	}
}

// Ring is what one process needs to prove itself and to check others.
type Ring struct {
	// ID is the name in the node certificate.
	ID        string
	authority *x509.Certificate
	pool      *x509.CertPool
	node      tls.Certificate
}

// Load reads the keys folder of a process.
func Load(dir string) (*Ring, error) {
	node, err := tls.LoadX509KeyPair(filepath.Join(dir, nodeFile), filepath.Join(dir, nodeKey))
	if err != nil {
		return nil, fmt.Errorf("load node keys: %w", err)
	}
	ring, err := LoadCA(dir)
	if err != nil {
		return nil, err
	}
	ring.node = node
	ring.ID = node.Leaf.Subject.CommonName
	return ring, nil
}

// LoadCA reads only the authority's certificate, for operators and targets.
func LoadCA(dir string) (*Ring, error) {
	authority, err := readCertificate(filepath.Join(dir, caFile))
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority)
	return &Ring{authority: authority, pool: pool}, nil
}

// MutualTLS returns a configuration in which both ends prove themselves
// with node certificates of the deployment. The protocol names the
// application protocol of the connection.
func (r *Ring) MutualTLS(protocol string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{r.node},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    r.pool,
		RootCAs:      r.pool,
		ServerName:   ServerName,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
}

// ServerTLS returns a configuration for a port where callers prove
// themselves by token.
func (r *Ring) ServerTLS() *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{r.node}, MinVersion: tls.VersionTLS13}
}

// ClientTLS returns a configuration that trusts only the deployment's authority.
func (r *Ring) ClientTLS() *tls.Config {
	return &tls.Config{RootCAs: r.pool, ServerName: ServerName, MinVersion: tls.VersionTLS13}
}

func loadAuthority(dir string) (*x509.Certificate, ed25519.PrivateKey, error) {
	authority, err := readCertificate(filepath.Join(dir, caFile))
	if err != nil {
		return nil, nil, err
	}
	der, err := readPEM(filepath.Join(dir, caKey))
	if err != nil {
		return nil, nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, nil, fmt.Errorf("parse CA key: %w", err)
	}
	private, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, nil, fmt.Errorf("CA key is a %T, expected an Ed25519 key", parsed)
	}
	return authority, private, nil
}

func readCertificate(path string) (*x509.Certificate, error) {
	der, err := readPEM(path)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse %s: %w", path, err)
	}
	return certificate, nil
}

func readPEM(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read key file: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("%s: %w", path, ErrNotPEM)
	}
	return block.Bytes, nil
}

func writePair(dir, certName, keyName string, der []byte, private ed25519.PrivateKey) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("make keys folder: %w", err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	if err := writePEM(filepath.Join(dir, keyName), "PRIVATE KEY", encoded); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, certName), "CERTIFICATE", der)
}

func writePEM(path, kind string, der []byte) error {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, block, 0o600); err != nil {
		return fmt.Errorf("write key file: %w", err)
	}
	return nil
}
