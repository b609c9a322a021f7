package chivehillgateway

import (
	"bufio"
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"unicode"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillfront"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillmetrics"
	"github.com/chivehill/chivehill/internal/chivehillplace"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// testDialect names headers plainly.
type testDialect struct{}

func (testDialect) Answer(status int, h http.Header) chivehillupstream.Remarks {
	return chivehillupstream.Remarks{
		RequestID: chivehillid.RequestID(h.Get("Id")), Signed: h.Get("Signed") != "", NotExecuted: h.Get("Not-Executed") != "",
		Misdirected: status == http.StatusMisdirectedRequest, ColdLeft: coldLeft(h),
	}
}

// coldLeft returns a fixed time if a server says that it is cold.
func coldLeft(h http.Header) chivehillclock.Millis {
	if h.Get("Cold") == "" {
		return 0
	}
	return 10 * chivehillclock.Second
}

func (testDialect) RequestID(h http.Header) chivehillid.RequestID {
	return chivehillid.RequestID(h.Get("Id"))
}

func (testDialect) Wait(http.Header) (chivehillclock.Millis, bool) { return 0, false }

func (testDialect) Address(http.Header, chivehillclock.Millis, chivehillid.ServerID) {}

// testBeliefs are beliefs that a test sets.
type testBeliefs struct {
	catalog   *chivehillcatalog.Catalog
	confirmed bool
}

func (b testBeliefs) View() chivehillcatalog.View { return b.catalog.View() }

func (b testBeliefs) Confirmed() bool { return b.confirmed }

// testDecoder decodes all records to what the test has.
type testDecoder struct {
	chivehillcatalog.Decoder
	configuration chivehillcatalog.Configuration
	servers       map[string]chivehillcatalog.Server
}

func (d testDecoder) Configuration(chivehillcatalog.Record) (chivehillcatalog.Configuration, error) {
	return d.configuration, nil
}

func (d testDecoder) Server(r chivehillcatalog.Record) (chivehillcatalog.Server, error) {
	return d.servers[r.Name], nil
}

// scripted is a server that answers health checks well, and requests by script.
type scripted struct {
	listener net.Listener
	// health is sent beside the answer to a health check.
	health string
	answer func(s *scripted, c net.Conn)
}

func (s *scripted) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *scripted) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path != "/health" {
			s.answer(s, c)
			continue
		}
		if strings.Contains(s.health, "close") {
			_ = s.listener.Close()
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+s.health+"Content-Length: 0\r\n\r\n")
	}
}

// says answers with a status and headers.
func says(status int, headers string) func(*scripted, net.Conn) {
	return func(_ *scripted, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Answer\r\nId: a\r\n%sContent-Length: 2\r\n\r\nok", status, headers)
	}
}

func breaks(_ *scripted, c net.Conn) { _ = c.Close() }

func silent(*scripted, net.Conn) {}

// situation is what a request meets.
type situation struct {
	path         string
	unsafe       bool
	unconfigured bool
	unconfirmed  bool
	suspect      bool
	late         bool
	left         bool
	// cold servers lose their responsible host between choice and send.
	cold    bool
	health  string
	servers []func(*scripted, net.Conn)
}

