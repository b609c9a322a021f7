// Package chivehillstandin holds small stand-ins for the outside systems, for
// tests and experiments: the platform's store and host list, servers, a
// faulty link and a load of callers.
package chivehillstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillstore"
)

// StoreFaults are the faults that a store can be told to show.
type StoreFaults struct {
	// Down makes the store refuse all calls.
	Down bool `json:"down"`
	// SlowMs delays each call.
	SlowMs int `json:"slow-ms"`
	// LoseAnswers makes writes take effect without an answer.
	LoseAnswers bool `json:"lose-answers"`
}

// StoreCounts counts calls. A waiting watch counts as one read.
type StoreCounts struct {
	Reads     int `json:"reads"`
	Writes    int `json:"writes"`
	Conflicts int `json:"conflicts"`
	Limited   int `json:"limited"`
}

// storedObject is one object with its version.
type storedObject struct {
	version uint64
	data    []byte
	// changed is closed at the next change.
	changed chan struct{}
}

// Store is a stand-in for the platform's object store.
type Store struct {
	mu      sync.Mutex
	objects map[string]*storedObject
	faults  StoreFaults
	counts  StoreCounts
	// second is the present second, for the rate limits.
	second int64
	reads  int
	writes int
	// Limits in calls per second.
	maxReads  int
	maxWrites int
}

// Rates of the platform's store.
const (
	storeReadsPerSecond  = 2000
	storeWritesPerSecond = 300
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: make(map[string]*storedObject), maxReads: storeReadsPerSecond, maxWrites: storeWritesPerSecond}
}

// Handler returns the store's protocol, and its control under /control/.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{name}", s.get)
	mux.HandleFunc("PUT /v1/objects/{name}", s.put)
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f StoreFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Counts())
	})
	return mux
}

// SetFaults replaces the faults shown.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Object returns the data of an object.
func (s *Store) Object(name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[name]; o != nil {
		return o.data
	}
	return nil
}

// admit applies faults and rate limits. It reports whether the call goes on.
func (s *Store) admit(w http.ResponseWriter, write bool) (StoreFaults, bool) {
	s.mu.Lock()
	faults := s.faults
	limited := s.overLimit(write)
	s.mu.Unlock()
	if faults.SlowMs > 0 {
		time.Sleep(time.Duration(faults.SlowMs) * time.Millisecond)
	}
	switch {
	case faults.Down:
		http.Error(w, "store is down", http.StatusServiceUnavailable)
	case limited:
		http.Error(w, "rate limit", http.StatusTooManyRequests)
	default:
		return faults, true
	}
	return faults, false
}

// overLimit counts a call. The caller holds s.mu.
func (s *Store) overLimit(write bool) bool {
	if now := time.Now().Unix(); now != s.second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	if write {
		s.counts.Writes++
		s.writes++
	} else {
		s.counts.Reads++
		s.reads++
	}
	over := s.reads > s.maxReads || s.writes > s.maxWrites
	if over {
		s.counts.Limited++
	}
	return over
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.admit(w, false); !ok {
		return
	}
	name := r.PathValue("name")
	if after := r.URL.Query().Get("after"); after != "" {
		s.await(r, name, after)
	}
	s.mu.Lock()
	o := s.objects[name]
	down := s.faults.Down
	s.mu.Unlock()
	switch {
	case down:
		http.Error(w, "store is down", http.StatusServiceUnavailable)
	case o == nil:
		http.Error(w, "no such object", http.StatusNotFound)
	case r.URL.Query().Get("after") == strconv.FormatUint(o.version, 10):
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set(chivehillstore.HeaderVersion, strconv.FormatUint(o.version, 10))
		_, _ = w.Write(o.data)
	}
}

// await waits until the object is newer than a version, or the wait is over.
func (s *Store) await(r *http.Request, name, after string) {
	wait, err := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil {
		return
	}
	s.mu.Lock()
	o := s.objects[name]
	s.mu.Unlock()
	if o == nil || strconv.FormatUint(o.version, 10) != after {
		return
	}
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	select {
	case <-o.changed:
	case <-t.C:
	case <-r.Context().Done():
	}
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	faults, ok := s.admit(w, true)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, chivehillstore.MaxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	expect, err := strconv.ParseUint(r.Header.Get(chivehillstore.HeaderIfVersion), 10, 64)
	if err != nil {
		http.Error(w, "If-Version header is missing", http.StatusBadRequest)
		return
	}
	version, ok := s.replace(r.PathValue("name"), data, expect)
	if faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(chivehillstore.HeaderVersion, strconv.FormatUint(version, 10))
	if !ok {
		http.Error(w, "version differs", http.StatusPreconditionFailed)
	}
}

// replace stores data if the version is still expect.
func (s *Store) replace(name string, data []byte, expect uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[name]
	if old == nil {
		old = &storedObject{changed: make(chan struct{})}
	}
	if old.version != expect {
		s.counts.Conflicts++
		return old.version, false
	}
	s.objects[name] = &storedObject{version: expect + 1, data: data, changed: make(chan struct{})}
	close(old.changed)
	return expect + 1, true
}
