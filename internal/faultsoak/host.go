package faultsoak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/bluebellseam/bluebellseam/platform"
	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// host is one edge process with the proxies around it.
type host struct {
	name     string
	binary   string
	dir      string
	settings platform.Settings
	// front and store stand between callers, the host and its store.
	front, store *proxy
	// callers keep connections to the host open.
	callers *http.Transport

	mu sync.Mutex
	// running is the present process; nil between two.
	running *exec.Cmd
	// incarnation counts starts.
	incarnation int
	// wanted is false while a fault has ended the process.
	wanted bool
	paused bool
	// surprises are ends that no fault has asked for.
	surprises []string
	done      chan struct{}
}

func newHost(name, binary, dir, storeAddress string, seeds []string) (*host, error) {
	h := &host{name: name, binary: binary, dir: filepath.Join(dir, name), callers: standin.NewKeepAliveTransport()}
	var err error
	if h.store, err = newProxy(storeAddress); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(h.dir, 0o700); err != nil {
		return nil, err
	}
	text := standin.Settings(name, "zone-"+name[len(name)-1:], h.store.address(), seeds...)
	if err := os.WriteFile(h.settingsPath(), []byte(text), 0o600); err != nil {
		return nil, err
	}
	if h.settings, err = platform.LoadSettings(h.settingsPath()); err != nil {
		return nil, err
	}
	h.front, err = newProxy(h.settings.Listen.Front)
	return h, err
}

func (h *host) settingsPath() string { return filepath.Join(h.dir, "local.yaml") }

// start runs the program. Its log is appended to a file of the host.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(h.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(h.binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+h.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.running, h.wanted, h.paused = cmd, true, false
	h.incarnation++
	h.done = make(chan struct{})
	go h.await(cmd, h.done)
	return nil
}

func (h *host) await(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.wanted {
		h.surprises = append(h.surprises, fmt.Sprintf("%s, start %d: %v", h.name, h.incarnation, err))
	}
	h.running = nil
	close(done)
}

// signal sends a signal to the process that this host runs, if any.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == nil {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		h.wanted = false
	}
	h.paused = sig == syscall.SIGSTOP
	// A process that has just ended needs no signal.
	_ = h.running.Process.Signal(sig)
}

// ended returns a channel that is closed when the present process has ended.
func (h *host) ended() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.done
}

// state returns the number of the present start, and false while none runs
// undisturbed.
func (h *host) state() (incarnation int, up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation, h.running != nil && h.wanted && !h.paused
}

func (h *host) close() {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	<-h.ended()
	h.callers.CloseIdleConnections()
	h.front.close()
	h.store.close()
}
