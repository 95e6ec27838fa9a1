package integration

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The ports of the programs are below the ephemeral port range of the system, so
// that no outgoing connection uses one after it was chosen and before the program
// listens on it.
const (
	lowestPort  = 12000
	highestPort = 32000
)

// nextPort counts the ports that were tried. Test processes that run at the same
// time start at different ports.
var nextPort atomic.Int64

// freePort returns a loopback address that is free for TCP and UDP.
func freePort(t *testing.T) string {
	t.Helper()
	start := int64(os.Getpid()) * 137
	for range highestPort - lowestPort {
		port := lowestPort + (start+nextPort.Add(1))%(highestPort-lowestPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if isFree(address) {
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// isFree reports whether a process can listen on the address. A process that
// another test forks during the check would inherit the sockets and keep the
// address in use until its exec, so the fork lock is held.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	socket, err := net.ListenPacket("udp", address)
	_ = listener.Close()
	if err != nil {
		return false
	}
	_ = socket.Close()
	return true
}

// listenWithRetry listens on an address that this test may just have closed. A
// process forked before the close keeps the address in use for some milliseconds,
// until its exec.
func listenWithRetry(t *testing.T, address string) net.Listener {
	t.Helper()
	var listener net.Listener
	eventually(t, 2*time.Second, "listening on "+address, func() error {
		var err error
		listener, err = net.Listen("tcp", address)
		return err
	})
	return listener
}

// TestFreePortStaysFreeWhileProcessesStart listens on free ports while other
// goroutines start processes, as parallel tests do.
func TestFreePortStaysFreeWhileProcessesStart(t *testing.T) {
	const tries = 1000
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() { startProcesses(t, stop) })
	}
	for range tries {
		address := freePort(t)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Error(err)
			continue
		}
		_ = listener.Close()
	}
	close(stop)
	group.Wait()
}

// startProcesses starts processes that exit at once, one after the other, until
// stop is closed.
func startProcesses(t *testing.T, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if err := exec.Command("true").Run(); err != nil {
			t.Error(err)
			return
		}
	}
}
