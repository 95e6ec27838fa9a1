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

// Ports for the programs lie below the system's ephemeral ports, so that no
// outgoing connection takes one between its choice and its use.
const (
	lowestPort  = 12000
	highestPort = 32000
)

// nextPort counts the ports handed out; runs at once start at other places.
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

// isFree says whether an address can be listened on. A process that another
// test starts meanwhile would inherit the sockets and keep the address in
// use until it has replaced its image, so no process starts meanwhile.
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

// listenSoon listens on an address that a listener of this test may just have
// left: a process started meanwhile inherits it for some milliseconds.
func listenSoon(t *testing.T, address string) net.Listener {
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
// goroutines start processes, as tests that run side by side do.
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

// startProcesses starts processes that end at once, one after another.
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
