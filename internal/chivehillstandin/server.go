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

// HeaderCrash marks a request that breaks the server that runs it.
const HeaderCrash = "Standin-Crash"

// ServerOptions describe a server.
type ServerOptions struct {
	Name  string
	Slots int
	// MeanMs is the mean service time. Times are log-normal with a heavy tail.
	MeanMs float64
	// Sigma is the spread of the logarithm of the service time.
	Sigma float64
	// ColdConcurrency is the number of requests that the server bears in a cold start.
	ColdConcurrency int
	// ColdSuccesses is the number of served requests for each further one that it bears.
	ColdSuccesses int
	// Cold starts the server cold.
	Cold bool
	// HideCold keeps the server from reporting that it is cold.
	HideCold bool
	Seed     uint64
}

// ServerFaults are the faults that a server can be told to show.
type ServerFaults struct {
	Draining bool `json:"draining"`
	FailFast bool `json:"fail-fast"`
	// SlowFactor multiplies service times.
	SlowFactor float64 `json:"slow-factor"`
	// GoCold turns the server cold at once.
	GoCold bool `json:"go-cold"`
	// CutAnswers breaks answers off in the middle.
	CutAnswers bool `json:"cut-answers"`
	// Out marks the time from which new work is counted as unwanted.
	Out bool `json:"out"`
}

// Record is what a server truly ran.
type Record struct {
	Name    string `json:"name"`
	Started int    `json:"started"`
	Ended   int    `json:"ended"`
	Shed    int    `json:"shed"`
	// Runs counts runs by key.
	Runs map[string]int `json:"runs"`
	// ByID counts runs by request id.
	ByID map[string]int `json:"by-id"`
	// ColdOverload counts requests beyond what the server bore while cold.
	ColdOverload int `json:"cold-overload"`
	// ColdWork counts requests that were started while cold.
	ColdWork int `json:"cold-work"`
	// AfterDrain counts requests that came after the server's first drain signal was answered.
	AfterDrain int `json:"after-drain"`
	// AfterOut counts requests that came while the server was marked out.
	AfterOut int `json:"after-out"`
	Probes   int `json:"probes"`
	Crashes  int `json:"crashes"`
	// Tenants lists the tenants whose requests arrived.
	Tenants map[string]int `json:"tenants"`
}

// Server is a stand-in for a server in an upstream pool.
type Server struct {
	options ServerOptions

	mu      sync.Mutex
	faults  ServerFaults
	record  Record
	random  *rand.Rand
	running int
	cold    bool
	// coldServed counts requests served since the cold start.
	coldServed int
	brokenTill time.Time
	slots      chan struct{}
}

// brokenTime is the time for which a server that broke refuses everything.
const brokenTime = 300 * time.Millisecond

// NewServer returns a server.
func NewServer(o ServerOptions) *Server {
	s := &Server{options: o, cold: o.Cold, random: rand.New(rand.NewPCG(o.Seed, 1)), slots: make(chan struct{}, o.Slots)}
	s.record = Record{Name: o.Name, Runs: make(map[string]int), ByID: make(map[string]int), Tenants: make(map[string]int)}
	return s
}

// Handler returns the server, and its control under /control/.
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
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("/", s.serve)
	return mux
}

// SetFaults replaces the faults shown.
func (s *Server) SetFaults(f ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.GoCold {
		s.goCold()
	}
}

func (s *Server) goCold() {
	s.cold = true
	s.coldServed = 0
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Probes++
	s.report(w)
	if time.Now().Before(s.brokenTill) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// report sets the header in which the server reports its state.
func (s *Server) report(w http.ResponseWriter) {
	switch {
	case s.faults.Draining:
		w.Header().Set(chivehillheader.ServerState, chivehillheader.StateDraining)
	case s.cold && !s.options.HideCold:
		w.Header().Set(chivehillheader.ServerState, chivehillheader.StateCold)
	}
}

// bears returns how many requests the server bears now.
func (s *Server) bears() int {
	if !s.cold {
		return s.options.Slots
	}
	return min(s.options.Slots, s.options.ColdConcurrency+s.coldServed/max(1, s.options.ColdSuccesses))
}

// refuse answers that the request was not started.
func refuse(w http.ResponseWriter) {
	w.Header().Set(chivehillheader.NotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.admit(w, r) {
		return
	}
	defer s.leave()
	if r.Header.Get(HeaderCrash) != "" {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	s.slots <- struct{}{}
	took := s.work(r)
	<-s.slots
	s.answer(w, r, body, took)
}

// admit counts an arrival and reports whether the request is started.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Tenants[r.Header.Get(chivehillheader.Tenant)]++
	if s.faults.Out {
		s.record.AfterOut++
	}
	s.report(w)
	switch {
	case s.faults.Draining:
		s.record.AfterDrain++
		refuse(w)
		return false
	case time.Now().Before(s.brokenTill), s.faults.FailFast:
		w.WriteHeader(http.StatusInternalServerError)
		return false
	case s.running >= 2*s.options.Slots+2:
		s.record.Shed++
		refuse(w)
		return false
	}
	if s.cold {
		s.record.ColdWork++
		if s.running >= s.bears() {
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

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.record.Ended++
	if s.cold {
		s.coldServed++
		s.cold = s.bears() < s.options.Slots
	}
}

func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Crashes++
	s.brokenTill = time.Now().Add(brokenTime)
	s.goCold()
}

// work takes the service time, or less if the caller gives up a request
// without a key.
func (s *Server) work(r *http.Request) time.Duration {
	s.mu.Lock()
	took := s.options.MeanMs * math.Exp(s.options.Sigma*s.random.NormFloat64()-s.options.Sigma*s.options.Sigma/2)
	if s.faults.SlowFactor > 0 {
		took *= s.faults.SlowFactor
	}
	s.mu.Unlock()
	d := time.Duration(took * float64(time.Millisecond))
	t := time.NewTimer(d)
	defer t.Stop()
	if r.Header.Get(chivehillheader.Key) != "" {
		<-t.C
		return d
	}
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
	return d
}

// ServerAnswer is the body of an answer. It proves whose answer it is.
type ServerAnswer struct {
	Server    string `json:"server"`
	RequestID string `json:"request-id"`
	Key       string `json:"key"`
	BodyHash  string `json:"body-hash"`
	Pad       string `json:"pad"`
}

// BodyHash returns the hash that a server puts into its answer.
func BodyHash(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, body []byte, _ time.Duration) {
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	data, err := json.Marshal(ServerAnswer{
		Server: s.options.Name, RequestID: r.Header.Get(chivehillheader.RequestID), Key: r.Header.Get(chivehillheader.Key),
		BodyHash: BodyHash(body), Pad: strings.Repeat("x", max(0, size)),
	})
	if err != nil {
		return
	}
	s.mu.Lock()
	cut := s.faults.CutAnswers
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if cut {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}
