package chivehillproc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehilladmin"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmember"
	"github.com/chivehill/chivehill/internal/chivehillquery"
	"github.com/chivehill/chivehill/internal/chivehillstandin"
	"github.com/chivehill/chivehill/internal/chivehillstore"
	"github.com/chivehill/chivehill/internal/chivehillwire"
	"github.com/chivehill/chivehill/pkg/chivehillclient"
)

// waitTimeout bounds each wait for a condition. It only ends hanging tests; no test
// measures performance by it.
const waitTimeout = 60 * time.Second

// binary is the path of the chivehill binary that TestMain builds.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "chivehill")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "chivehill")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/chivehill")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cluster is a deployment of host processes, fake servers, a fake store and a fake
// host list.
type cluster struct {
	c       *qt.C
	dir     string
	store   *chivehillstandin.Store
	servers []*fakeServer
	hosts   []*hostProcess
	// storeLink proxies the hosts' connections to the store.
	storeLink    *chivehillstandin.Link
	storeAddr    string
	hostList     *chivehillstandin.HostList
	hostListAddr string
	token        string
}

// fakeServer is a fake server, which hosts reach through a link.
type fakeServer struct {
	name   string
	domain string
	pool   string
	server *chivehillstandin.Server
	link   *chivehillstandin.Link
	// address is the address of the link, control that of the server itself.
	address, control string
}

// hostProcess is the process of an entry host.
type hostProcess struct {
	settings chivehillwire.Settings
	cmd      *exec.Cmd
	log      *bytes.Buffer
	// file is the path of the settings file.
	file string
	// exited is closed when the process has exited.
	exited chan struct{}
}

// The i-th failure domain lies in the i-th region.
var (
	domains = []string{"east-a", "east-b", "west-a", "west-b"}
	regions = []string{"east", "east", "west", "west"}
)

// listener listens on a free port of the loopback address.
func listener(c *qt.C) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return l
}

// serveHTTP serves a handler until the test ends and returns its address.
func serveHTTP(c *qt.C, h http.Handler) string {
	l := listener(c)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	c.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// startLink starts a link to a target address and returns it with its own address.
func startLink(c *qt.C, target string) (*chivehillstandin.Link, string) {
	l := listener(c)
	link := chivehillstandin.NewLink(target)
	go func() { _ = link.Serve(l) }()
	c.Cleanup(func() { _ = l.Close() })
	return link, l.Addr().String()
}

// Host processes listen on ports below the ephemeral range, so that no outgoing
// connection takes a port before its host listens on it.
const firstPort, lastPort = 22000, 29000

var nextPort = firstPort

// unusedAddress returns a loopback address whose port was not in use.
func unusedAddress(c *qt.C) string {
	for ; nextPort < lastPort; nextPort++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		nextPort++
		_ = l.Close()
		return l.Addr().String()
	}
	c.Fatal("no free port")
	return ""
}

// newCluster starts a cluster with four hosts and two pools. Pool tables has a server
// in each failure domain; pool design has one in each failure domain of region east,
// and its route is restricted to that region.
func newCluster(t *testing.T, options func(*chivehillstandin.ServerOptions)) *cluster {
	c := qt.New(t)
	k := &cluster{c: c, dir: t.TempDir(), store: chivehillstandin.NewStore(), token: "test-token-of-operators"}
	k.storeLink, k.storeAddr = startLink(c, serveHTTP(c, k.store.Handler()))
	k.hostList = chivehillstandin.NewHostList(0)
	k.hostListAddr = serveHTTP(c, k.hostList.Handler())
	c.Assert(os.WriteFile(filepath.Join(k.dir, "secret"), []byte("a shared secret of tests"), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(k.dir, "token"), []byte(k.token), 0o600), qt.IsNil)
	for i, d := range domains {
		k.addServer("tables", fmt.Sprintf("tables-%d", i), d, options)
		if regions[i] == "east" {
			k.addServer("design", fmt.Sprintf("design-%d", i), d, options)
		}
	}
	for i := range domains {
		k.startHost(fmt.Sprintf("entry-%d", i), i)
	}
	k.awaitMembers(len(domains))
	k.apply(k.initialNote())
	k.awaitAll(func(s chivehillquery.Status) bool { return s.Version == 1 && s.MayServe })
	k.awaitServing()
	return k
}

func (k *cluster) addServer(pool, name, domain string, options func(*chivehillstandin.ServerOptions)) {
	const seed = 7
	o := chivehillstandin.ServerOptions{
		Name: name, Slots: 4, MeanMs: 4, Sigma: 0.5, ColdConcurrency: 1, ColdSuccesses: 4, Cold: true, Seed: seed,
	}
	if options != nil {
		options(&o)
	}
	s := &fakeServer{name: name, domain: domain, pool: pool, server: chivehillstandin.NewServer(o)}
	s.control = serveHTTP(k.c, s.server.Handler())
	s.link, s.address = startLink(k.c, s.control)
	k.servers = append(k.servers, s)
}

