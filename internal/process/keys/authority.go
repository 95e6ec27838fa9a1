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

// Names of the files of an authority that is to take over.
const (
	nextFile = "ca.next.pem"
	nextKey  = "ca.next.key"
)

// Errors of a change of the authority.
var (
	ErrRotationOpen = errors.New("a change of the authority is in progress already")
	ErrNoRotation   = errors.New("no change of the authority was begun")
	ErrNotSwitched  = errors.New("the new authority does not sign yet, switch to it first")
)

// authority is what signs: a certificate of the bundle and its key.
type authority struct {
	certificate *x509.Certificate
	signer      ed25519.PrivateKey
	// bundle holds all trusted certificates.
	bundle []*x509.Certificate
}

// loadAuthority reads the key in a folder and finds its certificate.
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
	return nil, fmt.Errorf("%s: no certificate belongs to the key in %s", filepath.Join(dir, caFile), caKey)
}

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

// CopyTrustBundle writes the trusted certificates of the authority into the folder
// of a process or an operator.
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

// BeginRotation makes a new authority beside the present one. Both are
// trusted from now on, and the present one still signs: the bundle has to
// reach every process before SwitchRotation.
func BeginRotation(dir string) error {
	present, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(dir, nextKey)); err == nil || len(present.bundle) > 1 {
		return ErrRotationOpen
	}
	der, private, err := newAuthority()
	if err != nil {
		return err
	}
	if err := writePair(dir, nextFile, nextKey, der, private); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, caFile), "CERTIFICATE", present.certificate.Raw, der)
}

// SwitchRotation lets the new authority sign. Certificates and tokens of
// the old one stay valid until FinishRotation.
func SwitchRotation(dir string) error {
	if _, err := os.Stat(filepath.Join(dir, nextKey)); err != nil {
		return ErrNoRotation
	}
	if err := os.Rename(filepath.Join(dir, nextKey), filepath.Join(dir, caKey)); err != nil {
		return fmt.Errorf("put the new CA key in place: %w", err)
	}
	return nil
}

// FinishRotation ends the trust in the old authority. What it signed is
// refused by every process that the new bundle reaches.
func FinishRotation(dir string) error {
	present, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	next, err := readCertificates(filepath.Join(dir, nextFile))
	if err != nil {
		return errors.Join(ErrNoRotation, err)
	}
	if !bytes.Equal(next[0].Raw, present.certificate.Raw) {
		return ErrNotSwitched
	}
	if err := writePEM(filepath.Join(dir, caFile), "CERTIFICATE", present.certificate.Raw); err != nil {
		return err
	}
	if err := os.Remove(filepath.Join(dir, nextFile)); err != nil {
		return fmt.Errorf("end the change of the authority: %w", err)
	}
	return nil
}