func (s situation) gateway(t *testing.T) *Gateway {
	t.Helper()
	clock := chivehillclock.New()
	servers := make(map[string]chivehillcatalog.Server)
	update := chivehillcatalog.Update{Full: true, AsOf: 9}
	for i, answer := range s.servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = l.Close() })
		go (&scripted{listener: l, answer: answer, health: s.health}).run()
		name := "i-" + strconv.Itoa(i)
		servers[name] = chivehillcatalog.Server{ID: chivehillid.ServerID(name), Service: "s", Address: l.Addr().String(), Domain: "e1", Slots: 4}
		if s.cold {
			e := servers[name]
			e.ColdLeft = 10 * chivehillclock.Second
			servers[name] = e
		}
		update.Records = append(update.Records, chivehillcatalog.Record{Name: name, Revision: 1})
	}
	catalog := chivehillcatalog.New(chivehillcatalog.Options{Log: zerolog.Nop(), Decoder: testDecoder{servers: servers, configuration: chivehillcatalog.Configuration{
		Version: 1, Services: map[chivehillid.ServiceID]chivehillcatalog.Service{"s": {ID: "s", HealthPath: "/health", ColdPerSecond: 100}},
		Routes: []chivehillcatalog.Route{{
			ID: "r", Hostname: "h", PathPrefix: "/r/", Idempotent: !s.unsafe, Timeout: 150, Objective: 50, MaxAttempts: 2,
			Targets: []chivehillcatalog.Target{{Service: "s", Weight: 1}}, Regions: chivehillregion.Everywhere(),
		}},
	}}})
	catalog.Apply(chivehillcatalog.Servers, update)
	if !s.unconfigured {
		catalog.Apply(chivehillcatalog.Configurations, chivehillcatalog.Update{Full: true, AsOf: 9, Records: []chivehillcatalog.Record{{Name: "main", Revision: 1}}})
	}
	asked := 0
	responsible := func(chivehillcatalog.Server) bool {
		asked++
		return asked == 1
	}
	place := chivehillplace.Place{Domain: "e1", Region: "e", Regions: map[chivehillid.DomainID]chivehillid.RegionID{"e1": "e"}}
	table := chivehillplace.NewTable(place, clock, responsible, zerolog.Nop())
	table.Sync(catalog.View)
	return New(Options{
		Beliefs: testBeliefs{catalog: catalog, confirmed: !s.unconfirmed}, Table: table, Servers: NewServers(testDialect{}),
		Budget: NewRetryBudget(1, 100, 1), Suspects: chivehillsuspect.New(), Self: "self", Suspected: func(chivehillid.Fingerprint, int) {},
		Dialect: testDialect{}, Clock: clock, Metrics: chivehillmetrics.NewGateway(), Log: zerolog.Nop(),
	})
}

