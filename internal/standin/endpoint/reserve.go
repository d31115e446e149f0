package endpoint

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// reservation holds a bound socket, so that the system does not assign its
// port to another socket while the endpoint is down. Connections to
// the port are refused while nothing listens on it.
type reservation struct {
	file    *os.File
	address string
}

// reserve binds a socket to address without listening on it. Port 0 selects a
// free port. The socket has SO_REUSEADDR, so a listener that has it too can
// bind to the same port.
func reserve(address string) (*reservation, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address %q is not IP:port: %w", address, err)
	}
	family, sockaddr := socketAddress(addrPort)
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket for %q: %w", address, err)
	}
	r := &reservation{file: os.NewFile(uintptr(fd), address)}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		_ = r.file.Close()
		return nil, fmt.Errorf("reuse of %q: %w", address, err)
	}
	if err := syscall.Bind(fd, sockaddr); err != nil {
		_ = r.file.Close()
		return nil, fmt.Errorf("bind to %q: %w", address, err)
	}
	port, err := localPort(fd)
	if err != nil {
		_ = r.file.Close()
		return nil, fmt.Errorf("port of %q: %w", address, err)
	}
	r.address = net.JoinHostPort(addrPort.Addr().String(), fmt.Sprint(port))
	return r, nil
}

func socketAddress(addrPort netip.AddrPort) (family int, address syscall.Sockaddr) {
	if addrPort.Addr().Is4() {
		return syscall.AF_INET, &syscall.SockaddrInet4{Port: int(addrPort.Port()), Addr: addrPort.Addr().As4()}
	}
	return syscall.AF_INET6, &syscall.SockaddrInet6{Port: int(addrPort.Port()), Addr: addrPort.Addr().As16()}
}

// localPort returns the port that the socket fd is bound to.
func localPort(fd int) (int, error) {
	address, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	switch a := address.(type) {
	case *syscall.SockaddrInet4:
		return a.Port, nil
	case *syscall.SockaddrInet6:
		return a.Port, nil
	}
	return 0, fmt.Errorf("unknown address type %T", address)
}

func (r *reservation) release() { _ = r.file.Close() }
