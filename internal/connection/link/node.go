package link

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// Times of a connection.
const (
	// IdleTimeout ends a connection on which nothing was heard.
	IdleTimeout = 2 * time.Second
	// KeepAlive is the time between keep-alive packets.
	KeepAlive = 600 * time.Millisecond
	// DialTimeout bounds the handshake of a new connection.
	DialTimeout = time.Second
)

const (
	// protocol is the application protocol in the TLS handshake.
	protocol = "arbutusward/1"
	// maxStreams is the number of calls at once on one connection.
	maxStreams = 4096
)

// Peer names the process at the other end of a call.
type Peer struct {
	// ID is the name in the peer's certificate.
	ID string
	// Address is the address the call came from.
	Address string
}

// Handler answers one kind of call. A returned *Fault reaches the caller
// as it is; any other error becomes a Fault with code CodeInternal.
type Handler func(ctx context.Context, peer Peer, body []byte) (any, error)

// Node is one process's end of all links: it serves calls and makes them
// over one UDP socket. It is safe for concurrent use.
type Node struct {
	transport *quic.Transport
	listener  *quic.Listener
	ring      *keys.Ring
	recorder  *timeline.Recorder
	log       *slog.Logger

	mu       sync.Mutex
	handlers map[Kind]Handler
	// connections holds one outgoing connection per address.
	connections map[string]*outgoing
	closed      bool
}

// outgoing is one cached connection, or a dial in progress.
type outgoing struct {
	ready      chan struct{}
	connection *quic.Conn
	err        error
}

// Listen opens the UDP socket and serves calls on it once Serve is called.
func Listen(address string, ring *keys.Ring, recorder *timeline.Recorder, log *slog.Logger) (*Node, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, logging.Wrap(err, "resolve link address", address)
	}
	socket, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, logging.Wrap(err, "listen for links", address)
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(ring.MutualTLS(protocol), quicConfig())
	if err != nil {
		return nil, logging.Wrap(errors.Join(err, socket.Close()), "listen for links", address)
	}
	return &Node{
		transport:   transport,
		listener:    listener,
		ring:        ring,
		recorder:    recorder,
		log:         log,
		handlers:    map[Kind]Handler{},
		connections: map[string]*outgoing{},
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: DialTimeout,
		MaxIdleTimeout:       IdleTimeout,
		KeepAlivePeriod:      KeepAlive,
		MaxIncomingStreams:   maxStreams,
	}
}

// Address returns the local UDP address.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Serve starts to answer calls. Add all handlers before.
func (n *Node) Serve() { go n.acceptConnections() }

// Close ends all connections and frees the socket.
func (n *Node) Close() error {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	listenerErr := n.listener.Close()
	transportErr := n.transport.Close()
	return errors.Join(listenerErr, transportErr, n.transport.Conn.Close())
}

// connect returns a live connection to the address, dialing if needed.
func (n *Node) connect(ctx context.Context, address string) (*quic.Conn, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, ErrClosed
	}
	entry := n.connections[address]
	if entry == nil {
		entry = &outgoing{ready: make(chan struct{})}
		n.connections[address] = entry
		go n.dial(address, entry)
	}
	n.mu.Unlock()
	select {
	case <-entry.ready:
		return entry.connection, entry.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial fills the entry and forgets it when its connection ends.
func (n *Node) dial(address string, entry *outgoing) {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	entry.connection, entry.err = n.dialOnce(ctx, address)
	if entry.err != nil {
		n.forget(address, entry)
		close(entry.ready)
		return
	}
	close(entry.ready)
	<-entry.connection.Context().Done()
	n.forget(address, entry)
}

func (n *Node) dialOnce(ctx context.Context, address string) (*quic.Conn, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve: %w", err)
	}
	connection, err := n.transport.Dial(ctx, udpAddress, n.ring.MutualTLS(protocol), quicConfig())
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return connection, nil
}

func (n *Node) forget(address string, entry *outgoing) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.connections[address] == entry {
		delete(n.connections, address)
	}
}