// startHost starts a host process in the i-th failure domain, on new addresses.
func (k *cluster) startHost(name string, i int) *hostProcess {
	h := &hostProcess{log: &bytes.Buffer{}, exited: make(chan struct{}), settings: chivehillwire.Settings{
		Host: chivehillid.HostID(name), Region: chivehillid.RegionID(regions[i]),
		FailureDomain: chivehillid.DomainID(domains[i]), CallerAddress: unusedAddress(k.c), PeerAddress: unusedAddress(k.c),
		OperatorAddress: unusedAddress(k.c), StoreAddress: k.storeAddr, HostListAddress: k.hostListAddr,
		PeerSecretFile: filepath.Join(k.dir, "secret"), OperatorTokenFile: filepath.Join(k.dir, "token"),
		Topology: []chivehillwire.TopologyRegion{
			{Region: "east", FailureDomains: []chivehillid.DomainID{"east-a", "east-b"}},
			{Region: "west", FailureDomains: []chivehillid.DomainID{"west-a", "west-b"}},
		},
		Limits: &chivehillwire.Limits{
			MembershipLeaseMs: chivehillclock.Second, ConfigGraceMs: 2 * chivehillclock.Second, AnswerKeepMs: 500,
		},
	}}
	data, err := json.Marshal(h.settings)
	k.c.Assert(err, qt.IsNil)
	h.file = filepath.Join(k.dir, name+"-"+h.settings.CallerAddress+".json")
	k.c.Assert(os.WriteFile(h.file, data, 0o600), qt.IsNil)
	h.cmd = exec.Command(binary, "serve", "--settings", h.file)
	h.cmd.Stderr = h.log
	k.c.Assert(h.cmd.Start(), qt.IsNil)
	go func() {
		_ = h.cmd.Wait()
		close(h.exited)
	}()
	k.c.Cleanup(func() {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.exited
		if k.c.Failed() {
			k.c.Logf("log of %s:\n%s", h.settings.Host, tail(h.log.String()))
		}
	})
	k.hosts = append(k.hosts, h)
	return h
}

// tail returns the end of a log.
func tail(s string) string {
	const maxBytes = 2000
	return s[max(0, len(s)-maxBytes):]
}

func (h *hostProcess) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

func (h *hostProcess) signal(c *qt.C, s syscall.Signal) {
	c.Assert(h.cmd.Process.Signal(s), qt.IsNil)
}

func (h *hostProcess) status() (chivehillquery.Status, error) {
	var s chivehillquery.Status
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := chivehillstandin.Control(ctx, http.MethodGet, h.settings.OperatorAddress, chivehillquery.StatusPath, nil, &s)
	return s, err
}

// await polls until the condition is met. It fails the test after waitTimeout.
func (k *cluster) await(what string, condition func() bool) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	k.c.Fatalf("timed out waiting for %s", what)
}

// awaitAll waits until the status of each running host meets the condition.
func (k *cluster) awaitAll(condition func(chivehillquery.Status) bool) {
	k.await("the expected status of all running hosts", func() bool {
		for _, h := range k.hosts {
			if !h.running() {
				continue
			}
			s, err := h.status()
			if err != nil || !condition(s) {
				return false
			}
		}
		return true
	})
}

// awaitMembers waits until each running host lists n hosts, all of them reachable.
func (k *cluster) awaitMembers(n int) {
	k.awaitAll(func(s chivehillquery.Status) bool {
		reachable := 0
		for _, h := range s.Hosts {
			if h.Reachable {
				reachable++
			}
		}
		return len(s.Hosts) == n && reachable == n
	})
}

// awaitServing waits until each server has an owner and a short load succeeds
// entirely.
func (k *cluster) awaitServing() {
	k.await("owners of all servers and a load without failures", func() bool {
		owned := 0
		for _, h := range k.hosts {
			s, err := h.status()
			if err != nil {
				return false
			}
			owned += len(s.Servers)
		}
		if owned < len(k.servers) {
			return false
		}
		reports := k.load(chivehillstandin.LoadOptions{Lookups: 40, Runs: 20, Callers: 4})
		return reports[0].Done == 40 && reports[1].Done == 20
	})
}

// initialNote returns the note that configures the service, its pools and routes.
func (k *cluster) initialNote() chivehillwire.Note {
	pools := map[string]*chivehillwire.PoolSpec{}
	for _, name := range []string{"tables", "design"} {
		pools[name] = &chivehillwire.PoolSpec{Pool: chivehillid.PoolID(name), ColdConcurrency: 1, RampSuccesses: 4}
	}
	for _, s := range k.servers {
		pools[s.pool].Servers = append(pools[s.pool].Servers, chivehillwire.ServerSpec{
			Server: chivehillid.ServerID(s.name), Address: s.address, FailureDomain: chivehillid.DomainID(s.domain), Slots: 4,
		})
	}
	return chivehillwire.Note{Note: "first", Added: []chivehillwire.NoteItem{
		{Service: &chivehillwire.ServiceSpec{Service: "calculator"}},
		{Pool: pools["tables"]},
		{Pool: pools["design"]},
		{Route: &chivehillwire.RouteSpec{Route: "tables", Service: "calculator", PathPrefix: "/tables", Pool: "tables", Idempotent: true, DeadlineMs: 3000}},
		{Route: &chivehillwire.RouteSpec{Route: "design", Service: "calculator", PathPrefix: "/design", Pool: "design", DeadlineMs: 3000}},
		{RegionRule: &chivehillwire.RegionRule{Rule: "design-at-home", Route: "design", Regions: []chivehillid.RegionID{"east"}}},
	}}
}

