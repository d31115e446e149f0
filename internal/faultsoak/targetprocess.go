package faultsoak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
)

// TargetProcessCommand is the first argument of bluebell-faultsoak when it runs as the
// process of a target.
const TargetProcessCommand = "target-process"

// anyPort is the listen address of the first start of a target process.
const anyPort = "127.0.0.1:0"

// ServeTargetProcess forwards connections on a listen address to a backend until stdin
// ends. It uses another port if that of the listen address is taken, and writes the
// address to stdout.
func ServeTargetProcess(listenAddress, backend string) error {
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		listener, err = net.Listen("tcp", anyPort)
	}
	if err != nil {
		return err
	}
	p := startProxy(listener, backend)
	fmt.Println(p.address())
	// The end of stdin means that the soak is gone.
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// targetProcess carries the connections of a target in a process of its own. When a
// signal ends that process, the kernel closes the connections.
type targetProcess struct {
	backend string

	mu sync.Mutex
	// command is nil if no process is running.
	command *exec.Cmd
	address string
}

func startTargetProcess(backend string) (*targetProcess, error) {
	p := &targetProcess{backend: backend, address: anyPort}
	return p, p.start()
}

// start starts the process at its former address, unless it is running.
func (p *targetProcess) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	command := exec.Command(binary, TargetProcessCommand, p.address, p.backend)
	command.Stderr = os.Stderr
	// The pipe is closed when the command is waited for, or when the soak ends.
	if _, err := command.StdinPipe(); err != nil {
		return err
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		return errors.Join(fmt.Errorf("read the address of a target process: %w", err), command.Process.Kill(), command.Wait())
	}
	p.command, p.address = command, strings.TrimSpace(line)
	return nil
}

// end sends a signal that ends the process and waits for its exit. It returns false if
// no process is running.
func (p *targetProcess) end(sig syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return false
	}
	// The exit status states the signal.
	_ = p.command.Process.Signal(sig)
	_ = p.command.Wait()
	p.command = nil
	return true
}

func (p *targetProcess) listenAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}
