package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bluebellseam/bluebellseam/platform"
	"github.com/bluebellseam/bluebellseam/platform/standin"
)

// command is the start command of the deploy file.
const command = "target/bluebell-edge"

const (
	// maxSeeds is the number of seeds in the settings of a process.
	maxSeeds = 3
	// readyTime bounds the time until all processes are ready, and settleTime is how long the
	// callers wait then.
	readyTime, settleTime = 20 * time.Second, 2 * time.Second
	// heartbeat is the time between two entries of an engine.
	heartbeat = 1200 * time.Millisecond
)

// host is one process of the deploy file.
type host struct {
	name, path, log string
	settings        platform.Settings
	process         *exec.Cmd
	// exited is closed when the process has ended. wanted is true while it should run.
	exited chan struct{}
	wanted bool
}

// cluster holds the processes and the stand-ins of a case.
type cluster struct {
	dir   string
	store *standin.Store
	hosts []*host
	// storeAddress is the address of the store in the settings; empty for that of store.
	// settings holds what else is changed in the text of the settings.
	storeAddress string
	settings     map[string]string
	// stopped is closed at the end.
	stopped chan struct{}

	mu sync.Mutex
	// engines are those that write entries.
	engines []*engine
	// silent holds the engines that write none now.
	silent map[*engine]bool
}

func newCluster() (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, store: standin.NewStore(), stopped: make(chan struct{}), silent: make(map[*engine]bool)}
	go c.beat()
	return c, nil
}

// beat writes the entries of the engines until the end.
func (c *cluster) beat() {
	for {
		select {
		case <-c.stopped:
			return
		case <-time.After(heartbeat):
		}
		c.mu.Lock()
		for _, e := range c.engines {
			if !c.silent[e] {
				c.store.PutTarget(e.id, e.entry("ready"))
			}
		}
		c.mu.Unlock()
	}
}

// setSilent sets whether an engine writes no entries. One that begins to write them again
// writes one at once.
func (c *cluster) setSilent(e *engine, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[e] = silent
	if !silent {
		c.store.PutTarget(e.id, e.entry("ready"))
	}
}

func (c *cluster) addEngine(id, service string, answer answerFunc) (*engine, error) {
	e, err := newEngine(id, service, answer)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines = append(c.engines, e)
	c.store.PutTarget(id, e.entry("ready"))
	return e, nil
}

// addHosts starts n processes and waits until they are ready.
func (c *cluster) addHosts(n int) error {
	var seeds []string
	for i := range n {
		h := &host{name: fmt.Sprintf("edge-%d", i+1)}
		h.path, h.log = filepath.Join(c.dir, h.name+".yaml"), filepath.Join(c.dir, h.name+".log")
		text := standin.Settings(h.name, fmt.Sprintf("zone-%d", i%2+1), cmp.Or(c.storeAddress, c.store.Address()), seeds...)
		for old, changed := range c.settings {
			text = strings.ReplaceAll(text, old, changed)
		}
		if err := os.WriteFile(h.path, []byte(text), 0o600); err != nil {
			return err
		}
		var err error
		if h.settings, err = platform.LoadSettings(h.path); err != nil {
			return err
		}
		if len(seeds) < maxSeeds {
			seeds = append(seeds, h.settings.Listen.Control)
		}
		c.hosts = append(c.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

func (h *host) start() error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.process = exec.Command(command)
	h.process.Env = append(os.Environ(), platform.SettingsVariable+"="+h.path)
	h.process.Stdout, h.process.Stderr = log, log
	if err := h.process.Start(); err != nil {
		return err
	}
	h.wanted, h.exited = true, make(chan struct{})
	go func(p *exec.Cmd, exited chan struct{}) {
		_ = p.Wait()
		close(exited)
	}(h.process, h.exited)
	return nil
}

// end ends the process with a signal and waits for that.
func (h *host) end(s syscall.Signal) {
	if h.process == nil || h.process.Process == nil {
		return
	}
	h.wanted = false
	// An error means that it has ended already.
	_ = h.process.Process.Signal(s)
	<-h.exited
}

// endedHosts returns the names of the processes that have ended by themselves.
func (c *cluster) endedHosts() []string {
	var out []string
	for _, h := range c.hosts {
		select {
		case <-h.exited:
			if h.wanted {
				out = append(out, h.name)
			}
		default:
		}
	}
	return out
}

func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.settings.Listen.Ready + "/v1/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) awaitReady() error {
	deadline := time.Now().Add(readyTime)
	for _, h := range c.hosts {
		for !h.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready after %s", h.name, readyTime)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	if ended := c.endedHosts(); len(ended) > 0 {
		return fmt.Errorf("%v ended at once; another run may have their ports", ended)
	}
	return nil
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	close(c.stopped)
	for _, h := range c.hosts {
		h.end(syscall.SIGKILL)
	}
	c.mu.Lock()
	for _, e := range c.engines {
		e.crash()
	}
	c.mu.Unlock()
	c.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// listen opens a free loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
