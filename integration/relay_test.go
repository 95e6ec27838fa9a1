package integration

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fault is what a relay does to one direction. The zero value passes all.
type fault struct {
	// silent drops what arrives and keeps connections open.
	silent atomic.Bool
	// delayNS holds back what arrives, in nanoseconds.
	delayNS atomic.Int64
	// cutAfter ends a TCP connection once this many bytes have passed in
	// total; 0 means never.
	cutAfter atomic.Int64
	passed   atomic.Int64
}

// relay passes TCP connections or UDP packets to one address and injects
// faults for each direction.
type relay struct {
	// toServer and toClient are the faults for each direction.
	toServer, toClient fault
	address            string
	upstream           string

	mu          sync.Mutex
	connections map[net.Conn]bool
}

// newTCPRelay listens on a free port and relays to the upstream address.
func newTCPRelay(t *testing.T, upstream string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	r := &relay{address: listener.Addr().String(), upstream: upstream, connections: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = listener.Close()
		r.cutAll()
	})
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(client)
		}
	}()
	return r
}

func (r *relay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.upstream)
	if err != nil {
		_ = client.Close()
		return
	}
	r.mu.Lock()
	r.connections[client], r.connections[server] = true, true
	r.mu.Unlock()
	go r.pump(client, server, &r.toServer)
	r.pump(server, client, &r.toClient)
}

// pump copies one direction under its fault until either side ends.
func (r *relay) pump(from, to net.Conn, f *fault) {
	defer to.Close()
	defer from.Close()
	// wasSilent makes a connection silent for good once it was.
	wasSilent := false
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		wasSilent = wasSilent || f.silent.Load()
		if wasSilent {
			continue
		}
		time.Sleep(time.Duration(f.delayNS.Load()))
		if limit := f.cutAfter.Load(); limit > 0 {
			n = min(n, int(limit-f.passed.Load()))
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
		passed := f.passed.Add(int64(n))
		if limit := f.cutAfter.Load(); limit > 0 && passed >= limit {
			return
		}
	}
}

// cutAll ends all TCP connections that are open.
func (r *relay) cutAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for connection := range r.connections {
		_ = connection.Close()
		delete(r.connections, connection)
	}
}

// setSilent makes both directions silent, or lets them pass again.
func (r *relay) setSilent(silent bool) {
	r.toServer.silent.Store(silent)
	r.toClient.silent.Store(silent)
}

// newUDPRelay relays packets to the upstream address; each client address
// gets a socket of its own.
func newUDPRelay(t *testing.T, upstream string) *relay {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	must(t, err)
	r := &relay{address: socket.LocalAddr().String(), upstream: upstream, connections: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = socket.Close()
		r.cutAll()
	})
	go r.serveUDP(socket)
	return r
}

func (r *relay) serveUDP(socket net.PacketConn) {
	servers := map[string]net.Conn{}
	buffer := make([]byte, 64<<10)
	for {
		n, client, err := socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		if r.toServer.silent.Load() {
			continue
		}
		server := servers[client.String()]
		if server == nil {
			if server, err = net.Dial("udp", r.upstream); err != nil {
				continue
			}
			servers[client.String()] = server
			r.mu.Lock()
			r.connections[server] = true
			r.mu.Unlock()
			go r.returnUDP(socket, server, client)
		}
		packet := append([]byte{}, buffer[:n]...)
		delayed(&r.toServer, func() { _, _ = server.Write(packet) })
	}
}

func (r *relay) returnUDP(socket net.PacketConn, server net.Conn, client net.Addr) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := server.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || r.toClient.silent.Load() {
			// Refused while the upstream has not started yet: it may later.
			continue
		}
		packet := append([]byte{}, buffer[:n]...)
		delayed(&r.toClient, func() { _, _ = socket.WriteTo(packet, client) })
	}
}

// delayed sends now or after the fault's delay.
func delayed(f *fault, send func()) {
	delay := time.Duration(f.delayNS.Load())
	if delay == 0 {
		send()
		return
	}
	time.AfterFunc(delay, send)
}
