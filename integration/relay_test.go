package integration

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fault is the fault that a relay injects in one direction. The zero value passes
// all data on unchanged.
type fault struct {
	// silent drops all data that arrives and keeps the connections open.
	silent atomic.Bool
	// delayNS delays the data that arrives, in nanoseconds.
	delayNS atomic.Int64
	// cutAfter closes a TCP connection once this many bytes have passed in
	// total; 0 means never.
	cutAfter atomic.Int64
	// passed counts the bytes passed on.
	passed atomic.Int64
}

// relay forwards TCP connections or UDP packets to one address and injects faults
// in each direction.
type relay struct {
	// toServer and toClient are the faults for each direction.
	toServer, toClient fault
	address            string
	upstream           string

	listener net.Listener
	// generation is increased to make the open TCP connections silent for good.
	generation atomic.Int64

	mu          sync.Mutex
	connections map[net.Conn]bool
}

// newTCPRelay listens on a free port and forwards connections to the upstream
// address.
func newTCPRelay(t *testing.T, upstream string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	r := &relay{address: listener.Addr().String(), upstream: upstream, listener: listener, connections: map[net.Conn]bool{}}
	t.Cleanup(r.close)
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

// serve relays one connection in both directions until either side closes it.
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

// pump copies one direction, subject to its fault, until either side closes the
// connection.
func (r *relay) pump(from, to net.Conn, f *fault) {
	defer to.Close()
	defer from.Close()
	// A connection that was silent once stays silent: the bytes that were dropped
	// would be missing from the stream.
	wasSilent := false
	generation := r.generation.Load()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		wasSilent = wasSilent || f.silent.Load() || r.generation.Load() != generation
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

// close closes all TCP connections and accepts no new ones.
func (r *relay) close() {
	_ = r.listener.Close()
	r.cutAll()
}

// cutAll closes all open connections.
func (r *relay) cutAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for connection := range r.connections {
		_ = connection.Close()
		delete(r.connections, connection)
	}
}

// silenceOpen makes the open TCP connections silent for good. New connections
// pass data on.
func (r *relay) silenceOpen() { r.generation.Add(1) }

// setSilent sets whether both directions drop all data.
func (r *relay) setSilent(silent bool) {
	r.toServer.silent.Store(silent)
	r.toClient.silent.Store(silent)
}

// newUDPRelay forwards packets to the upstream address. It uses a separate socket
// for each client address, so that answers find their client.
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

// serveUDP forwards packets from the clients to the upstream address.
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
		r.toServer.passed.Add(int64(n))
		packet := append([]byte{}, buffer[:n]...)
		sendDelayed(&r.toServer, func() { _, _ = server.Write(packet) })
	}
}

// returnUDP forwards packets from the upstream address to one client.
func (r *relay) returnUDP(socket net.PacketConn, server net.Conn, client net.Addr) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := server.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The upstream process does not run yet, or no longer.
			continue
		}
		if r.toClient.silent.Load() {
			continue
		}
		r.toClient.passed.Add(int64(n))
		packet := append([]byte{}, buffer[:n]...)
		sendDelayed(&r.toClient, func() { _, _ = socket.WriteTo(packet, client) })
	}
}

// sendDelayed sends a packet after the delay of the fault.
func sendDelayed(f *fault, send func()) {
	delay := time.Duration(f.delayNS.Load())
	if delay == 0 {
		send()
		return
	}
	time.AfterFunc(delay, send)
}

// newRelayedDeployment starts one control process and a relay through which
// entries can reach it.
func newRelayedDeployment(t *testing.T) (*deployment, *relay) {
	t.Helper()
	d := newDeployment(t)
	d.addControls("za")
	return d, newUDPRelay(t, d.controls["control-1"].settings.Link)
}
