// Package citronport reserves loopback ports for tests. Without a reservation, the
// system can assign the port of a server that has closed or not started yet to any
// other process that requests an ephemeral port, for example another test binary. A
// connection that should be refused then reaches an unrelated server, or a process
// fails to start because its port is in use.
package citronport

import (
	"fmt"
	"net"
	"sync"
	"syscall"
)

// Reservation is a socket that is bound to a loopback port but does not listen. The
// system does not assign the port to other sockets and refuses connections to it. A
// process that names the port explicitly can still listen on it.
type Reservation struct {
	fd, port int
	once     sync.Once
}

// Reserve reserves a free port.
func Reserve() (*Reservation, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	port, err := bind(fd)
	if err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	return &Reservation{fd: fd, port: port}, nil
}

// bind binds a socket to a free loopback port and returns the port.
func bind(fd int) (int, error) {
	// Both this socket and the listener need SO_REUSEADDR to share the port.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	return name.(*syscall.SockaddrInet4).Port, nil
}

// Addr returns the host and port of the reservation.
func (r *Reservation) Addr() string { return fmt.Sprintf("127.0.0.1:%d", r.port) }

// Listen listens on the reserved port.
func (r *Reservation) Listen() (net.Listener, error) { return net.Listen("tcp", r.Addr()) }

// StopSharing stops the sharing of the port, so that no process can listen on it. Call it
// after the server on the port has closed.
func (r *Reservation) StopSharing() {
	_ = syscall.SetsockoptInt(r.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
}

// Release closes the socket and frees the port. Repeated calls have no effect.
func (r *Reservation) Release() { r.once.Do(func() { _ = syscall.Close(r.fd) }) }
