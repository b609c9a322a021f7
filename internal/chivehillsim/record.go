package chivehillsim

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// record is what the servers truly ran.
type record struct {
	Started int
	Ended   int
	Shed    int
	// runs counts runs by the caller's sending or key.
	runs map[string]int
	// overloads lists arrivals at a cold server beyond what it bore.
	overloads []overload
	// onStart is called for each started job, nil for none.
	onStart func(*server, *job)
	// onArrive is called for each arriving job, nil for none.
	onArrive func(*server, *job)
}

// overload is an arrival at a cold server beyond what it bore.
type overload struct {
	server chivehillid.ServerID
	at     chivehillclock.Millis
	inside int
	bears  int
}

func newRecord() *record {
	return &record{runs: make(map[string]int)}
}

func (r *record) arrived(s *server, j *job) {
	inside := len(s.running) + len(s.queue)
	if s.cold && inside >= s.bears() && j.sentAt > s.coldKnownAt {
		r.overloads = append(r.overloads, overload{server: s.id, at: s.engine.now, inside: inside, bears: s.bears()})
	}
	if r.onArrive != nil {
		r.onArrive(s, j)
	}
}

func (r *record) started(s *server, j *job) {
	r.Started++
	r.runs[j.send]++
	if r.onStart != nil {
		r.onStart(s, j)
	}
}
