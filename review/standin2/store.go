//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	rev     uint64
}

// listPage is the most items of one answer of a list. The pages name about 500.
const listPage = 500

// store is a stand-in of the platform's store: objects by kind and name, one revision counter,
// lists, watches and conditional changes. Its only fault is silence to some callers.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	events  []event
	changed chan struct{}
	// silentTo holds the callers that get no answers, and watchers the callers of the watches
	// of config that wait now.
	silentTo map[string]bool
	watchers map[string]int
}

func newStore() *store {
	return &store{
		rev: 100, objects: make(map[string]map[string]object), changed: make(chan struct{}),
		silentTo: make(map[string]bool), watchers: make(map[string]int),
	}
}

// put writes an object as the operator or a server does. A nil spec or status stays as it is. A
// write that changes nothing does not raise the revision.
func (s *store) put(kind, name string, spec, status any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found {
		o.Metadata = metadata{Name: name, Finalizers: []string{}}
		o.Spec, o.Status = json.RawMessage("null"), json.RawMessage("null")
	}
	if spec != nil {
		o.Spec = encode(spec)
	}
	if status != nil {
		o.Status = encode(status)
	}
	s.set(kind, o)
}

func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sorted(kind)
}

func (s *store) delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// callerOf returns the name by which a host calls the store.
func callerOf(r *http.Request) string { return r.Header.Get("User-Agent") }

// beSilentTo answers no calls of some callers from now on, nor those that wait.
func (s *store) beSilentTo(callers []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.silentTo)
	for _, c := range callers {
		s.silentTo[c] = true
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isSilentTo(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentTo[callerOf(r)]
}

// configWatchers returns the callers whose watches of config wait.
func (s *store) configWatchers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var callers []string
	for c, n := range s.watchers {
		if n > 0 {
			callers = append(callers, c)
		}
	}
	sort.Strings(callers)
	return callers
}

func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func (s *store) set(kind string, o object) object {
	old, found := s.objects[kind][o.Metadata.Name]
	if found && bytes.Equal(old.Spec, o.Spec) && bytes.Equal(old.Status, o.Status) {
		return old
	}
	s.rev++
	o.Metadata.Rev = s.rev
	if !found {
		o.Metadata.Created = s.rev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(event{Object: o, kind: kind, rev: s.rev})
	return o
}

func (s *store) remove(kind, name string) {
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	s.rev++
	delete(s.objects[kind], name)
	s.record(event{Object: o, Deleted: true, kind: kind, rev: s.rev})
}

func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) sorted(kind string) []string {
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP handles a call of a host.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.isSilentTo(r) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch r.Method {
	case http.MethodGet:
		switch {
		case r.URL.Query().Has("watch"):
			s.watch(w, r, kind)
		case name == "":
			s.list(w, r, kind)
		default:
			s.get(w, kind, name)
		}
	case http.MethodPost, http.MethodPut, http.MethodDelete:
		s.change(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []object{}, false
	for _, name := range s.sorted(kind) {
		if name <= r.URL.Query().Get("after") {
			continue
		}
		if more = len(items) == listPage; more {
			break
		}
		items = append(items, s.objects[kind][name])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if kind == "config" {
		s.mu.Lock()
		s.watchers[callerOf(r)]++
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			s.watchers[callerOf(r)]--
			s.mu.Unlock()
		}()
	}
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > since {
				events = append(events, e)
			}
		}
		asOf, changed, silent := s.rev, s.changed, s.silentTo[callerOf(r)]
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name, isStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	old, found := s.objects[kind][name]
	condition, _ := strconv.ParseUint(r.URL.Query().Get("rev"), 10, 64)
	condition = max(condition, sent.Metadata.Rev)
	switch {
	case r.Method == http.MethodPost && found, found && condition != 0 && condition != old.Metadata.Rev:
		answer(w, http.StatusConflict, old)
		return
	case r.Method != http.MethodPost && !found:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switch {
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		answer(w, http.StatusOK, old)
	case r.Method == http.MethodPost:
		sent.Metadata = metadata{Name: name, Finalizers: []string{}}
		answer(w, http.StatusOK, s.set(kind, sent))
	case isStatus:
		old.Status = sent.Status
		answer(w, http.StatusOK, s.set(kind, old))
	default:
		old.Spec = sent.Spec
		answer(w, http.StatusOK, s.set(kind, old))
	}
}
