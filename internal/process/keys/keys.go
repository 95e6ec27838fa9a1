// Package keys creates and verifies the keys of a deployment: a certificate
// authority, a certificate for each process, and signed tokens for operators
// and targets. Secrets never appear in logs or documents.
package keys

import (
	"crypto/ed25519"
	"crypto/rand"
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
	// clockSkew is how far the clock of another VM may be behind: certificates
	// are valid from that long before they are issued.
	clockSkew = time.Hour
	// ServerName is a DNS name in all node certificates of a deployment.
	ServerName = "arbutusward.internal"
)

// ErrNotPEM is returned when a key file holds no PEM block.
var ErrNotPEM = errors.New("no PEM block found")

// Init creates a certificate authority in a folder that holds none.
func Init(dir string) error {
	if _, err := os.Stat(filepath.Join(dir, caKey)); err == nil {
		return fmt.Errorf("%s already holds a certificate authority", dir)
	}
	der, private, err := newAuthority()
	if err != nil {
		return err
	}
	return writePair(dir, caFile, caKey, der, private)
}

// newAuthority returns the certificate and the key of a new self-signed
// authority.
func newAuthority() ([]byte, ed25519.PrivateKey, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate CA key: %w", err)
	}
	template := newTemplate("arbutusward CA", caLifetime)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, nil, fmt.Errorf("sign CA certificate: %w", err)
	}
	return der, private, nil
}

// Issue writes a node certificate for a process, signed by the authority in
// caDir, to the keys folder of the process. If the folder holds a certificate
// already, Issue replaces it and a running process reloads it without a
// restart.
func Issue(caDir, nodeDir, id string) error {
	authority, err := loadAuthority(caDir)
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
	der, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, public, authority.signer)
	if err != nil {
		return fmt.Errorf("sign node certificate: %w", err)
	}
	if err := CopyTrustBundle(caDir, nodeDir); err != nil {
		return err
	}
	return writePair(nodeDir, nodeFile, nodeKey, der, private)
}

// newTemplate returns a certificate template that is valid from now on for a
// lifetime.
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

// readCertificates reads a PEM file with one or more certificates.
func readCertificates(path string) ([]*x509.Certificate, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read certificates: %w", err)
	}
	var found []*x509.Certificate
	for block, rest := pem.Decode(data); block != nil; block, rest = pem.Decode(rest) {
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("parse %s: %w", path, err)
		}
		found = append(found, certificate)
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("%s: %w", path, ErrNotPEM)
	}
	return found, nil
}

// readPEM returns the content of the first PEM block in a file.
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

// writePair writes a certificate and its private key to a folder.
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

// writePEM writes a file with one PEM block for each DER value.
func writePEM(path, kind string, ders ...[]byte) error {
	var text []byte
	for _, der := range ders {
		text = append(text, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})...)
	}
	return replaceFile(path, text)
}

// replaceFile replaces a file atomically: a concurrent reader gets either the
// old content or the new.
func replaceFile(path string, content []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, content, 0o600); err != nil {
		return fmt.Errorf("write key file: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("rename key file: %w", err)
	}
	return nil
}
