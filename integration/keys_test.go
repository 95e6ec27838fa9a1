package integration

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/keys"
)

// certificateSerial returns the serial number of the certificate that a process
// presents on its administrative port.
func certificateSerial(t *testing.T, address string) (string, error) {
	t.Helper()
	// The certificate is not verified: the test only reads it and sends nothing.
	connection, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		return "", err
	}
	defer connection.Close()
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.String(), nil
}

// TestKeysReissuedCertificateIsTakenUpWithoutARestart issues a new certificate to
// a running entry.
func TestKeysReissuedCertificateIsTakenUpWithoutARestart(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	entry := d.addEntry("entry-a1", "za")
	d.apply(smallFleet)
	d.waitInForce(consoleLimit)
	before, err := certificateSerial(t, entry.settings.Admin)
	must(t, err)
	runCLI(t, "keys", "issue", "--ca-dir", d.dir+"/ca", "entry-a1", entry.settings.KeysDir).expect(t, 0, "issued")
	eventually(t, consoleLimit, "the entry presents the new certificate", func() error {
		now, err := certificateSerial(t, entry.settings.Admin)
		if err == nil && now == before {
			return errors.New("the certificate is still the old one")
		}
		return err
	})
}

// TestKeysRotationOfTheAuthorityCutsNoRequest goes through a whole rotation of the
// certificate authority while requests are sent, and restarts an entry after it.
func TestKeysRotationOfTheAuthorityCutsNoRequest(t *testing.T) {
	t.Parallel()
	d, entry, _ := newServingDeployment(t)
	oldToken := d.token(keys.Viewer, "old")
	failures := make(chan error, 1)
	sending, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { sendUntilDone(sending, entry.url()+"/booking/1", failures) })

	ca := []string{"--ca-dir", d.dir + "/ca"}
	folders := []string{d.dir + "/control-1", entry.settings.KeysDir}
	ctl := func(command string, args ...string) {
		t.Helper()
		runCLI(t, append(append(strings.Fields("keys "+command), ca...), args...)...).expect(t, 0)
	}
	ctl("rotate begin")
	ctl("trust", folders...)
	d.waitReloaded(1, "control-1", "entry-a1")
	ctl("rotate switch")
	ctl("issue", "control-1", folders[0])
	ctl("issue", "entry-a1", folders[1])
	d.waitReloaded(2, "control-1", "entry-a1")
	d.connect()
	d.apply(strings.Replace(smallFleet, `"deadline_ms": 3000`, `"deadline_ms": 3500`, 1))
	d.waitInForce(consoleLimit)
	stop()
	group.Wait()
	select {
	case err := <-failures:
		t.Errorf("a request failed during the rotation: %v", err)
	default:
	}

	ctl("rotate finish")
	ctl("trust", folders...)
	d.waitReloaded(3, "control-1", "entry-a1")
	d.connect()
	ring, err := keys.LoadCA(d.dir + "/ca")
	must(t, err)
	old := adminclient.New(ring, []string{d.controls["control-1"].settings.Admin}, oldToken)
	_, err = old.Status(context.Background())
	var refused *adminclient.StatusError
	if !errors.As(err, &refused) || refused.Status != http.StatusUnauthorized {
		t.Errorf("a token of the old authority was not refused as unauthorized: %v", err)
	}
	entry.stop(10 * time.Second)
	entry.start()
	started := time.Now().UnixMilli()
	eventually(t, consoleLimit, "control receives a report of the entry after its restart", func() error {
		status, err := d.status()
		if err == nil && status.Entries[0].HeardMS <= started {
			return errors.New("no report yet")
		}
		return err
	})
}

// sendUntilDone sends requests until the context is done. It stops at the first
// failure and reports it.
func sendUntilDone(ctx context.Context, url string, failures chan<- error) {
	for ctx.Err() == nil {
		resp, err := http.Get(url)
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %s", resp.Status)
		}
		if err == nil {
			err = resp.Body.Close()
		}
		if err != nil {
			failures <- err
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// waitReloaded waits until each process has logged the given number of reloads of
// its keys.
func (d *deployment) waitReloaded(times int, ids ...string) {
	d.t.Helper()
	for _, id := range ids {
		eventually(d.t, consoleLimit, id+" reloads its keys", func() error {
			if seen := strings.Count(d.readLog(id), "keys reloaded"); seen < times {
				return fmt.Errorf("%d reloads, expected %d", seen, times)
			}
			return nil
		})
	}
}
