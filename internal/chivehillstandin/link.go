package chivehillstandin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// LinkFaults are the faults that a link injects.
type LinkFaults struct {
	// DelayMs is the latency added in each direction.
	DelayMs int `json:"delay-ms"`
	// BytesPerSecond is the bandwidth of each direction; 0 means unlimited.
	BytesPerSecond int `json:"bytes-per-second"`
	// Cut closes all connections and refuses new ones.
	Cut bool `json:"cut"`
	// Frozen keeps connections open but forwards no data.
	Frozen bool `json:"frozen"`
}

// Link is a TCP proxy to a target address that injects faults.
type Link struct {
	target string

	mu     sync.Mutex
	faults LinkFaults
	// unfrozen is closed while the link is not frozen.
	unfrozen chan struct{}
	// conns holds the open connections of both sides, so that a cut closes them.
	conns map[net.Conn]bool
	bytes int64
}

// NewLink returns a link to a target address, without faults.
func NewLink(target string) *Link {
	unfrozen := make(chan struct{})
	close(unfrozen)
	return &Link{target: target, unfrozen: unfrozen, conns: make(map[net.Conn]bool)}
}

// Set replaces the injected faults.
func (l *Link) Set(f LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Frozen && !l.faults.Frozen {
		l.unfrozen = make(chan struct{})
	}
	if !f.Frozen && l.faults.Frozen {
		close(l.unfrozen)
	}
	l.faults = f
	if f.Cut {
		for c := range l.conns {
			_ = c.Close()
		}
	}
}

// Bytes returns the number of bytes forwarded so far, in both directions.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Control serves the control API of the link.
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
		go l.proxy(conn)
	}
}

// proxy forwards a connection to the target until both directions are closed.
func (l *Link) proxy(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !l.track(conn) {
		return
	}
	defer l.untrack(conn)
	var dialer net.Dialer
	targetConn, err := dialer.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = targetConn.Close() }()
	if !l.track(targetConn) {
		return
	}
	defer l.untrack(targetConn)
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(targetConn, conn) })
	directions.Go(func() { l.forward(conn, targetConn) })
	directions.Wait()
}

// track registers a connection. It returns false if the link is cut.
func (l *Link) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Cut {
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *Link) untrack(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// chunk is a piece of data with the earliest time at which it may be forwarded.
type chunk struct {
	data      []byte
	forwardAt time.Time
}

// forward copies one direction of a connection, with the injected delays.
func (l *Link) forward(dst, src net.Conn) {
	const (
		bufferBytes = 32 << 10
		maxChunks   = 256
	)
	chunks := make(chan chunk, maxChunks)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, bufferBytes)
			n, err := src.Read(buffer)
			if n > 0 {
				chunks <- chunk{data: buffer[:n], forwardAt: time.Now().Add(l.delay(n))}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.forwardAt))
		l.waitUnfrozen()
		if _, err := dst.Write(c.data); err != nil {
			break
		}
		l.addBytes(len(c.data))
	}
	closeWrite(dst)
	for range chunks {
		// Drain the channel, so that the reading goroutine is not blocked on it.
		continue
	}
}

func (l *Link) addBytes(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += int64(n)
}

// closeWrite passes the end of a stream on as a TCP half-close.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		return
	}
	_ = conn.Close()
}

// delay returns how long a chunk of n bytes is held back after it was read: the
// added latency and the transmission time of these bytes alone.
func (l *Link) delay(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := time.Duration(l.faults.DelayMs) * time.Millisecond
	if l.faults.BytesPerSecond > 0 {
		d += time.Duration(float64(n) / float64(l.faults.BytesPerSecond) * float64(time.Second))
	}
	return d
}

func (l *Link) waitUnfrozen() {
	l.mu.Lock()
	unfrozen := l.unfrozen
	l.mu.Unlock()
	<-unfrozen
}
