package chivehillqueue

import (
	"cmp"
	"math"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	// starvedFraction is the fraction of the average served part below which a workspace, or a
	// route priority of it, counts as starved. Users call a quarter starved; the rest is for
	// hosts whose averages differ.
	starvedFraction = 1.0 / 3
	// tallyWindow is the time over which an outcome loses most of its weight: long against a
	// wait, short against a lasting overload.
	tallyWindow = 10 * chivehillclock.Second
	// flowRetention is how long a flow without waiters is kept after its last outcome.
	flowRetention = 3 * tallyWindow
	// creditRequests is how many requests a flow may be behind its share when it begins to wait.
	// The arrivals of a workspace that asks for its share on average vary by about as much
	// while one of them waits.
	creditRequests = 8
	// minCost is the least that an assignment counts against the share of a workspace.
	minCost = chivehillclock.Millisecond
)

// tally counts the outcomes of waits; older ones have less weight.
type tally struct {
	// served is at most all.
	served, all float64
	at          chivehillclock.Millis
}

func (t *tally) record(now chivehillclock.Millis, served bool) {
	weight := math.Exp(-float64(max(0, now-t.at) / tallyWindow))
	t.served, t.all, t.at = t.served*weight, t.all*weight+1, max(now, t.at)
	if served {
		t.served++
	}
}

// part returns the served part of the requests, 1 if none is known.
func (t *tally) part() float64 {
	if t.all == 0 {
		return 1
	}
	return t.served / t.all
}

// class holds the flows of one workspace priority that share the room.
type class struct {
	// virtual is the start tag of the flow that was served last. It never decreases.
	virtual chivehillclock.Millis
	// highest is the highest start tag that any flow has had, at least virtual.
	highest chivehillclock.Millis
	waiting int
}

// flowKey names a flow. Requests without a workspace are one flow in each class.
type flowKey struct {
	workspace chivehillid.WorkspaceID
	priority  int
}

// flow holds what one workspace has had of the room.
type flow struct {
	class *class
	// start is the tag by which flows of a class are ordered: the room that the flow has had
	// while it waited, from about the virtual time at which it began to wait.
	start   chivehillclock.Millis
	waiting int
	// outcomes counts all waits of the flow, ranks those of each route priority.
	outcomes tally
	ranks    map[int]*tally
}

// join adds a waiter to its flow. A flow that begins to wait starts at most creditRequests
// before the virtual time, so that a long pause earns no more than that.
func (q *Queue) join(w *Waiter) {
	f := q.flowOf(w)
	if f.waiting == 0 {
		f.start = max(f.start, f.class.virtual-creditRequests*w.cost())
	}
	f.waiting++
	f.class.waiting++
	rank := f.ranks[w.Priority.Route]
	if rank == nil {
		rank = &tally{}
		f.ranks[w.Priority.Route] = rank
	}
	w.flow, w.rank = f, rank
	if w.Workspace != "" {
		q.named++
	}
}

func (q *Queue) flowOf(w *Waiter) *flow {
	key := flowKey{workspace: w.Workspace, priority: w.Priority.Workspace}
	if f := q.flows[key]; f != nil {
		return f
	}
	q.prune()
	if q.flows == nil {
		q.flows, q.classes = make(map[flowKey]*flow), make(map[int]*class)
	}
	c := q.classes[key.priority]
	if c == nil {
		c = &class{}
		q.classes[key.priority] = c
	}
	f := &flow{class: c, ranks: make(map[int]*tally)}
	q.flows[key] = f
	return f
}

// leave takes a waiter out of its flow. When the last of a class leaves, no flow of it owes
// the others anything.
func (q *Queue) leave(w *Waiter) {
	c := w.flow.class
	w.flow.waiting--
	c.waiting--
	if c.waiting == 0 {
		c.virtual = c.highest
	}
	if w.Workspace != "" {
		q.named--
	}
}

// prune drops the flows that have no waiter, owe nothing and whose outcomes are old, and the
// classes without flows.
func (q *Queue) prune() {
	used := make(map[*class]bool)
	for key, f := range q.flows {
		if f.waiting == 0 && f.start <= f.class.virtual && q.latest-f.outcomes.at > flowRetention {
			delete(q.flows, key)
			continue
		}
		used[f.class] = true
	}
	for priority, c := range q.classes {
		if !used[c] {
			delete(q.classes, priority)
		}
	}
}

// record counts the outcome of a wait.
func (q *Queue) record(now chivehillclock.Millis, w *Waiter, served bool) {
	q.latest = max(q.latest, now)
	q.outcomes.record(now, served)
	w.flow.outcomes.record(now, served)
	w.rank.record(now, served)
}

// charge counts an assignment against the share of its flow. What a starved flow gets ahead
// of its turn is not counted: it is the minimum beside the shares.
func (q *Queue) charge(w *Waiter) {
	f := w.flow
	if q.need(&f.outcomes) < 1 {
		return
	}
	f.class.virtual = max(f.class.virtual, f.start)
	f.start += w.cost()
	f.class.highest = max(f.class.highest, f.start)
}

// cost returns how much of the share of its flow a request takes.
func (w *Waiter) cost() chivehillclock.Millis { return max(minCost, w.ServiceTime) }

// need returns the served part if it is so low that its requests starve, and 1 otherwise.
func (q *Queue) need(t *tally) float64 {
	if part := t.part(); part < starvedFraction*q.outcomes.part() {
		return part
	}
	return 1
}

// compareShares orders waiters if workspaces share the room: starved flows first, lest strict
// priority or a large demand leave a workspace with nothing; then by workspace priority; then
// the flow that has had the least of the room, so that a hot workspace is held to its share
// while others wait. Within a flow, starved route priorities are first, then by route priority,
// and requests that can still meet their objective come before those that cannot.
func (q *Queue) compareShares(now chivehillclock.Millis, a, b *Waiter) int {
	if a.flow != b.flow {
		order := cmp.Or(
			cmp.Compare(q.need(&a.flow.outcomes), q.need(&b.flow.outcomes)),
			cmp.Compare(a.Priority.Workspace, b.Priority.Workspace),
			cmp.Compare(a.flow.start, b.flow.start),
		)
		if order != 0 {
			return order
		}
	}
	return cmp.Or(
		cmp.Compare(q.need(a.rank), q.need(b.rank)),
		cmp.Compare(a.Priority.Route, b.Priority.Route),
		cmp.Compare(a.lateness(now), b.lateness(now)),
		cmp.Compare(a.LatestStart, b.LatestStart),
	)
}

// lateness returns 1 if the request can no longer meet its objective, and 0 otherwise.
func (w *Waiter) lateness(now chivehillclock.Millis) int {
	if w.Workspace != "" && w.LatestInTime < now {
		return 1
	}
	return 0
}