// send brings one request to a gateway in the situation.
func (s situation) send(t *testing.T) (*Gateway, chivehillfront.Response) {
	t.Helper()
	g := s.gateway(t)
	path := s.path
	if path == "" {
		path = "/r/x"
	}
	r := &chivehillfront.Request{Method: "GET", URI: path, Path: path, Host: "h", Header: http.Header{"Id": {"a"}}, Arrived: g.Clock.Now()}
	if s.late {
		r.Arrived -= 150
	}
	if s.suspect {
		for range chivehillsuspect.MostIdempotent {
			g.Suspects.Record(g.Clock.Now(), fingerprint(r), "self")
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if s.left {
		cancel()
	}
	return g, g.Serve(ctx, r)
}

type scripts = []func(*scripted, net.Conn)

var (
	refused = says(http.StatusServiceUnavailable, "Not-Executed: 1\r\n")
	failed  = says(http.StatusInternalServerError, "Signed: 1\r\n")
	moved   = says(http.StatusMisdirectedRequest, "")
	spoiled = says(http.StatusOK, "")
	sound   = says(http.StatusOK, "Signed: 1\r\n")
)

// refusals brings each refusal about.
var refusals = []struct {
	with    situation
	reason  chivehillreason.Reason
	outcome chivehillreason.Outcome
	status  int
}{
	{situation{path: "/other/"}, chivehillreason.NoRoute, chivehillreason.NotRun, 404},
	{situation{unconfigured: true}, chivehillreason.ConfigMissing, chivehillreason.NotRun, 503},
	{situation{path: "/other/", unconfirmed: true}, chivehillreason.ConfigUnconfirmed, chivehillreason.NotRun, 503},
	{situation{suspect: true, servers: scripts{sound}}, chivehillreason.Suspect, chivehillreason.NotRun, 503},
	{situation{late: true, servers: scripts{sound}}, chivehillreason.DeadlinePassed, chivehillreason.NotRun, 503},
	{situation{left: true, servers: scripts{sound}}, chivehillreason.CallerGone, chivehillreason.NotRun, 503},
	{situation{}, chivehillreason.NoServer, chivehillreason.NotRun, 503},
	{situation{cold: true, health: "Cold: 1\r\n", servers: scripts{sound}}, chivehillreason.NoServer, chivehillreason.NotRun, 503},
	{situation{servers: scripts{refused, refused}}, chivehillreason.ServerRefused, chivehillreason.NotRun, 503},
	{situation{unsafe: true, servers: scripts{refused, refused}}, chivehillreason.ServerRefused, chivehillreason.NotRun, 503},
	{situation{health: "Connection: close\r\n", servers: scripts{sound}}, chivehillreason.ServerUnreachable, chivehillreason.NotRun, 503},
	{situation{unsafe: true, servers: scripts{moved}}, chivehillreason.ServerMoved, chivehillreason.NotRun, 503},
	{situation{unsafe: true, servers: scripts{breaks}}, chivehillreason.ServerBroke, chivehillreason.Unknown, 502},
	{situation{unsafe: true, servers: scripts{silent}}, chivehillreason.ServerSilent, chivehillreason.Unknown, 504},
	{situation{unsafe: true, servers: scripts{spoiled}}, chivehillreason.ServerSpoiled, chivehillreason.Unknown, 502},
	{situation{servers: scripts{failed}}, chivehillreason.ServerFailed, chivehillreason.Unknown, 502},
}

// retries brings each further attempt about.
var retries = []struct {
	with   situation
	reason chivehillreason.Reason
}{
	{situation{servers: scripts{refused, refused}}, chivehillreason.ServerRefused},
	{situation{unsafe: true, servers: scripts{moved, moved}}, chivehillreason.ServerMoved},
	{situation{health: "Connection: close\r\n", servers: scripts{sound}}, chivehillreason.ServerUnreachable},
	{situation{servers: scripts{breaks, breaks}}, chivehillreason.ServerBroke},
	{situation{servers: scripts{spoiled, spoiled}}, chivehillreason.ServerSpoiled},
	{situation{servers: scripts{failed, failed}}, chivehillreason.ServerFailed},
	{situation{cold: true, health: "Cold: 1\r\n", servers: scripts{sound}}, chivehillreason.NoServer},
}

func TestRefusals(t *testing.T) {
	for _, tt := range refusals {
		g, response := tt.with.send(t)
		about := qt.Commentf("%s %+v", tt.reason, tt.with)
		qt.Check(t, response.Status, qt.Equals, tt.status, about)
		qt.Check(t, testutil.ToFloat64(g.Metrics.Refusals.WithLabelValues(string(tt.reason), string(tt.outcome))), qt.Equals, 1.0, about)
		qt.Check(t, response.Header.Get("Retry-After") != "", qt.Equals, tt.status == http.StatusServiceUnavailable, about)
	}
}

func TestRetries(t *testing.T) {
	for _, tt := range retries {
		g, _ := tt.with.send(t)
		about := qt.Commentf("%s %+v", tt.reason, tt.with)
		qt.Check(t, testutil.ToFloat64(g.Metrics.Retries.WithLabelValues(string(tt.reason))) >= 1, qt.IsTrue, about)
		qt.Check(t, slices.Contains(chivehillreason.Retries, tt.reason), qt.IsTrue, about)
	}
}

// TestEachReasonIsBroughtAbout reads which reasons the package uses: a new one
// needs a row.
func TestEachReasonIsBroughtAbout(t *testing.T) {
	var covered []string
	for _, tt := range refusals {
		covered = append(covered, string(tt.reason))
	}
	page, err := os.ReadFile("../../docs/operations/refusals.md")
	qt.Assert(t, err, qt.IsNil)
	for _, name := range usedReasons(t) {
		qt.Check(t, slices.Contains(covered, name), qt.IsTrue, qt.Commentf("%s has no row in refusals", name))
		qt.Check(t, strings.Contains(string(page), "`"+name+"`"), qt.IsTrue, qt.Commentf("%s is not told in docs/operations/refusals.md", name))
	}
}

// usedReasons returns the reasons that the files of this package name.
func usedReasons(t *testing.T) []string {
	t.Helper()
	entries, err := os.ReadDir(".")
	qt.Assert(t, err, qt.IsNil)
	var names []string
	for _, e := range entries {
		if !strings.HasSuffix(e.Name(), ".go") || strings.HasSuffix(e.Name(), "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), e.Name(), nil, 0)
		qt.Assert(t, err, qt.IsNil)
		ast.Inspect(file, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if x, ok := s.X.(*ast.Ident); ok && x.Name == "chivehillreason" && slices.Contains(chivehillreason.Refusals, chivehillreason.Reason(kebab(s.Sel.Name))) {
				names = append(names, kebab(s.Sel.Name))
			}
			return true
		})
	}
	qt.Assert(t, len(names) > 10, qt.IsTrue)
	return names
}

func kebab(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
