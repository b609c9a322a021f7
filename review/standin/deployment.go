package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
}

// host is one process of the system.
type host struct {
	name, zone, region                          string
	front, ready, directory, peer, metrics, dir string
	command                                     *exec.Cmd
	ended                                       chan struct{}
}

// deployment is a small deployment: a store, servers and hosts as processes.
type deployment struct {
	rec     *recorder
	store   *store
	address string
	servers []*server
	hosts   []*host
	dir     string
	zones   map[string]string
}

var smallZones = map[string]string{"catania-a": "sic-east", "messina-b": "sic-east", "palermo-a": "sic-west", "trapani-b": "sic-west"}

func newDeployment(rec *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, store: newStore(rec.log), dir: dir, zones: smallZones}
	d.address, err = d.store.serve()
	return d, err
}

func (d *deployment) addServer(s *server) error {
	s.log = d.rec.log
	if err := s.start(); err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	s.register(d.store)
	return nil
}

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// startHosts starts one process for each zone name, with the settings of deploy/gateway.json.tmpl.
func (d *deployment) startHosts(program string, zones ...string) error {
	for i, zone := range zones {
		a, err := freeAddresses(5)
		if err != nil {
			return err
		}
		name := "edge-" + zone + "-" + strconv.Itoa(i+1)
		d.hosts = append(d.hosts, &host{
			name: name, zone: zone, region: d.zones[zone], front: a[0], ready: a[1], directory: a[2], peer: a[3], metrics: a[4],
			dir: filepath.Join(d.dir, name),
		})
	}
	var seeds []string
	for _, h := range d.hosts[:min(3, len(d.hosts))] {
		seeds = append(seeds, h.peer)
	}
	for _, h := range d.hosts {
		settings := map[string]any{
			"host": h.name, "region": h.region, "failure-domain": h.zone, "caller-address": h.front, "ready-address": h.ready,
			"directory-address": h.directory, "peer-address": h.peer, "seed-addresses": seeds, "metrics-address": h.metrics,
			"store-address": d.address, "first-start": true, "memory-mb": 284, "processor-share": 0.32, "link-mbps": 1000.0,
			"domains": d.zones, "log-level": "debug",
			"bounds": map[string]any{
				"stop-grace-seconds": 6, "configuration-seconds": 2, "retry-ratio": 0.2, "retry-slack": 58, "answer-keep-seconds": 5,
			},
		}
		if err := os.MkdirAll(h.dir, 0o755); err != nil {
			return err
		}
		path := filepath.Join(h.dir, "boot.conf")
		data, _ := json.MarshalIndent(settings, "", "  ")
		if err := os.WriteFile(path, data, 0o644); err != nil {
			return err
		}
		out, err := os.Create(filepath.Join(h.dir, "log.txt"))
		if err != nil {
			return err
		}
		h.command = exec.Command(program, "gateway")
		h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHIVEHILL_SETTINGS=" + path}
		h.command.Stdout, h.command.Stderr = out, out
		if err := h.command.Start(); err != nil {
			return err
		}
		h.ended = make(chan struct{})
		go func() {
			_ = h.command.Wait()
			_ = out.Close()
			close(h.ended)
		}()
		d.rec.log("host %s started as process %d, front %s", h.name, h.command.Process.Pid, h.front)
	}
	return d.awaitReady(15 * time.Second)
}

func (d *deployment) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for _, h := range d.hosts {
		for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
			resp, err := client.Get("http://" + h.ready + "/v1/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
		}
	}
	d.rec.log("all hosts answer 200 to /v1/readyz")
	return nil
}

// running reports whether the process of a host has not ended.
func (h *host) running() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

func (h *host) signal(s syscall.Signal) { _ = h.command.Process.Signal(s) }

// close ends all processes that this run started and removes its folder.
func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.command == nil || h.command.Process == nil || h.ended == nil {
			continue
		}
		if h.running() {
			_ = h.command.Process.Kill()
		}
		<-h.ended
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range d.hosts {
			data, _ := os.ReadFile(filepath.Join(h.dir, "log.txt"))
			_ = os.WriteFile(filepath.Join(keep, h.name+".log"), data, 0o644)
		}
	}
	_ = os.RemoveAll(d.dir)
}

// channel is a consumer's channel to a host.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: c, reader: bufio.NewReader(c)}, nil
}

// requestText returns a request as a consumer sends it.
func requestText(method, uri, id string, budget time.Duration, body []byte) string {
	text := method + " " + uri + " HTTP/1.1\r\nHost: " + hostname + "\r\nX-Chivehill-Request-Id: " + id + "\r\nX-Chivehill-Request-Deadline: " +
		strconv.FormatInt(budget.Milliseconds(), 10) + "\r\n"
	if body != nil {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return text + "\r\n" + string(body)
}

// answer is what a consumer got.
type answer struct {
	status     int
	id, signed string
	body       []byte
	closes     bool
	err        error
}

// read reads one answer.
func (c *channel) read(limit time.Duration) answer {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, id: resp.Header.Get("X-Chivehill-Request-Id"), signed: resp.Header.Get("X-Chivehill-Server-Signature"),
		body: body, closes: resp.Close, err: err,
	}
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return "no answer: " + a.err.Error()
	}
	text := fmt.Sprintf("%d, signature %q, %d bytes of body", a.status, a.signed, len(a.body))
	if a.closes {
		text += ", Connection: close"
	}
	if a.err != nil {
		text += ", cut off: " + a.err.Error()
	}
	return text
}

// exchange sends one request on a new channel and reads the answer.
func exchange(address, method, uri, id string, budget time.Duration, body []byte) answer {
	c, err := dial(address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, requestText(method, uri, id, budget, body)); err != nil {
		return answer{err: err}
	}
	return c.read(budget + 500*time.Millisecond)
}

const hostname = "ficu95.example"

// configuration is a desired state with two services and four routes like those of peloro-gw.
func configuration(version int) map[string]any {
	route := func(prefix, kind string, timeout, target float64, priority int, service string, regions []string) map[string]any {
		return map[string]any{
			"hostname": hostname, "pathPrefix": prefix, "routeType": kind, "timeoutS": timeout, "targetLatencyS": target,
			"priority": priority, "service": service, "maxAttempts": 2, "allowedRegions": regions,
		}
	}
	service := map[string]any{"healthCheckPath": "/healthz", "maxConnections": 220, "protocol": "h1", "tls": false, "slowStartS": 3.0, "warmupPerS": 8.1}
	return map[string]any{
		"version": version,
		"routes": map[string]any{
			"r-tooth":   route("/tooth/", "safe", 1.0, 0.4, 2, "tables-svc", []string{}),
			"r-licence": route("/licence/", "unsafe", 1.2, 0.5, 1, "tables-svc", []string{}),
			"r-cert":    route("/cert/", "unsafe", 0.8, 0.3, 0, "design-svc", []string{}),
			"r-profile": route("/profile/", "safe", 1.0, 0.2, 1, "design-svc", []string{}),
		},
		"services": map[string]any{"tables-svc": service, "design-svc": service},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	}
}
