package keys

import (
	"bytes"
	"crypto/ed25519"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Names of the files of the new authority during a rotation.
const (
	nextFile = "ca.next.pem"
	nextKey  = "ca.next.key"
)

// Errors of a rotation of the authority.
var (
	// ErrRotationInProgress is returned by BeginRotation during a rotation.
	ErrRotationInProgress = errors.New("a rotation of the authority is already in progress")
	// ErrNoRotation is returned if no rotation is in progress.
	ErrNoRotation = errors.New("no rotation of the authority is in progress")
	// ErrNotSwitched is returned by FinishRotation before SwitchRotation.
	ErrNotSwitched = errors.New("the new authority does not sign yet, switch to it first")
)

// authority is a certificate authority that can sign.
type authority struct {
	certificate *x509.Certificate
	signer      ed25519.PrivateKey
	// bundle holds the certificates of all trusted authorities.
	bundle []*x509.Certificate
}

// loadAuthority reads the key of an authority from its folder and finds the
// certificate of the key in the bundle.
func loadAuthority(dir string) (*authority, error) {
	bundle, err := readCertificates(filepath.Join(dir, caFile))
	if err != nil {
		return nil, err
	}
	signer, err := readKey(filepath.Join(dir, caKey))
	if err != nil {
		return nil, err
	}
	for _, certificate := range bundle {
		if public, ok := certificate.PublicKey.(ed25519.PublicKey); ok && public.Equal(signer.Public()) {
			return &authority{certificate: certificate, signer: signer, bundle: bundle}, nil
		}
	}
	return nil, fmt.Errorf("%s: no certificate matches the key in %s", filepath.Join(dir, caFile), caKey)
}

// readKey reads the private key of an authority.
func readKey(path string) (ed25519.PrivateKey, error) {
	der, err := readPEM(path)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, fmt.Errorf("parse CA key: %w", err)
	}
	private, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("CA key is a %T, expected an Ed25519 key", parsed)
	}
	return private, nil
}

// CopyTrustBundle copies the certificates of the trusted authorities from caDir
// to the keys folder of a process or an operator.
func CopyTrustBundle(caDir, dir string) error {
	bundle, err := os.ReadFile(filepath.Join(caDir, caFile))
	if err != nil {
		return fmt.Errorf("read certificates: %w", err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("make keys folder: %w", err)
	}
	return replaceFile(filepath.Join(dir, caFile), bundle)
}

// BeginRotation creates a new authority beside the current one and adds it to
// the bundle. The current authority still signs: the bundle must be copied to
// every process before SwitchRotation.
func BeginRotation(dir string) error {
	current, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(dir, nextKey)); err == nil || len(current.bundle) > 1 {
		return ErrRotationInProgress
	}
	der, private, err := newAuthority()
	if err != nil {
		return err
	}
	if err := writePair(dir, nextFile, nextKey, der, private); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, caFile), "CERTIFICATE", current.certificate.Raw, der)
}

// SwitchRotation makes the new authority the one that signs. Certificates and
// tokens that the old one signed stay valid until FinishRotation.
func SwitchRotation(dir string) error {
	if _, err := os.Stat(filepath.Join(dir, nextKey)); err != nil {
		return ErrNoRotation
	}
	if err := os.Rename(filepath.Join(dir, nextKey), filepath.Join(dir, caKey)); err != nil {
		return fmt.Errorf("rename the new CA key: %w", err)
	}
	return nil
}

// FinishRotation removes the old authority from the bundle. A process with the
// new bundle rejects the certificates and tokens that the old one signed.
func FinishRotation(dir string) error {
	current, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	next, err := readCertificates(filepath.Join(dir, nextFile))
	if err != nil {
		return errors.Join(ErrNoRotation, err)
	}
	if !bytes.Equal(next[0].Raw, current.certificate.Raw) {
		return ErrNotSwitched
	}
	if err := writePEM(filepath.Join(dir, caFile), "CERTIFICATE", current.certificate.Raw); err != nil {
		return err
	}
	if err := os.Remove(filepath.Join(dir, nextFile)); err != nil {
		return fmt.Errorf("finish rotation: %w", err)
	}
	return nil
}
