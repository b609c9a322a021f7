package chivehillsim

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// record holds what the servers ran.
type record struct {
	Started int
	Ended   int
	Shed    int
	// runs counts runs by the caller's transmission or key.
	runs map[string]int
	// overloads lists arrivals at a cold server beyond its capacity.
	overloads []overload
	// onStart is called for each started job, nil for none.
	onStart func(*server, *job)
	// onArrive is called for each arriving job, nil for none.
	onArrive func(*server, *job)
}

// overload is an arrival at a cold server beyond its capacity.
type overload struct {
	server   chivehillid.ServerID
	at       chivehillclock.Millis
	inFlight int
	capacity int
}

func newRecord() *record {
	return &record{runs: make(map[string]int)}
}

func (r *record) arrived(s *server, j *job) {
	inFlight := len(s.running) + len(s.queue)
	if s.cold && inFlight >= s.capacity() && j.sentAt > s.coldKnownAt {
		r.overloads = append(r.overloads, overload{server: s.id, at: s.engine.now, inFlight: inFlight, capacity: s.capacity()})
	}
	if r.onArrive != nil {
		r.onArrive(s, j)
	}
}

func (r *record) started(s *server, j *job) {
	r.Started++
	r.runs[j.sendID]++
	if r.onStart != nil {
		r.onStart(s, j)
	}
}
