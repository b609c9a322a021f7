package chivehillrollout

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Source is one run of a host's process. What it counts only grows.
type Source struct {
	Host        chivehillid.HostID
	Incarnation chivehillid.Incarnation
}

// Report is what a source has seen of an order so far, or a part of it.
type Report struct {
	Order  Order
	Source Source
	// Age is how long ago the order was given, as far as the sender knows.
	Age     chivehillclock.Millis
	Tallies map[Cell]Tally
}

const (
	// maxSources and maxCells bound what is kept of one order and of one source.
	maxSources = 4096
	maxCells   = 4096
)

// Evidence gathers what hosts have seen of the versions under trial. Each source sends totals
// since its start, so a report that comes twice or late changes nothing. It is safe for
// concurrent use.
type Evidence struct {
	self Source

	mu     sync.Mutex
	orders map[Order]*orderEvidence
	// change counts the changes of all tallies.
	change uint64
}

type orderEvidence struct {
	// began is when the order was given, by this host's clock.
	began   chivehillclock.Millis
	sources map[Source]*sourceEvidence
}

type sourceEvidence struct {
	tallies map[Cell]Tally
	// changedAt is the number of the last change of each tally.
	changedAt map[Cell]uint64
	// heardAt is when the last report of the source came.
	heardAt chivehillclock.Millis
}

// NewEvidence returns evidence without any order. self is this host's process.
func NewEvidence(self Source) *Evidence {
	return &Evidence{self: self, orders: make(map[Order]*orderEvidence)}
}

// Retain starts to gather evidence of orders that are new, and drops that of all others.
func (e *Evidence) Retain(now chivehillclock.Millis, orders []Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := make(map[Order]*orderEvidence, len(orders))
	for _, o := range orders {
		kept[o] = e.orders[o]
		if kept[o] == nil {
			kept[o] = &orderEvidence{began: now, sources: make(map[Source]*sourceEvidence)}
		}
	}
	e.orders = kept
}

// Observe counts one answer that this host got.
func (e *Evidence) Observe(now chivehillclock.Millis, o Order, c Cell, failed bool, took chivehillclock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.source(o, e.self)
	if s == nil || s.isFull(c) {
		return
	}
	s.heardAt = now
	t := s.tallies[c]
	t.Answered++
	if failed {
		t.Failed++
	} else {
		t.Times[Bucket(took)]++
	}
	e.put(s, c, t)
}

// source returns the evidence of a source, nil if the order is not known. The caller holds e.mu.
func (e *Evidence) source(o Order, source Source) *sourceEvidence {
	order := e.orders[o]
	if order == nil {
		return nil
	}
	s := order.sources[source]
	if s == nil && len(order.sources) < maxSources {
		s = &sourceEvidence{tallies: make(map[Cell]Tally), changedAt: make(map[Cell]uint64)}
		order.sources[source] = s
	}
	return s
}

// isFull reports whether no tally of a further cell is kept.
func (s *sourceEvidence) isFull(c Cell) bool {
	_, found := s.tallies[c]
	return !found && len(s.tallies) >= maxCells
}

// put stores a tally. The caller holds e.mu.
func (e *Evidence) put(s *sourceEvidence, c Cell, t Tally) {
	e.change++
	s.tallies[c] = t
	s.changedAt[c] = e.change
}

// Merge takes over a report of a source. Of two tallies of a cell the one with more answers is
// the newer. What this host counts itself is not taken from others.
func (e *Evidence) Merge(now chivehillclock.Millis, r Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Source == e.self {
		return
	}
	s := e.source(r.Order, r.Source)
	if s == nil {
		return
	}
	s.heardAt = now
	order := e.orders[r.Order]
	order.began = min(order.began, now-r.Age)
	for c, t := range r.Tallies {
		if t.Answered > s.tallies[c].Answered && !s.isFull(c) {
			e.put(s, c, t)
		}
	}
}

// Since returns the tallies of matching hosts that changed after a change number, and the number of the last
// change. Each order has a report of this host, even if nothing changed.
func (e *Evidence) Since(now chivehillclock.Millis, change uint64, matches func(chivehillid.HostID) bool) (reports []Report, last uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for o, order := range e.orders {
		e.source(o, e.self)
		for source, s := range order.sources {
			if !matches(source.Host) {
				continue
			}
			r := Report{Order: o, Source: source, Age: now - order.began, Tallies: make(map[Cell]Tally)}
			for c, t := range s.tallies {
				if s.changedAt[c] > change {
					r.Tallies[c] = t
				}
			}
			if len(r.Tallies) > 0 || source == e.self {
				reports = append(reports, r)
			}
		}
	}
	return reports, e.change
}

// Totals returns the sums over all sources.
func (e *Evidence) Totals(o Order) Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	totals := make(Totals)
	order := e.orders[o]
	if order == nil {
		return totals
	}
	for _, s := range order.sources {
		for c, t := range s.tallies {
			totals[c] = totals[c].plus(t)
		}
	}
	return totals
}

func (t Tally) plus(other Tally) Tally {
	t.Answered += other.Answered
	t.Failed += other.Failed
	for i, n := range other.Times {
		t.Times[i] += n
	}
	return t
}

// Age returns how long ago an order was given, as far as this host knows.
func (e *Evidence) Age(now chivehillclock.Millis, o Order) chivehillclock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order := e.orders[o]; order != nil {
		return now - order.began
	}
	return 0
}

// HeardWithin returns the hosts whose reports of an order came within a time, and this host.
func (e *Evidence) HeardWithin(now chivehillclock.Millis, o Order, age chivehillclock.Millis) map[chivehillid.HostID]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	heard := map[chivehillid.HostID]bool{e.self.Host: true}
	if order := e.orders[o]; order != nil {
		for source, s := range order.sources {
			if now-s.heardAt <= age {
				heard[source.Host] = true
			}
		}
	}
	return heard
}
