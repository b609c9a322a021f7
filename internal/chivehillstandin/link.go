package chivehillstandin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// LinkFaults are the faults of a link.
type LinkFaults struct {
	// DelayMs delays the bytes of each direction.
	DelayMs int `json:"delay-ms"`
	// BytesPerSecond limits each direction, 0 for no limit.
	BytesPerSecond int `json:"bytes-per-second"`
	// Cut closes all connections and refuses new ones.
	Cut bool `json:"cut"`
	// Frozen keeps connections open but passes nothing.
	Frozen bool `json:"frozen"`
}

// Link passes TCP connections on to a target, with faults.
type Link struct {
	target string

	mu     sync.Mutex
	faults LinkFaults
	// thawed is closed when the link is not frozen.
	thawed chan struct{}
	open   map[net.Conn]bool
	bytes  int64
}

// NewLink returns a link to a target.
func NewLink(target string) *Link {
	thawed := make(chan struct{})
	close(thawed)
	return &Link{target: target, thawed: thawed, open: make(map[net.Conn]bool)}
}

// Set replaces the faults.
func (l *Link) Set(f LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Frozen && !l.faults.Frozen {
		l.thawed = make(chan struct{})
	}
	if !f.Frozen && l.faults.Frozen {
		close(l.thawed)
	}
	l.faults = f
	if f.Cut {
		for c := range l.open {
			_ = c.Close()
		}
	}
}

// Bytes returns the bytes passed on so far.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Control returns the handler of the control address.
func (l *Link) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f LinkFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(f)
	})
	return mux
}

// Serve accepts connections until the listener is closed.
func (l *Link) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go l.pass(conn)
	}
}

func (l *Link) pass(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !l.enter(conn) {
		return
	}
	defer l.exit(conn)
	var dialer net.Dialer
	out, err := dialer.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	if !l.enter(out) {
		return
	}
	defer l.exit(out)
	var both sync.WaitGroup
	both.Go(func() { l.copy(out, conn) })
	both.Go(func() { l.copy(conn, out) })
	both.Wait()
}

func (l *Link) enter(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Cut {
		return false
	}
	l.open[conn] = true
	return true
}

func (l *Link) exit(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}

// chunk is a piece of data with the time at which it may be passed on.
type chunk struct {
	data []byte
	at   time.Time
}

// copy passes one direction on, with delay and rate limit.
func (l *Link) copy(to, from net.Conn) {
	const (
		bufferBytes = 32 << 10
		inTransit   = 256
	)
	chunks := make(chan chunk, inTransit)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, bufferBytes)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- chunk{data: buffer[:n], at: time.Now().Add(l.delay(n))}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.at))
		l.awaitThaw()
		if _, err := to.Write(c.data); err != nil {
			break
		}
		l.count(len(c.data))
	}
	closeWrite(to)
	for range chunks {
		// Drain what is left, so that the reader ends.
		continue
	}
}

func (l *Link) count(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += int64(n)
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		return
	}
	_ = conn.Close()
}

func (l *Link) delay(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := time.Duration(l.faults.DelayMs) * time.Millisecond
	if l.faults.BytesPerSecond > 0 {
		d += time.Duration(float64(n) / float64(l.faults.BytesPerSecond) * float64(time.Second))
	}
	return d
}

func (l *Link) awaitThaw() {
	l.mu.Lock()
	thawed := l.thawed
	l.mu.Unlock()
	<-thawed
}
