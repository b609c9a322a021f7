//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	hostname   = "ficu95.example"
	healthPath = "/healthz"
	program    = "target/chivehill"
	// restartDelay is how long after its end a killed process is started again.
	restartDelay = 500 * time.Millisecond
)

// The zones of the small deployment and their regions.
var zones = map[string]string{"catania-a": "sic-east", "messina-b": "sic-east", "palermo-a": "sic-west", "trapani-b": "sic-west"}

// deployment is a small deployment on loopback addresses: a store, servers and entry hosts. The
// hosts are processes of the program that is tested.
type deployment struct {
	dir     string
	record  *record
	store   *store
	ledger  *ledger
	servers []*server
	hosts   []*host
	address string
	http    *http.Server
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	since time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.since).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.since).Seconds() }

func newDeployment(recordPath string) (*deployment, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: &record{file: file, since: time.Now()}, store: newStore(), ledger: &ledger{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address, d.http = l.Addr().String(), &http.Server{Handler: d.store}
	go func() { _ = d.http.Serve(l) }()
	return d, nil
}

// stop ends all processes that the case started.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.kill()
	}
	_ = d.http.Close()
	_ = d.record.file.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// route is a route of the desired state.
type route struct {
	name, prefix, kind, service string
	timeoutS, aimS              float64
	maxAttempts                 int
}

// configure writes a desired state with some routes, as the operator does.
func (d *deployment) configure(version int, services []string, routes []route) {
	asServices, asRoutes := map[string]any{}, map[string]any{}
	for _, s := range services {
		asServices[s] = map[string]any{"healthCheckPath": healthPath, "maxConnections": 220, "protocol": "h1", "tls": false, "slowStartS": 3.0, "warmupPerS": 8.1}
	}
	for _, r := range routes {
		asRoutes[r.name] = map[string]any{
			"hostname": hostname, "pathPrefix": r.prefix, "routeType": r.kind, "timeoutS": r.timeoutS, "targetLatencyS": r.aimS,
			"priority": 1, "service": r.service, "maxAttempts": r.maxAttempts, "allowedRegions": []string{},
		}
	}
	d.store.put("config", "main", map[string]any{
		"version": version, "services": asServices, "routes": asRoutes, "baseVersion": 0,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	}, nil)
}

func (d *deployment) addServer(s *server) error {
	s.store, s.ledger = d.store, d.ledger
	d.servers = append(d.servers, s)
	return s.start()
}

// host is an entry host, a process of the program.
type host struct {
	d         *deployment
	name      string
	zone      string
	settings  string
	caller    string
	ready     string
	peer      string
	metrics   string
	directory string
	first     bool
	seeds     []string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// nextPort is the port after the one that was given out last. Each run has a range of its own, so that
// runs beside one another do not take the port of a host that is just being restarted. All ports are
// below those that the system gives to outgoing connections.
var nextPort = 10_000 + portsPerRun*(os.Getpid()%portRuns)

const (
	portsPerRun = 100
	portRuns    = 200
)

// freeAddress returns an address on which nothing listens.
func freeAddress() (string, error) {
	for range portsPerRun {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errNoPort
}

// addHosts starts entry hosts as deploy/system.toml does, one in each of the given zones.
func (d *deployment) addHosts(inZones ...string) error {
	var seeds []string
	for i, zone := range inZones {
		h := &host{d: d, name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, first: true}
		for _, a := range []*string{&h.caller, &h.ready, &h.peer, &h.metrics, &h.directory} {
			address, err := freeAddress()
			if err != nil {
				return err
			}
			*a = address
		}
		h.settings = filepath.Join(d.dir, h.name+".json")
		if len(seeds) < 3 {
			seeds = append(seeds, h.peer)
		}
		d.hosts = append(d.hosts, h)
	}
	for _, h := range d.hosts {
		h.seeds = seeds
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process with settings like those that deploy/gateway.json.tmpl gives.
func (h *host) start() error {
	settings := map[string]any{
		"host": h.name, "region": zones[h.zone], "failure-domain": h.zone, "caller-address": h.caller, "ready-address": h.ready,
		"directory-address": h.directory, "peer-address": h.peer, "seed-addresses": h.seeds, "metrics-address": h.metrics,
		"store-address": h.d.address, "first-start": h.first, "memory-mb": 284, "processor-share": 0.32, "link-mbps": 1000.0,
		"domains": zones, "log-level": "debug",
		"bounds": map[string]any{"stop-grace-seconds": graceS, "configuration-seconds": 2, "retry-ratio": 0.2, "retry-slack": 58, "answer-keep-seconds": 5},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.d.dir, "CHIVEHILL_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.ended, h.first = cmd, ended, false
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	h.d.record.line("host %s started, process %d", h.name, cmd.Process.Pid)
	return nil
}

func (h *host) current() (*exec.Cmd, chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process, h.ended
}

func (h *host) kill() {
	p, ended := h.current()
	if p == nil {
		return
	}
	_ = p.Process.Kill()
	<-ended
}

// crash kills the process and starts it again after a short delay, as the platform does.
func (h *host) crash() error {
	h.d.record.line("host %s is killed", h.name)
	h.kill()
	time.Sleep(restartDelay)
	return h.start()
}

// restart stops the process as the platform does, SIGTERM and after the grace SIGKILL, and starts
// it again.
func (h *host) restart() error {
	p, ended := h.current()
	h.d.record.line("host %s gets SIGTERM", h.name)
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-ended:
	case <-time.After(graceS * time.Second):
		h.d.record.line("host %s gets SIGKILL", h.name)
		_ = p.Process.Kill()
		<-ended
	}
	return h.start()
}

var (
	errNotReady = errors.New("not ready in time")
	errNoPort   = errors.New("no free port")
)

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			h.d.record.line("host %s is ready", h.name)
			return nil
		}
	}
	return fmt.Errorf("host %s: %w", h.name, errNotReady)
}

func (d *deployment) awaitAllReady() error {
	for _, h := range d.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}
