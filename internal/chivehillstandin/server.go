package chivehillstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivehill/chivehill/internal/chivehillheader"
)

// HeaderCrash marks a request that crashes the server that runs it.
const HeaderCrash = "Standin-Crash"

// ServerOptions configure a fake server.
type ServerOptions struct {
	Name string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// MeanMs is the mean service time. Service times are log-normally distributed,
	// which gives them a heavy tail.
	MeanMs float64
	// Sigma is the standard deviation of the logarithm of the service time.
	Sigma float64
	// ColdConcurrency is the concurrency limit of the server right after a cold start.
	ColdConcurrency int
	// ColdSuccesses is the number of served requests that raise this limit by one.
	ColdSuccesses int
	// Cold starts the server cold.
	Cold bool
	// HideCold omits the header in which the server reports that it is cold.
	HideCold bool
	// Seed is the seed of the random service times.
	Seed uint64
}

// ServerFaults are the faults that a fake server injects.
type ServerFaults struct {
	// Draining rejects new requests and reports the server as draining.
	Draining bool `json:"draining"`
	// FailFast makes the server respond to each request with status 500 at once.
	FailFast bool `json:"fail-fast"`
	// SlowFactor multiplies service times.
	SlowFactor float64 `json:"slow-factor"`
	// GoCold puts the server back into a cold start.
	GoCold bool `json:"go-cold"`
	// CutAnswers aborts the connection after half of the response body.
	CutAnswers bool `json:"cut-answers"`
	// Out counts each request that arrives from now on in Record.AfterOut.
	Out bool `json:"out"`
}

// Record counts the requests that a fake server received and ran.
type Record struct {
	Name    string `json:"name"`
	Started int    `json:"started"`
	Ended   int    `json:"ended"`
	// Shed counts requests that were rejected because the queue was full.
	Shed int `json:"shed"`
	// Runs counts runs by idempotency key.
	Runs map[string]int `json:"runs"`
	// ByID counts runs by request ID.
	ByID map[string]int `json:"by-id"`
	// ColdOverload counts requests beyond the concurrency limit of the cold server.
	ColdOverload int `json:"cold-overload"`
	// ColdWork counts requests that were started while the server was cold.
	ColdWork int `json:"cold-work"`
	// AfterDrain counts requests that arrived while the server was draining.
	AfterDrain int `json:"after-drain"`
	// AfterOut counts requests that arrived while ServerFaults.Out was set.
	AfterOut int `json:"after-out"`
	// Probes counts health checks.
	Probes  int `json:"probes"`
	Crashes int `json:"crashes"`
	// Tenants counts the requests that arrived, by tenant.
	Tenants map[string]int `json:"tenants"`
}

// Server is a fake server of an upstream pool.
type Server struct {
	options ServerOptions

	mu     sync.Mutex
	faults ServerFaults
	record Record
	random *rand.Rand
	// running counts admitted requests, including those that wait for a slot.
	running int
	cold    bool
	// coldServed counts requests served since the cold start.
	coldServed int
	// unavailableUntil is the end of the downtime after a crash.
	unavailableUntil time.Time
	slots            chan struct{}
}

// crashDowntime is how long a server fails all requests and health checks after a
// crash.
const crashDowntime = 300 * time.Millisecond

// NewServer returns a fake server without faults.
func NewServer(o ServerOptions) *Server {
	s := &Server{options: o, cold: o.Cold, random: rand.New(rand.NewPCG(o.Seed, 1)), slots: make(chan struct{}, o.Slots)}
	s.record = Record{Name: o.Name, Runs: make(map[string]int), ByID: make(map[string]int), Tenants: make(map[string]int)}
	return s
}

// Handler serves the requests of the upstream pool, and a control API under
// /control/.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f ServerFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	mux.HandleFunc("GET /control/record", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(s.record)
	})
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.GoCold {
		s.startCold()
	}
}

