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

// Timing of a connection.
const (
	// IdleTimeout is the time without a received packet after which a
	// connection is closed.
	IdleTimeout = 2 * time.Second
	// KeepAlive is the time between keep-alive packets.
	KeepAlive = 600 * time.Millisecond
	// DialTimeout bounds the handshake of a new connection.
	DialTimeout = time.Second
	// redialInterval is the time without an answer after which a dial starts
	// another handshake beside the open ones. QUIC itself repeats a lost first
	// packet at growing intervals, so that a peer that is back is found late.
	redialInterval = 200 * time.Millisecond
)

const (
	// The application protocols (ALPN) in the TLS handshake, the earliest version
	// first: with calls only, with messages without an answer on a stream each,
	// with such messages on a shared stream, and with batched calls.
	callProtocol    = "arbutusward/1"
	messageProtocol = "arbutusward/2"
	sharedProtocol  = "arbutusward/3"
	batchedProtocol = "arbutusward/4"
	// maxStreams bounds the concurrent calls on one connection, and likewise
	// the messages without an answer.
	maxStreams = 4096
)

// Peer identifies the process that made a call.
type Peer struct {
	// ID is the common name in the peer's certificate.
	ID string
	// Address is the address from which the call came.
	Address string
}

// Handler answers one kind of call. If it returns a *Fault, the caller gets that
// Fault. Any other error becomes a Fault with code CodeInternal.
type Handler func(ctx context.Context, peer Peer, body []byte) (any, error)

// Node serves and makes the calls of one process over one UDP socket. It is safe
// for concurrent use.
type Node struct {
	transport *quic.Transport
	listener  *quic.Listener
	ring      *keys.Ring
	recorder  *timeline.Recorder
	log       *slog.Logger

	mu       sync.Mutex
	handlers map[Kind]Handler
	// connections holds one outgoing connection per address.
	connections map[string]*outgoingConn
	closed      bool

	batched *batchedCalls
	large   largeRequests
}

// protocols lists the application protocols of this version, the preferred one
// first.
var protocols = []string{batchedProtocol, sharedProtocol, messageProtocol, callProtocol}

// outgoingConn is a cached connection, or a dial in progress. The other fields
// are valid once ready is closed.
type outgoingConn struct {
	ready      chan struct{}
	connection *quic.Conn
	// protocol is the application protocol that the peer has chosen.
	protocol string
	err      error
	// messages carries the messages without an answer to a peer of
	// sharedProtocol or later.
	messages *outbox
}

// Listen opens the UDP socket and returns a node. The node makes calls
// immediately, and serves calls once Serve is called.
func Listen(address string, ring *keys.Ring, recorder *timeline.Recorder, log *slog.Logger) (*Node, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, logging.Wrap(err, "resolve link address", address)
	}
	socket, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, logging.Wrap(err, "listen for links", address)
	}
	resetKey := quic.StatelessResetKey(ring.ResetKey(socket.LocalAddr().String()))
	transport := &quic.Transport{Conn: socket, StatelessResetKey: &resetKey}
	listener, err := transport.Listen(ring.MutualTLS(protocols...), quicConfig())
	if err != nil {
		return nil, logging.Wrap(errors.Join(err, socket.Close()), "listen for links", address)
	}
	n := &Node{
		transport:   transport,
		listener:    listener,
		ring:        ring,
		recorder:    recorder,
		log:         log,
		handlers:    map[Kind]Handler{},
		connections: map[string]*outgoingConn{},
		large:       newLargeRequests(),
	}
	n.batched = newBatchedCalls(n)
	return n, nil
}

// sharesStream reports whether the messages without an answer share a stream in an
// application protocol.
func sharesStream(protocol string) bool {
	return protocol == sharedProtocol || protocol == batchedProtocol
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: DialTimeout,
		MaxIdleTimeout:       IdleTimeout,
		KeepAlivePeriod:      KeepAlive,
		MaxIncomingStreams:   maxStreams,

		MaxIncomingUniStreams: maxStreams,
	}
}

// Address returns the local UDP address.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Serve starts to serve calls. All handlers must be registered before.
func (n *Node) Serve() { go n.acceptConnections() }

// Close closes all connections and the socket.
func (n *Node) Close() error {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.batched.close()
	listenerErr := n.listener.Close()
	transportErr := n.transport.Close()
	return errors.Join(listenerErr, transportErr, n.transport.Conn.Close())
}

// connect returns the cached connection to the address, or dials a new one.
func (n *Node) connect(ctx context.Context, address string) (*outgoingConn, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, ErrClosed
	}
	entry := n.connections[address]
	if entry == nil {
		entry = &outgoingConn{ready: make(chan struct{}), messages: newOutbox()}
		n.connections[address] = entry
		go n.dial(address, entry)
	}
	n.mu.Unlock()
	select {
	case <-entry.ready:
		return entry, entry.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial dials the address and completes the entry. It removes the entry from the
// cache when the dial has failed or the connection has ended.
func (n *Node) dial(address string, entry *outgoingConn) {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	entry.connection, entry.err = n.dialFirst(ctx, address)
	if entry.err != nil {
		n.removeConnection(address, entry)
		close(entry.ready)
		return
	}
	entry.protocol = entry.connection.ConnectionState().TLS.NegotiatedProtocol
	if sharesStream(entry.protocol) {
		go entry.messages.run(entry.connection)
	}
	close(entry.ready)
	<-entry.connection.Context().Done()
	n.removeConnection(address, entry)
}

// handshakeResult is the outcome of one handshake.
type handshakeResult struct {
	connection *quic.Conn
	err        error
}

// dialFirst starts handshakes at an interval until one of them ends, and returns
// its connection.
func (n *Node) dialFirst(ctx context.Context, address string) (*quic.Conn, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first := make(chan handshakeResult)
	repeat := time.NewTicker(redialInterval)
	defer repeat.Stop()
	for {
		go n.handshakeOnce(ctx, udpAddress, first)
		select {
		case ended := <-first:
			return ended.connection, ended.err
		case <-repeat.C:
		}
	}
}

// handshakeOnce makes one handshake. If another one has ended first, its
// connection is closed.
func (n *Node) handshakeOnce(ctx context.Context, address *net.UDPAddr, first chan<- handshakeResult) {
	connection, err := n.transport.Dial(ctx, address, n.ring.MutualTLS(protocols...), quicConfig())
	if err != nil {
		err = fmt.Errorf("dial: %w", err)
	}
	select {
	case first <- handshakeResult{connection, err}:
	case <-ctx.Done():
		if connection != nil {
			// The peer learns of it or times out; there is nothing else to do.
			_ = connection.CloseWithError(0, "")
		}
	}
}

// removeConnection removes the entry from the cache, unless a newer one has
// replaced it.
func (n *Node) removeConnection(address string, entry *outgoingConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.connections[address] == entry {
		delete(n.connections, address)
	}
}
