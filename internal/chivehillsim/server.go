package chivehillsim

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// serverModel describes how servers behave.
type serverModel struct {
	slots int
	// meanMs and sigma describe the log-normal service time.
	meanMs float64
	sigma  float64
	// slowPeriodGap is the mean time between slow periods, 0 for none.
	slowPeriodGap chivehillclock.Millis
	// unbounded lets requests queue at the server without limit.
	unbounded bool
	// coldConcurrency and coldSuccesses determine the capacity of a cold server.
	coldConcurrency int
	coldSuccesses   int
	// coldFactor multiplies service times of a cold server.
	coldFactor float64
}

// capacityShare returns the share of its nominal speed that a server keeps on
// average with its slow periods.
func (m serverModel) capacityShare() float64 {
	if m.slowPeriodGap == 0 {
		return 1
	}
	mean := (slowMinMs + slowMaxMs) / 2
	slow := mean / (mean + float64(m.slowPeriodGap))
	speed := math.Log(slowMaxFactor/slowMinFactor) / (slowMaxFactor - slowMinFactor)
	return 1 - slow*(1-speed)
}

// job is one request at a server.
type job struct {
	call *call
	// from is the host that sent the job, nil for a baseline.
	from *host
	// sendID identifies the transmission in the records.
	sendID string
	work   float64
	// reply is called when the server answers; the sender delivers it over the network.
	reply func(r reply)
	// cancelled is set when the sender cancelled the job.
	cancelled bool
	// sentAt is the time at which the host sent the job.
	sentAt  chivehillclock.Millis
	started bool
}

// reply is the response of a server.
type reply struct {
	result       chivehillbalance.Result
	serverNotRun bool
	cold         bool
	took         chivehillclock.Millis
}

// server is a fake server.
type server struct {
	engine     *engine
	model      serverModel
	id         chivehillid.ServerID
	endpoint   endpoint
	queue      []*job
	running    []*job
	seed       uint64
	slowPeriod slowPeriod

	slowdown float64
	draining bool
	failFast bool
	broken   bool
	cold     bool
	// coldServed counts requests served since the cold start.
	coldServed int
	// coldKnownAt is the time from which hosts can know that the server is cold.
	coldKnownAt chivehillclock.Millis
	hideCold    bool
	// drainKnownAt is the time from which hosts can know that the server drains.
	drainKnownAt chivehillclock.Millis
	probes       int
	record       *record
	// ownerNotified is set if the owner can know of the newest restart.
	ownerNotified bool
	// connections holds when each host sent something last, for hosts of a cluster.
	connections map[*host]chivehillclock.Millis
}

// idleConnectionTimeout is the time for which a host keeps an idle connection.
const idleConnectionTimeout = 15 * chivehillclock.Second

// closeConnections notifies the hosts that hold connections and reports whether
// the owner is among them.
func (s *server) closeConnections() bool {
	notified := false
	for _, h := range s.connectedHosts() {
		if h.dead || s.engine.now-s.connections[h] > idleConnectionTimeout {
			continue
		}
		generation := h.generation
		notified = notified || (!h.paused && h.pool.Owns(s.id))
		h.world.network.send(s.endpoint, h.endpoint, 0, func() {
			h.execute(generation, func() { h.handle(chivehillbalance.Disconnected{Server: s.id}) })
		})
	}
	clear(s.connections)
	return notified
}

func (s *server) connectedHosts() []*host {
	return slices.SortedFunc(maps.Keys(s.connections), func(a, b *host) int { return cmp.Compare(a.id, b.id) })
}

// never is a time after the end of each run.
const never = chivehillclock.Millis(math.MaxFloat64)

func newServer(e *engine, id chivehillid.ServerID, p location, m serverModel, seed uint64, r *record) *server {
	s := &server{
		engine: e, model: m, id: id, endpoint: endpoint{name: string(id), location: p}, seed: seed,
		slowdown: 1, coldKnownAt: never, drainKnownAt: never, record: r, slowPeriod: slowPeriod{next: never},
		connections: make(map[*host]chivehillclock.Millis),
	}
	if m.slowPeriodGap > 0 {
		s.slowPeriod.next = s.slowPeriodAt(0).next
	}
	return s
}

