package endpoint

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// reservation keeps a port from other listeners of the machine while its
// endpoint is down. Connections to the port are refused meanwhile.
type reservation struct {
	file    *os.File
	address string
}

// reserve binds a socket to address, of which the port may be 0, and does not
// listen on it. A listener with SO_REUSEADDR can take the same port.
func reserve(address string) (*reservation, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address %q is not IP:port: %w", address, err)
	}
	family, sockaddr := socketAddress(at)
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
	port, err := portOf(fd)
	if err != nil {
		_ = r.file.Close()
		return nil, fmt.Errorf("port of %q: %w", address, err)
	}
	r.address = net.JoinHostPort(at.Addr().String(), fmt.Sprint(port))
	return r, nil
}

func socketAddress(at netip.AddrPort) (family int, address syscall.Sockaddr) {
	if at.Addr().Is4() {
		return syscall.AF_INET, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
	}
	return syscall.AF_INET6, &syscall.SockaddrInet6{Port: int(at.Port()), Addr: at.Addr().As16()}
}

func portOf(fd int) (int, error) {
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	switch a := name.(type) {
	case *syscall.SockaddrInet4:
		return a.Port, nil
	case *syscall.SockaddrInet6:
		return a.Port, nil
	}
	return 0, fmt.Errorf("unknown address type %T", name)
}

func (r *reservation) release() { _ = r.file.Close() }
