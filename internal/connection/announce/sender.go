package announce

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// arrivalPrecision bounds the error of the arrival times of the kernel, which
// counts them in ticks of at most 10 ms.
const arrivalPrecision = 10 * time.Millisecond

// senderKey is the key of the sender in the context of a connection.
type senderKey struct{}

// sender tells how old an announcement on its connection may be.
type sender struct {
	// socket is nil if the kernel cannot be asked.
	socket syscall.RawConn
	// contactAt is the time, since processStart, at which the connection was
	// accepted or the last request on it answered. The next request on it
	// was sent later, unless it is the first and waited with the connection.
	contactAt atomic.Int64
}

// ConnContext adds the sender of announcements to the context of a connection.
// It is meant for http.Server.
func ConnContext(ctx context.Context, connection net.Conn) context.Context {
	s := &sender{socket: rawConn(connection)}
	s.recordContact()
	return context.WithValue(ctx, senderKey{}, s)
}

// rawConn returns the socket of a connection, or nil if it has none.
func rawConn(connection net.Conn) syscall.RawConn {
	if wrapper, ok := connection.(interface{ NetConn() net.Conn }); ok {
		connection = wrapper.NetConn()
	}
	withSocket, ok := connection.(syscall.Conn)
	if !ok {
		return nil
	}
	socket, err := withSocket.SyscallConn()
	if err != nil {
		return nil
	}
	return socket
}

// senderOf returns the sender in a context, or nil.
func senderOf(ctx context.Context) *sender {
	s, _ := ctx.Value(senderKey{}).(*sender)
	return s
}

// recordContact records that the connection was accepted, or that its last
// request is answered.
func (s *sender) recordContact() {
	if s != nil {
		s.contactAt.Store(int64(time.Since(processStart)))
	}
}

// sentAfter returns a time before which the request that is being served was
// not sent, or the zero time if none is known.
func (s *sender) sentAfter() time.Time {
	if s == nil || s.socket == nil {
		return time.Time{}
	}
	arrivedAt, ok := s.arrivedAt()
	if !ok {
		return time.Time{}
	}
	contactAt := processStart.Add(time.Duration(s.contactAt.Load()))
	if contactAt.Before(arrivedAt) {
		return contactAt
	}
	return arrivedAt
}

// arrivedAt returns when the kernel received the last data on the connection.
func (s *sender) arrivedAt() (time.Time, bool) {
	var info *unix.TCPInfo
	var infoErr error
	err := s.socket.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return time.Time{}, false
	}
	age := time.Duration(info.Last_data_recv)*time.Millisecond + arrivalPrecision
	return time.Now().Add(-age), true
}
