package keys

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// newAuthorityDir creates an authority and returns its folder.
func newAuthorityDir(t *testing.T) string {
	t.Helper()
	dir := t.TempDir() + "/ca"
	check(t, Init(dir))
	return dir
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// newRing issues a certificate to a process and returns its ring.
func newRing(t *testing.T, ca, id string) *Ring {
	t.Helper()
	dir := filepath.Join(filepath.Dir(ca), id)
	check(t, Issue(ca, dir, id))
	ring, err := Load(dir)
	check(t, err)
	return ring
}

// handshake makes a TLS handshake between two processes and returns the error
// of either side.
func handshake(t *testing.T, server *tls.Config, client *Ring) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		defer connection.Close()
		served <- tls.Server(connection, server).Handshake()
	}()
	connection, err := tls.Dial("tcp", listener.Addr().String(), client.MutualTLS("test"))
	if err != nil {
		return err
	}
	defer connection.Close()
	return <-served
}

// reload reloads the rings of processes whose folders have changed.
func reload(t *testing.T, rings ...*Ring) {
	t.Helper()
	for _, ring := range rings {
		if changed, err := ring.Reload(); err != nil || !changed {
			t.Fatalf("%s: changed %v, %v", ring.ID, changed, err)
		}
	}
}

// TestBothAuthoritiesAreTrustedUntilFinishRotation updates one process before
// the other at each step of a rotation. Their handshakes must succeed
// throughout, and old tokens must stay valid until the rotation is finished.
func TestBothAuthoritiesAreTrustedUntilFinishRotation(t *testing.T) {
	ca := newAuthorityDir(t)
	a, b := newRing(t, ca, "a"), newRing(t, ca, "b")
	server := a.MutualTLS("test")
	oldToken, err := IssueToken(ca, Claims{Role: Viewer, Expires: time.Now().Add(time.Hour).Unix()})
	check(t, err)
	check(t, BeginRotation(ca))
	if err := BeginRotation(ca); !errors.Is(err, ErrRotationInProgress) {
		t.Errorf("a second rotation: %v", err)
	}
	if err := FinishRotation(ca); !errors.Is(err, ErrNotSwitched) {
		t.Errorf("FinishRotation before SwitchRotation: %v", err)
	}
	check(t, CopyTrustBundle(ca, a.dir))
	reload(t, a)
	check(t, handshake(t, server, b))
	check(t, CopyTrustBundle(ca, b.dir))
	reload(t, b)
	check(t, SwitchRotation(ca))
	check(t, Issue(ca, a.dir, "a"))
	reload(t, a)
	check(t, handshake(t, server, b))
	check(t, Issue(ca, b.dir, "b"))
	reload(t, b)
	check(t, handshake(t, server, b))
	if _, err := a.CheckToken(oldToken, time.Now()); err != nil {
		t.Errorf("the old token before FinishRotation: %v", err)
	}
	check(t, FinishRotation(ca))
	check(t, CopyTrustBundle(ca, a.dir))
	reload(t, a)
	check(t, handshake(t, server, b))
	if _, err := a.CheckToken(oldToken, time.Now()); !errors.Is(err, ErrTokenSignature) {
		t.Errorf("the old token after FinishRotation: %v", err)
	}
}

func TestOldAuthorityIsRefusedAfterFinishRotation(t *testing.T) {
	ca := newAuthorityDir(t)
	a, b := newRing(t, ca, "a"), newRing(t, ca, "b")
	server := a.MutualTLS("test")
	check(t, BeginRotation(ca))
	check(t, SwitchRotation(ca))
	check(t, FinishRotation(ca))
	check(t, Issue(ca, a.dir, "a"))
	reload(t, a)
	if err := handshake(t, server, b); err == nil {
		t.Error("the two have no authority in common, yet they connected")
	}
}

func TestInvalidKeyFilesLeaveTheCurrentKeysInUse(t *testing.T) {
	ca := newAuthorityDir(t)
	a, b := newRing(t, ca, "a"), newRing(t, ca, "b")
	server := a.MutualTLS("test")
	check(t, Issue(ca, a.dir, "c"))
	if changed, err := a.Reload(); changed || !errors.Is(err, errOtherNode) {
		t.Errorf("changed %v, %v", changed, err)
	}
	check(t, os.WriteFile(filepath.Join(a.dir, nodeFile), []byte("torn"), 0o600))
	if changed, err := a.Reload(); changed || err == nil {
		t.Errorf("changed %v, %v", changed, err)
	}
	check(t, handshake(t, server, b))
}