// startCold begins a cold start. The caller holds s.mu.
func (s *Server) startCold() {
	s.cold = true
	s.coldServed = 0
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Probes++
	s.setStateHeader(w)
	if time.Now().Before(s.unavailableUntil) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// setStateHeader sets the header in which the server reports its state. The caller
// holds s.mu.
func (s *Server) setStateHeader(w http.ResponseWriter) {
	switch {
	case s.faults.Draining:
		w.Header().Set(chivehillheader.ServerState, chivehillheader.StateDraining)
	case s.cold && !s.options.HideCold:
		w.Header().Set(chivehillheader.ServerState, chivehillheader.StateCold)
	}
}

// concurrencyLimit returns how many requests the server can handle now without
// overload. The caller holds s.mu.
func (s *Server) concurrencyLimit() int {
	if !s.cold {
		return s.options.Slots
	}
	return min(s.options.Slots, s.options.ColdConcurrency+s.coldServed/max(1, s.options.ColdSuccesses))
}

// rejectNotRun responds that the request was not run.
func rejectNotRun(w http.ResponseWriter) {
	w.Header().Set(chivehillheader.NotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.admit(w, r) {
		return
	}
	defer s.release()
	if r.Header.Get(HeaderCrash) != "" {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	s.slots <- struct{}{}
	serviceTime := s.simulateWork(r)
	<-s.slots
	s.writeResponse(w, r, body, serviceTime)
}

// admit counts a request and reports whether the server runs it; otherwise it has
// written the response.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Tenants[r.Header.Get(chivehillheader.Tenant)]++
	if s.faults.Out {
		s.record.AfterOut++
	}
	s.setStateHeader(w)
	switch {
	case s.faults.Draining:
		s.record.AfterDrain++
		rejectNotRun(w)
		return false
	case time.Now().Before(s.unavailableUntil), s.faults.FailFast:
		w.WriteHeader(http.StatusInternalServerError)
		return false
	case s.running >= 2*s.options.Slots+2:
		s.record.Shed++
		rejectNotRun(w)
		return false
	}
	if s.cold {
		s.record.ColdWork++
		if s.running >= s.concurrencyLimit() {
			s.record.ColdOverload++
		}
	}
	s.running++
	s.record.Started++
	s.record.ByID[r.Header.Get(chivehillheader.RequestID)]++
	if key := r.Header.Get(chivehillheader.Key); key != "" {
		s.record.Runs[key]++
	}
	return true
}

// release ends an admitted request. A cold server whose concurrency limit has
// reached the number of slots is warm from then on.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.record.Ended++
	if s.cold {
		s.coldServed++
		s.cold = s.concurrencyLimit() < s.options.Slots
	}
}

// crash starts the downtime of the server, which is cold afterwards.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Crashes++
	s.unavailableUntil = time.Now().Add(crashDowntime)
	s.startCold()
}

// simulateWork waits for a random service time and returns it. A request without
// an idempotency key ends early if its caller cancels it.
func (s *Server) simulateWork(r *http.Request) time.Duration {
	s.mu.Lock()
	serviceMs := s.options.MeanMs * math.Exp(s.options.Sigma*s.random.NormFloat64()-s.options.Sigma*s.options.Sigma/2)
	if s.faults.SlowFactor > 0 {
		serviceMs *= s.faults.SlowFactor
	}
	s.mu.Unlock()
	serviceTime := time.Duration(serviceMs * float64(time.Millisecond))
	t := time.NewTimer(serviceTime)
	defer t.Stop()
	if r.Header.Get(chivehillheader.Key) != "" {
		<-t.C
		return serviceTime
	}
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
	return serviceTime
}

// ServerAnswer is the body of a response. It identifies the request that it
// belongs to, so that callers detect a response to another request.
type ServerAnswer struct {
	Server    string `json:"server"`
	RequestID string `json:"request-id"`
	Key       string `json:"key"`
	BodyHash  string `json:"body-hash"`
	Pad       string `json:"pad"`
}

// BodyHash returns the hash of a request body that a server puts into its response.
func BodyHash(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// writeResponse writes the response, or half of it if the fault CutAnswers is set.
// The query parameter size asks for padding of that many bytes.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, body []byte, _ time.Duration) {
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	data, err := json.Marshal(ServerAnswer{
		Server: s.options.Name, RequestID: r.Header.Get(chivehillheader.RequestID), Key: r.Header.Get(chivehillheader.Key),
		BodyHash: BodyHash(body), Pad: strings.Repeat("x", max(0, size)),
	})
	if err != nil {
		return
	}
	s.mu.Lock()
	truncate := s.faults.CutAnswers
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if truncate {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}
