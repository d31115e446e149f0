package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	hostName = "desk.example"
	// readyWithin bounds the start of the edges, and settle is the time from then to the traffic.
	readyWithin = 15 * time.Second
	settle      = 4 * time.Second
)

// world holds the processes and the stand-ins of a case.
type world struct {
	record  *record
	dir     string
	store   *store
	engines []*engine
	edges   []*edge
	seen    *seen
	nextID  atomic.Int64
	// seeds are the quoted addresses of the first edges.
	seeds []string
}

// maxSeeds is how many seeds a settings file names at most.
const maxSeeds = 3

func (w *world) seedList() string { return strings.Join(w.seeds[:min(len(w.seeds), maxSeeds)], ", ") }

func newWorld(r *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &world{record: r, dir: dir, store: s, seen: &seen{}}, nil
}

func (w *world) close() {
	for _, e := range w.edges {
		e.kill()
	}
	for _, e := range w.engines {
		e.close()
	}
	w.store.close()
	_ = os.RemoveAll(w.dir)
}

// addEngine starts an engine.
func (w *world) addEngine(e *engine) error {
	e.store, e.record, e.seen = w.store, w.record, w.seen
	w.engines = append(w.engines, e)
	return e.start()
}

// edge is a process of the project's edge program.
type edge struct {
	name, settings, logPath string
	front, ready            string
	// template is the text of the settings; its argument is whether the whole system starts.
	template string

	mu  sync.Mutex
	cmd *exec.Cmd
}

const (
	// portsPerEdge is the number of ports of one edge.
	portsPerEdge = 8
	// The search begins at a place of its own for each process, below the ports that the kernel gives
	// to connections.
	lowestPort, highestPort, portsPerRange, portRanges = 10000, 32000, 64, 300
)

// freePorts returns consecutive free ports.
func freePorts() (int, error) {
	for base := lowestPort + os.Getpid()%portRanges*portsPerRange; base < highestPort; base += portsPerEdge {
		if portsFree(base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("there are no %d free ports", portsPerEdge)
}

func portsFree(base int) bool {
	for p := base; p < base+portsPerEdge; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// startEdges starts edges with the names and waits until all are ready.
func (w *world) startEdges(names []string, bounds string) error {
	for _, name := range names {
		base, err := freePorts()
		if err != nil {
			return err
		}
		e := &edge{name: name, settings: filepath.Join(w.dir, name+".yaml"), logPath: filepath.Join(w.dir, name+".log")}
		e.front, e.ready = fmt.Sprintf("127.0.0.1:%d", base), fmt.Sprintf("127.0.0.1:%d", base+1)
		w.seeds = append(w.seeds, fmt.Sprintf("%q", fmt.Sprintf("127.0.0.1:%d", base+2)))
		e.template = fmt.Sprintf(`node: %q
role: "edge"
machine_class: "edge"
serves: ["edge", "control_plane"]
ip: "127.0.0.1"
zone: "zone-a"
region: "region"
zones: {zone-a: "region"}
listen: {front: %q, ready: %q, control: "127.0.0.1:%d"}
internal_ports: [%d, %d]
seeds: [SEEDS]
bootstrap: BOOTSTRAP
counts_as_loss: false
limits: {cpu_share: 0.5, cores: 1, memory_mb: 206, max_fds: 2870, link_mbps: 700.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"]
fault_tolerance: {machines: 2, zones: 0, regions: 0}
bounds: {%s}
platform: {address: %q, form: "log"}
`, name, e.front, e.ready, base+2, base+3, base+6, bounds, w.store.address())
		w.edges = append(w.edges, e)
		// The ports are taken once the process has started.
		if err := e.start(w.seedList(), true); err != nil {
			return err
		}
		if err := e.awaitReady(); err != nil {
			return err
		}
	}
	for _, e := range w.edges {
		if err := e.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settle)
	return nil
}

// start starts the process with the command of the deploy file.
func (e *edge) start(seeds string, bootstrap bool) error {
	text := strings.NewReplacer("SEEDS", seeds, "BOOTSTRAP", fmt.Sprint(bootstrap)).Replace(e.template)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/bluebell-edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BLUEBELLSEAM_SETTINGS=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	e.mu.Lock()
	e.cmd = cmd
	e.mu.Unlock()
	return log.Close()
}

// kill ends the process with SIGKILL.
func (e *edge) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	_ = e.cmd.Wait()
	e.cmd = nil
}

func (e *edge) awaitReady() error {
	deadline := time.Now().Add(readyWithin)
	for time.Now().Before(deadline) {
		if e.isReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("edge %s is not ready after %v", e.name, readyWithin)
}

// isReady asks as the platform does.
func (e *edge) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+"/v1/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := oneConnection().RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// oneConnection returns a transport that opens a connection for its request.
func oneConnection() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DisableCompression: true}
}

// call is a request of a client.
type call struct {
	method, path, key, tokens, body string
	deadline                        time.Duration
}

// answer is what the client got; status is zero if there was none.
type answer struct {
	id     string
	sentAt time.Time
	status int
	sealed bool
	whole  bool
	body   string
}

// send sends a request to an edge over a connection of its own and waits for the answer.
func (w *world) send(e *edge, c call) answer {
	a := answer{id: fmt.Sprintf("%016x", w.nextID.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+e.front+c.path, strings.NewReader(c.body))
	if err != nil {
		return a
	}
	if c.body == "" {
		req.Body, req.GetBody, req.ContentLength = http.NoBody, nil, 0
	}
	req.Host = hostName
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Request-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	if c.key != "" {
		req.Header.Set("X-Api-Key", c.key)
	}
	if c.tokens != "" {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Counts", c.tokens)
	}
	w.record.log("client sends %s to %s: %s %s", a.id, e.name, c.method, c.path)
	resp, err := oneConnection().RoundTrip(req)
	if err != nil {
		w.record.log("client gets no answer to %s", a.id)
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status, a.sealed, a.whole, a.body = resp.StatusCode, resp.Header.Get("Response-Seal") != "", err == nil, string(body)
	note := ""
	if a.status >= http.StatusBadRequest {
		note = " " + a.body
	}
	w.record.log("client gets %d for %s, whole %t%s", a.status, a.id, a.whole, note)
	return a
}

// configure writes the configuration.
func (w *world) configure(routes, services, tenants []any) {
	w.store.putJSON("keyed.op", "config", map[string]any{
		"version": 1, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

func route(name, path, kind, service string, attempts int, timeout time.Duration, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "path_prefix": path, "kind": kind, "service": service, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": 250, "priority": 0, "max_attempts": attempts, "public": false, "resumable": resumable, "gap_aim_ms": 250,
	}
}

// every calls f with the numbers from 0 on at a rate, each in a goroutine of its own, for a time, and
// waits for the calls.
func every(perSecond float64, length time.Duration, f func(n int)) {
	var calls sync.WaitGroup
	begun := time.Now()
	for n := 0; ; n++ {
		at := time.Duration(float64(n) / perSecond * float64(time.Second))
		if at >= length {
			break
		}
		time.Sleep(time.Until(begun.Add(at)))
		calls.Add(1)
		go func() {
			defer calls.Done()
			f(n)
		}()
	}
	calls.Wait()
}
