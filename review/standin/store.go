package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	rev     uint64
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It keeps
// its whole history.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	history []event
	changed chan struct{}
	// answerAfter is how long the store takes for an answer.
	answerAfter time.Duration
	log         func(format string, args ...any)
}

func newStore(log func(string, ...any)) *store {
	return &store{rev: 1, objects: make(map[string]map[string]object), changed: make(chan struct{}), answerAfter: 4 * time.Millisecond, log: log}
}

func (s *store) serve() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String(), nil
}

func (s *store) setAnswerAfter(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerAfter = d
}

func raw(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// put is a write of the operator or of a server.
func (s *store) put(kind, name string, spec, status any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, object{Metadata: metadata{Name: name, Finalizers: []string{}}, Spec: raw(spec), Status: raw(status)})
}

// remove is a removal by the operator or a server.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unset(kind, name)
}

// sorted returns the names of a kind. The caller holds s.mu.
func (s *store) sorted(kind string) []string {
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// set stores an object. The caller holds s.mu.
func (s *store) set(kind string, o object) object {
	old, found := s.objects[kind][o.Metadata.Name]
	if found && string(old.Spec) == string(o.Spec) && string(old.Status) == string(o.Status) {
		return old
	}
	s.rev++
	o.Metadata.Rev, o.Metadata.Created = s.rev, s.rev
	if found {
		o.Metadata.Created = old.Metadata.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, event{Object: o, kind: kind, rev: s.rev})
	s.wake()
	return o
}

func (s *store) unset(kind, name string) {
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	o.Metadata.Rev = s.rev
	s.history = append(s.history, event{Object: o, Deleted: true, kind: kind, rev: s.rev})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) delay() {
	s.mu.Lock()
	d := s.answerAfter
	s.mu.Unlock()
	time.Sleep(d)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := strings.Split(path, "/")
	kind := parts[0]
	var o object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	var status int
	var body any
	s.mu.Lock()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1:
		status, body = s.list(kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		status, body = http.StatusNotFound, map[string]any{}
		if found, ok := s.objects[kind][parts[1]]; ok {
			status, body = http.StatusOK, found
		}
	case r.Method == http.MethodPost:
		if old, found := s.objects[kind][o.Metadata.Name]; found {
			status, body = http.StatusConflict, old
			break
		}
		status, body = http.StatusOK, s.set(kind, o)
	case r.Method == http.MethodPut && len(parts) == 2:
		old, found := s.objects[kind][parts[1]]
		switch {
		case !found:
			status, body = http.StatusNotFound, map[string]any{}
		case o.Metadata.Rev != 0 && o.Metadata.Rev != old.Metadata.Rev:
			status, body = http.StatusConflict, old
		default:
			o.Metadata.Name, o.Status = parts[1], old.Status
			status, body = http.StatusOK, s.set(kind, o)
		}
	case r.Method == http.MethodDelete && len(parts) == 2:
		old, found := s.objects[kind][parts[1]]
		rev, _ := strconv.ParseUint(r.URL.Query().Get("rev"), 10, 64)
		switch {
		case !found:
			status, body = http.StatusNotFound, map[string]any{}
		case rev != 0 && rev != old.Metadata.Rev:
			status, body = http.StatusConflict, old
		default:
			s.unset(kind, parts[1])
			status, body = http.StatusOK, old
		}
	default:
		status, body = http.StatusNotFound, map[string]any{}
	}
	s.mu.Unlock()
	s.delay()
	reply(w, status, body)
}

// list returns a page of at most 500 objects. The caller holds s.mu.
func (s *store) list(kind, after string) (int, any) {
	items, more := []object{}, false
	for _, name := range s.sorted(kind) {
		if name <= after {
			continue
		}
		if len(items) == 500 {
			more = true
			break
		}
		items = append(items, s.objects[kind][name])
	}
	return http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": s.rev}
}

// watch answers with the events after a revision as soon as there is one. The events are those
// up to the moment at which the store makes the answer; the answer arrives answerAfter later.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.rev > since {
				events = append(events, e)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			if kind == "evacuations" && len(events) > 0 {
				text := ""
				for _, e := range events {
					text += " " + map[bool]string{false: "set ", true: "removed "}[e.Deleted] + e.Object.Metadata.Name + "@" + strconv.FormatUint(e.rev, 10)
				}
				s.log("store: watch of evacuations by %s since %d is answered with%s, as of %d", r.UserAgent(), since, text, asOf)
			}
			s.delay()
			reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
