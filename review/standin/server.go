package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	id, server, method, uri string
	began                   time.Time
	ended                   time.Time
	// how is how the run ended: "done", "cut" (the channel closed) or "" (still running).
	how string
}

// server is a stand-in of an upstream server, as PROTOCOL.md describes it. It runs slots
// requests concurrently and refuses others while its queue is full.
type server struct {
	id, service, zone string
	slots             int
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration
	// status returns the status of the response to a request that has run, 200 if nil.
	status func(r *http.Request) int
	// lose reports whether the answer to a request that has run is lost: the channel is reset.
	lose func(id string) bool
	log  func(format string, args ...any)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	waiting  int
	free     chan struct{}
	runs     []*run
}

const queueLength = 8

func (s *server) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.conns, s.free = l, make(map[net.Conn]bool), make(chan struct{}, s.slots)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

// crash closes the listener and resets all channels.
func (s *server) crash() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (s *server) register(st *store) {
	st.put("servers", s.id, map[string]any{
		"address": s.listener.Addr().String(), "born": 1765000000000,
		"info": map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
	}, map[string]any{"state": "ready", "sequence": 1, "warmupLeftS": 0})
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		if !s.handle(c, reader, r, body) {
			return
		}
	}
}

func (s *server) handle(c net.Conn, reader *bufio.Reader, r *http.Request, size int64) bool {
	id := r.Header.Get("X-Chivehill-Request-Id")
	if r.URL.Path == "/healthz" {
		return s.answer(c, id, http.StatusOK, nil, "")
	}
	if expect := r.Header.Get("X-Chivehill-Expect-Instance"); expect != "" && expect != s.id {
		return s.answer(c, id, http.StatusMisdirectedRequest, nil, "X-Chivehill-Not-Executed: 1\r\n")
	}
	s.mu.Lock()
	if s.waiting >= queueLength {
		s.mu.Unlock()
		return s.answer(c, id, http.StatusServiceUnavailable, nil, "X-Chivehill-Not-Executed: 1\r\n")
	}
	s.waiting++
	s.mu.Unlock()
	s.free <- struct{}{}
	this := &run{id: id, server: s.id, method: r.Method, uri: r.RequestURI, began: time.Now()}
	s.mu.Lock()
	s.waiting--
	s.running++
	s.runs = append(s.runs, this)
	s.mu.Unlock()
	s.log("server %s (%s, %s) begins to run %s %s, id %s, %d bytes of body", s.id, s.service, s.zone, r.Method, r.RequestURI, id, size)
	err := waitOrCut(c, reader, s.work(r))
	s.mu.Lock()
	s.running--
	this.ended, this.how = time.Now(), "done"
	if err != nil {
		this.how = "cut"
	}
	s.mu.Unlock()
	<-s.free
	if err != nil {
		s.log("server %s: the channel of id %s closed after %.2f s of work", s.id, id, time.Since(this.began).Seconds())
		return false
	}
	if s.lose != nil && s.lose(id) {
		s.log("server %s has run id %s; its answer is lost, the channel is reset", s.id, id)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	status, body := http.StatusOK, []byte("answer of "+s.id+" to "+id)
	if s.status != nil {
		status = s.status(r)
	}
	s.log("server %s has run id %s and answers %d", s.id, id, status)
	return s.answer(c, id, status, body, "X-Chivehill-Server-Signature: signed-by-"+s.id+"\r\n")
}

// waitOrCut waits for d. It returns an error as soon as the channel closes.
func waitOrCut(c net.Conn, reader *bufio.Reader, d time.Duration) error {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if e, ok := err.(net.Error); ok && e.Timeout() {
		return nil
	}
	return err
}

func (s *server) answer(c net.Conn, id string, status int, body []byte, more string) bool {
	s.mu.Lock()
	running, waiting := s.running, s.waiting
	s.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nX-Chivehill-Instance-Id: %s\r\nX-Chivehill-Server-Load: %d,%d,%d,100\r\nContent-Length: %s\r\n",
		status, http.StatusText(status), s.id, running, waiting, s.slots, strconv.Itoa(len(body)))
	if id != "" {
		b.WriteString("X-Chivehill-Request-Id: " + id + "\r\n")
	}
	b.WriteString(more + "\r\n")
	_, err := c.Write(append([]byte(b.String()), body...))
	return err == nil
}

// runsOf returns copies of the runs of all servers with the given id.
func runsOf(servers []*server, id string) []run {
	var found []run
	for _, s := range servers {
		s.mu.Lock()
		for _, r := range s.runs {
			if r.id == id {
				found = append(found, *r)
			}
		}
		s.mu.Unlock()
	}
	return found
}