// capacity returns how many concurrent requests the server can handle now.
func (s *server) capacity() int {
	if !s.cold {
		return s.model.slots
	}
	return min(s.model.slots, s.model.coldConcurrency+s.coldServed/max(1, s.model.coldSuccesses))
}

// arrive accepts or refuses a job.
func (s *server) arrive(j *job) {
	s.record.arrived(s, j)
	if j.from != nil && j.from.cluster != nil {
		s.connections[j.from] = s.engine.now
	}
	inFlight := len(s.running) + len(s.queue)
	switch {
	case s.broken:
		s.ownerNotified = true
		j.reply(reply{result: chivehillbalance.Killed})
		return
	case s.draining:
		s.signalDrain()
		j.reply(reply{result: chivehillbalance.Drains, serverNotRun: true})
		return
	case s.failFast:
		j.reply(reply{result: chivehillbalance.Failed})
		return
	case !s.model.unbounded && inFlight >= 2*s.model.slots+2:
		s.record.Shed++
		s.signalCold()
		j.reply(reply{result: chivehillbalance.Shed, serverNotRun: true, cold: s.reportsCold()})
		return
	}
	s.queue = append(s.queue, j)
	s.startNext()
}

func (s *server) reportsCold() bool {
	return s.cold && !s.hideCold
}

func (s *server) signalDrain() {
	const known = 50 * chivehillclock.Millisecond
	s.drainKnownAt = min(s.drainKnownAt, s.engine.now+known)
}

// signalCold records that an answer that tells of the cold start has left.
func (s *server) signalCold() {
	const known = 50 * chivehillclock.Millisecond
	s.coldKnownAt = min(s.coldKnownAt, s.engine.now+known)
}

// startNext starts queued jobs in free slots.
func (s *server) startNext() {
	for len(s.queue) > 0 && len(s.running) < s.model.slots {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.running = append(s.running, j)
		s.start(j)
	}
}

func (s *server) start(j *job) {
	j.started = true
	s.record.started(s, j)
	if j.call.crash {
		s.breakDown()
		return
	}
	s.advanceSlowPeriods()
	work := j.work * s.slowdown
	if s.cold && s.model.coldFactor > 0 {
		work *= s.model.coldFactor
	}
	begin := s.engine.now
	s.engine.at(s.finishAt(work), func() {
		if !slices.Contains(s.running, j) {
			return
		}
		s.complete(j, begin)
	})
}

// complete ends a job that ran to its end.
func (s *server) complete(j *job, begin chivehillclock.Millis) {
	s.running = slices.DeleteFunc(s.running, func(o *job) bool { return o == j })
	if s.cold {
		s.coldServed++
		if !s.hideCold {
			s.signalCold()
		}
		if s.capacity() >= s.model.slots {
			s.cold = false
			s.coldKnownAt = never
		}
	}
	s.record.Ended++
	if !j.cancelled {
		j.reply(reply{result: chivehillbalance.Good, cold: s.reportsCold(), took: s.engine.now - begin})
	}
	s.startNext()
}

// cancel ends a job that its sender cancelled.
func (s *server) cancel(j *job) {
	j.cancelled = true
	same := func(o *job) bool { return o == j }
	s.queue = slices.DeleteFunc(s.queue, same)
	if slices.ContainsFunc(s.running, same) {
		s.running = slices.DeleteFunc(s.running, same)
		s.startNext()
	}
}

// breakDown kills all jobs; the server comes back cold after a while.
func (s *server) breakDown() {
	const downtime = 500 * chivehillclock.Millisecond
	jobs := append(slices.Clone(s.running), s.queue...)
	s.ownerNotified = s.closeConnections()
	s.running, s.queue = nil, nil
	s.broken = true
	for _, j := range jobs {
		j.reply(reply{result: chivehillbalance.Killed})
	}
	s.engine.after(downtime, func() {
		s.broken = false
		s.draining = false
		s.drainKnownAt = never
		s.coldStart(s.ownerNotified)
	})
}

// coldStart makes the server cold. announced is set if the hosts know at once.
func (s *server) coldStart(announced bool) {
	s.cold = true
	s.coldServed = 0
	s.coldKnownAt = never
	if announced {
		s.coldKnownAt = s.engine.now
	}
}
