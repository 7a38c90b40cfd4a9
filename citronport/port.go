// Package citronport holds loopback ports for tests. The port of a server that
// has closed, or that has not started yet, goes to the next one that asks for
// any port, in this test binary or another: a call that should be refused is
// then answered by a stranger, or a process finds its port taken.
package citronport

import (
	"fmt"
	"net"
	"sync"
	"syscall"
)

// Reservation is a socket that is bound to a loopback port but does not
// listen: nobody else is given the port, connections to it are refused, and
// whoever names the port can listen there.
type Reservation struct {
	fd, port int
	once     sync.Once
}

// Reserve holds a free port.
func Reserve() (*Reservation, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	// Both sockets need it for the port to be shared.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	return &Reservation{fd: fd, port: name.(*syscall.SockaddrInet4).Port}, nil
}

// Addr is the address of the port.
func (r *Reservation) Addr() string { return fmt.Sprintf("127.0.0.1:%d", r.port) }

// Listen listens on the port.
func (r *Reservation) Listen() (net.Listener, error) { return net.Listen("tcp", r.Addr()) }

// Claim ends the sharing of the port once its server has closed.
func (r *Reservation) Claim() {
	_ = syscall.SetsockoptInt(r.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
}

// Release gives the port back.
func (r *Reservation) Release() { r.once.Do(func() { _ = syscall.Close(r.fd) }) }
