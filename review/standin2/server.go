//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	beatEvery = 1500 * time.Millisecond
	// queued is how many requests wait for a slot at most.
	queued = 8
)

// arrival is a request that reached a server.
type arrival struct {
	at     time.Time
	server string
	// service is that of the server.
	service string
	id      string
	path    string
	// ran is set if the server began to run the request.
	ran bool
	// crashed is set if that crashed the server, at crashedAt.
	crashed   bool
	crashedAt time.Time
	// answered is set if the server sent its whole answer.
	answered bool
}

// ledger records what reached the servers of a case.
type ledger struct {
	mu       sync.Mutex
	arrivals []*arrival
}

func (l *ledger) add(a *arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

func (l *ledger) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// of returns copies of the arrivals whose path matches.
func (l *ledger) of(match func(path string) bool) []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []arrival
	for _, a := range l.arrivals {
		if match(a.path) {
			found = append(found, *a)
		}
	}
	return found
}

// server is a stand-in of a server: slots, a queue, health checks with its load, a signature on
// what it ran, and an entry in the store that it renews. A request whose path contains "poison"
// crashes it: all its connections are reset, and it is back after downFor under its own id, with
// another start.
type server struct {
	id, service, zone string
	slots             int
	work              time.Duration
	downFor           time.Duration
	coldFor           time.Duration
	store             *store
	ledger            *ledger

	mu        sync.Mutex
	address   string
	listener  net.Listener
	born      int64
	sequence  int
	running   int
	waiting   int
	conns     map[net.Conn]bool
	slot      chan struct{}
	coldUntil time.Time
	ended     bool
}

func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address, s.listener = l.Addr().String(), l
	s.born, s.sequence, s.running, s.waiting = time.Now().UnixMilli(), 0, 0, 0
	s.conns, s.slot, s.ended = make(map[net.Conn]bool), make(chan struct{}, s.slots), false
	run := s.born
	go s.accept(l)
	go s.beat(run)
	return nil
}

// beat writes the server's entry until this run of the server has ended.
func (s *server) beat(run int64) {
	for {
		s.mu.Lock()
		if s.ended || s.born != run {
			s.mu.Unlock()
			return
		}
		s.sequence++
		spec := map[string]any{
			"address": s.address, "born": s.born,
			"info": map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		}
		status := map[string]any{"state": "ready", "sequence": s.sequence, "warmupLeftS": max(0, time.Until(s.coldUntil).Seconds())}
		s.mu.Unlock()
		s.store.put("servers", s.id, spec, status)
		time.Sleep(beatEvery)
	}
}

func (s *server) accept(l net.Listener) {
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
}

// crash ends the server's process, as far as others see, and starts another one later.
func (s *server) crash() {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s.mu.Unlock()
	time.AfterFunc(s.downFor, func() {
		s.mu.Lock()
		s.coldUntil = time.Now().Add(s.coldFor)
		s.mu.Unlock()
		_ = s.start()
	})
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.handle(c, reader, r) {
			return
		}
	}
}

// handle answers one request and reports whether the channel stays open.
func (s *server) handle(c net.Conn, reader *bufio.Reader, r *http.Request) bool {
	if r.URL.Path == healthPath {
		return s.write(c, "", http.StatusOK, "", "")
	}
	id := r.Header.Get("X-Chivehill-Request-Id")
	a := &arrival{at: time.Now(), server: s.id, service: s.service, id: id, path: r.URL.Path}
	s.ledger.add(a)
	if expected := r.Header.Get("X-Chivehill-Expect-Instance"); expected != "" && expected != s.id {
		return s.write(c, id, http.StatusMisdirectedRequest, "", "X-Chivehill-Not-Executed: 1\r\n")
	}
	s.mu.Lock()
	if s.waiting >= queued {
		s.mu.Unlock()
		return s.write(c, id, http.StatusServiceUnavailable, "", "X-Chivehill-Not-Executed: 1\r\n")
	}
	s.waiting++
	slot := s.slot
	s.mu.Unlock()
	slot <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.running++
	s.mu.Unlock()
	defer func() {
		<-slot
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.ledger.update(func() { a.ran = true })
	if !stays(c, reader, s.work) {
		return false
	}
	if strings.Contains(r.URL.Path, "poison") {
		s.ledger.update(func() { a.crashed, a.crashedAt = true, time.Now() })
		s.crash()
		return false
	}
	if !s.write(c, id, http.StatusOK, "answer to "+id, "X-Chivehill-Server-Signature: signed."+s.id+"\r\n") {
		return false
	}
	s.ledger.update(func() { a.answered = true })
	return true
}

// stays waits for d and reports whether the channel stayed open, as servers drop a request whose
// channel closes.
func stays(c net.Conn, reader *bufio.Reader, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var netErr net.Error
	return err == nil || errors.As(err, &netErr) && netErr.Timeout()
}

func (s *server) write(c net.Conn, id string, status int, body, fields string) bool {
	s.mu.Lock()
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Chivehill-Instance-Id: %s\r\nX-Chivehill-Server-Load: %d,%d,%d,100\r\nContent-Length: %d\r\n%s",
		status, http.StatusText(status), s.id, s.running, s.waiting, s.slots, len(body), fields)
	if left := time.Until(s.coldUntil); left > 0 {
		head += fmt.Sprintf("X-Chivehill-Warmup-Ms: %d\r\n", left.Milliseconds())
	}
	s.mu.Unlock()
	if id != "" {
		head += "X-Chivehill-Request-Id: " + id + "\r\n"
	}
	_, err := io.WriteString(c, head+"\r\n"+body)
	return err == nil
}
