// Package edgeprocess runs bluebell-edge as a process that tests end by signals, and starts it
// again when it exits by itself. It is for development tools only.
package edgeprocess

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/bluebellseam/bluebellseam/platform"
)

const (
	// restartDelay is the time until a process that exited by itself is started again, as the
	// platform does.
	restartDelay = 500 * time.Millisecond
	// signalSetupTime is the time from the start of a process within which it may not have asked
	// for signals yet, so that SIGHUP ends it.
	signalSetupTime = 50 * time.Millisecond
	// closeGrace is the time that Close gives a killed process.
	closeGrace = time.Second
	// settingsName and logName are the names of the files of a process in its directory.
	settingsName, logName = "local.yaml", "log"
)

// Build builds bluebell-edge in a directory and returns its path. It must be called in the
// repository. Errors hold the output of the compiler.
func Build(ctx context.Context, dir string) (path string, err error) {
	path = filepath.Join(dir, "bluebell-edge")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, "./cmd/bluebell-edge").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build bluebell-edge: %w: %s", err, out)
	}
	return path, nil
}

// Process is the process of one host. It is safe for concurrent use. Its exported fields must be
// set before use.
type Process struct {
	// Name is the name of the host in the descriptions of its exits.
	Name string
	// Binaries are the paths of builds of bluebell-edge. Each start takes the next one.
	Binaries []string
	// Dir holds the settings and the log, to which each start appends.
	Dir string

	mu sync.Mutex
	// process is nil if none runs.
	process *exec.Cmd
	// starts is the number of times that a process was started.
	starts int
	// shouldRun is false after a signal that ends the process, until the next start.
	shouldRun bool
	paused    bool
	// exited is closed when the current process has exited; nil before the first start.
	exited chan struct{}
	// unexpectedExits describes the exits that no signal has caused.
	unexpectedExits []string
	closed          bool
}

// SettingsPath returns the path of the settings.
func (p *Process) SettingsPath() string { return filepath.Join(p.Dir, settingsName) }

// WriteSettings writes the settings.
func (p *Process) WriteSettings(text string) error {
	if err := os.MkdirAll(p.Dir, 0o700); err != nil {
		return err
	}
	return os.WriteFile(p.SettingsPath(), []byte(text), 0o600)
}

// Start starts the process, unless it runs or Close was called.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.process != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.Dir, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.Binaries[p.starts%len(p.Binaries)])
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.SettingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	// A host does not outlive the tool and keep its addresses from the next run, and a signal to
	// the process group of the tool does not reach it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.process, p.shouldRun, p.paused = cmd, true, false
	p.starts++
	p.exited = make(chan struct{})
	go p.awaitExit(cmd, time.Now(), p.exited)
	return nil
}

// awaitExit waits for the process to exit. If no signal has ended it, it records that and starts
// the process again.
func (p *Process) awaitExit(cmd *exec.Cmd, startedAt time.Time, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.process = nil
	close(done)
	if !p.shouldRun {
		return
	}
	if !hungUpAtStart(cmd, startedAt) {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s, start %d: %v", p.Name, p.starts, err))
	}
	time.AfterFunc(restartDelay, func() {
		if err := p.Start(); err != nil {
			p.recordFailedStart(err)
		}
	})
}

// hungUpAtStart reports whether a SIGHUP ended a process before it could ask for signals. The
// default action of the signal applies until then.
func hungUpAtStart(cmd *exec.Cmd, startedAt time.Time) bool {
	status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGHUP && time.Since(startedAt) < signalSetupTime
}

func (p *Process) recordFailedStart(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s: start failed: %v", p.Name, err))
}

// Signal sends a signal to the process, if it runs. After SIGKILL and SIGTERM it is not started
// again by itself.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.shouldRun = false
	}
	p.paused = sig == syscall.SIGSTOP
	// An error means that the process has already exited.
	_ = p.process.Process.Signal(sig)
}

// End ends the process with a signal, with SIGKILL after the grace period, and waits for its exit.
func (p *Process) End(sig syscall.Signal, grace time.Duration) {
	exited := p.Exited()
	if exited == nil {
		return
	}
	p.Signal(sig)
	select {
	case <-exited:
	case <-time.After(grace):
		p.Signal(syscall.SIGKILL)
		<-exited
	}
}

// Close kills the process, waits for its exit, and lets no other start.
func (p *Process) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Signal(syscall.SIGCONT)
	p.End(syscall.SIGKILL, closeGrace)
}

// Exited returns a channel that is closed when the current process has exited; nil before the
// first start.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Status returns the number of starts so far. up is false if no process runs, or if a signal has
// ended or paused it.
func (p *Process) Status() (starts int, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.process != nil && p.shouldRun && !p.paused
}

// UnexpectedExits returns a description of each exit that no signal has caused.
func (p *Process) UnexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.unexpectedExits...)
}
