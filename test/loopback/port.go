package loopback

import (
	"fmt"
	"net"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// Port is a TCP port of 127.0.0.1 that stays bound until it is closed. It never listens
// itself, so that the system refuses connections to it unless another socket listens.
type Port struct {
	address string
	socket  *os.File
}

// Reserve binds a port that the system chooses. No other socket can be bound to it until
// it is shared.
func Reserve() (*Port, error) {
	// CLOEXEC: a process started by the test must not keep the port.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "create a socket")
	}
	p := &Port{socket: os.NewFile(uintptr(fd), "reserved port")}
	if p.address, err = bind(fd); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// bind binds a socket to a loopback port that the system chooses and returns its address.
func bind(fd int) (string, error) {
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", errors.Wrap(err, "bind a loopback port")
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return "", errors.Wrap(err, "read the address of a socket")
	}
	inet, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return "", errors.Errorf("the address of a socket has the type %T", name)
	}
	return fmt.Sprintf("127.0.0.1:%d", inet.Port), nil
}

// Address returns the address of the port.
func (p *Port) Address() string { return p.address }

// SetShared sets whether another socket with SO_REUSEADDR, as net.Listen creates it, can
// listen on the port. Linux evaluates the option of all sockets of a port at each bind and
// never chooses a shared port for a socket without a port of its own. Sockets that listen
// already are not affected.
func (p *Port) SetShared(shared bool) error {
	raw, err := p.socket.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access the socket of a port")
	}
	value := 0
	if shared {
		value = 1
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, value)
	})
	if err != nil {
		return errors.Wrap(err, "access the socket of a port")
	}
	return errors.Wrap(failed, "set SO_REUSEADDR")
}

// Listen listens on the port, which is shared only meanwhile: no other socket gets the port
// when the listener is closed.
func (p *Port) Listen() (net.Listener, error) {
	if err := p.SetShared(true); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		_ = p.SetShared(false) // the error of net.Listen is returned
		return nil, errors.Wrap(err, "listen on a reserved port")
	}
	if err := p.SetShared(false); err != nil {
		_ = l.Close() // no connection was accepted
		return nil, err
	}
	return l, nil
}

// Close releases the port. Sockets that listen on it are not affected.
func (p *Port) Close() { _ = p.socket.Close() } // an error cannot be handled