// apply applies a note through a running host. It fails the test if the note is
// rejected.
func (k *cluster) apply(n chivehillwire.Note) chivehilladmin.Accepted {
	accepted, status := k.tryApply(k.anyHost(), n)
	k.c.Assert(status, qt.Equals, http.StatusOK)
	return accepted
}

// tryApply posts a note to a host and returns the response and its status code.
func (k *cluster) tryApply(h *hostProcess, n chivehillwire.Note) (chivehilladmin.Accepted, int) {
	data, err := json.Marshal(n)
	k.c.Assert(err, qt.IsNil)
	req, err := http.NewRequest(http.MethodPost, "http://"+h.settings.OperatorAddress+chivehilladmin.NotesPath, bytes.NewReader(data))
	k.c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+k.token)
	resp, err := http.DefaultClient.Do(req)
	k.c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	var accepted chivehilladmin.Accepted
	_ = json.NewDecoder(resp.Body).Decode(&accepted)
	return accepted, resp.StatusCode
}

func (k *cluster) anyHost() *hostProcess {
	for _, h := range k.hosts {
		if h.running() {
			return h
		}
	}
	k.c.Fatal("no host is running")
	return nil
}

// seeds returns the caller addresses of the running hosts in region east.
func (k *cluster) seeds() []string {
	var seeds []string
	for _, h := range k.hosts {
		if h.running() && h.settings.Region == "east" {
			seeds = append(seeds, h.settings.CallerAddress)
		}
	}
	return seeds
}

// load sends calls through the hosts in region east.
func (k *cluster) load(o chivehillstandin.LoadOptions) []chivehillstandin.LoadReport {
	o.Seeds = k.seeds()
	o.LookupPath = "/tables/strength"
	o.RunPath = "/design/runs"
	if o.Timeout == 0 {
		o.Timeout = 20 * time.Second
	}
	return chivehillstandin.RunLoad(context.Background(), o)
}

// records fetches the records of all servers, past their links.
func (k *cluster) records() []chivehillstandin.Record {
	var addresses []string
	for _, s := range k.servers {
		addresses = append(addresses, s.control)
	}
	records := chivehillstandin.ReadRecords(context.Background(), addresses)
	k.c.Assert(records, qt.HasLen, len(k.servers))
	return records
}

// checkOutcomes compares the outcomes that callers got with the records of the
// servers: no key ran more than once, a key that is done ran once, and a key that is
// not run never ran.
func (k *cluster) checkOutcomes(reports []chivehillstandin.LoadReport) {
	runs := make(map[string]int)
	for _, r := range k.records() {
		for key, n := range r.Runs {
			runs[key] += n
		}
	}
	for key, n := range runs {
		k.c.Check(n, qt.Equals, 1, qt.Commentf("runs of key %s, which must run at most once", key))
	}
	for _, r := range reports {
		k.c.Check(r.Wrong, qt.Equals, 0, qt.Commentf("incomplete responses or responses to another request"))
		for key, outcome := range r.Outcomes {
			switch outcome {
			case chivehillclient.Done:
				k.c.Check(runs[key], qt.Equals, 1, qt.Commentf("runs of key %s with outcome done", key))
			case chivehillclient.NotRun:
				k.c.Check(runs[key], qt.Equals, 0, qt.Commentf("runs of key %s with outcome not run", key))
			case chivehillclient.Unknown:
			}
		}
	}
}

// loadDuring sends the load while inject runs, and returns the reports.
func (k *cluster) loadDuring(o chivehillstandin.LoadOptions, inject func()) []chivehillstandin.LoadReport {
	done := make(chan []chivehillstandin.LoadReport)
	go func() { done <- k.load(o) }()
	inject()
	return <-done
}

// startedRequests returns the number of requests that the servers have started.
func (k *cluster) startedRequests() int {
	sum := 0
	for _, r := range k.records() {
		sum += r.Started
	}
	return sum
}

// awaitStartedRequests waits until the servers have started n more requests.
func (k *cluster) awaitStartedRequests(n int) {
	want := k.startedRequests() + n
	k.await("requests to reach servers", func() bool { return k.startedRequests() >= want })
}

// incarnation returns the incarnation of a host, as the membership in the store has
// it.
func (k *cluster) incarnation(host chivehillid.HostID) chivehillid.Incarnation {
	var m chivehillwire.Membership
	k.c.Assert(json.Unmarshal(k.store.Object(chivehillstore.MembershipObject), &m), qt.IsNil)
	member, found := chivehillmember.Find(m, host)
	k.c.Assert(found, qt.IsTrue)
	return member.Incarnation
}
