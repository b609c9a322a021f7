// Package chivehillqueue implements the queue of requests that wait for capacity at
// a service. It is ordered by priority and, within a priority, by the latest useful
// start. Requests that can no longer be served in time get no server, so that
// capacity goes to those that can. While requests of workspaces wait, the workspaces of
// one priority share the capacity, and none starves.
//
// The queue is used when load exceeds the spare capacity of the servers available
// to this host. The package uses no network, and callers pass in the time.
package chivehillqueue

import (
	"cmp"
	"slices"
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillselector"
)

// Priority ranks waiting requests. In both fields lower values are served first; Workspace
// goes before Route.
type Priority struct {
	Workspace int
	Route     int
}

func (p Priority) compare(other Priority) int {
	return cmp.Or(cmp.Compare(p.Workspace, other.Workspace), cmp.Compare(p.Route, other.Route))
}

// Waiter is one waiting request.
type Waiter struct {
	// Workspace is empty if the request has none.
	Workspace chivehillid.WorkspaceID
	Priority  Priority
	// LatestStart is the last time at which it is useful to start the request.
	LatestStart chivehillclock.Millis
	// LatestInTime is the last start with which the request meets its objective. It counts
	// among the requests of a workspace only.
	LatestInTime chivehillclock.Millis
	// ServiceTime is how much of the workspace's share the request takes.
	ServiceTime chivehillclock.Millis
	// Deadline is when the caller stops waiting for the response.
	Deadline chivehillclock.Millis
	// Requirements holds the constraints on the server.
	Requirements chivehillselector.Requirements
	// Assigned receives the assigned server, or is closed if the queue gives the request
	// up. It must have a buffer of one, because Offer sends while it holds the lock.
	Assigned chan chivehillselector.Candidate

	// flow and rank are set while the request waits.
	flow *flow
	rank *tally
}

// Queue holds the requests that wait for one service. It is safe for
// concurrent use.
type Queue struct {
	mu sync.Mutex
	// waiting is ordered by priority, then by LatestStart.
	waiting []*Waiter
	// named is the number of waiters with a workspace.
	named int
	// flows has each flow with waiters, and for a time those without.
	flows   map[flowKey]*flow
	classes map[int]*class
	// outcomes counts the outcomes of all waits.
	outcomes tally
	// latest is the latest time of an outcome.
	latest chivehillclock.Millis
}

// Push adds a waiter and reports whether it is the only one in the queue.
func (q *Queue) Push(w *Waiter) (first bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	index, _ := slices.BinarySearchFunc(q.waiting, w, compare)
	q.waiting = slices.Insert(q.waiting, index, w)
	q.join(w)
	return len(q.waiting) == 1
}

func compare(a, b *Waiter) int {
	return cmp.Or(a.Priority.compare(b.Priority), cmp.Compare(a.LatestStart, b.LatestStart))
}

// Remove removes a waiter and reports whether it was still in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.remove(w)
}

func (q *Queue) remove(w *Waiter) bool {
	index := slices.Index(q.waiting, w)
	if index < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, index, index+1)
	q.leave(w)
	return true
}

// Expire removes a waiter that found no room by its latest start. It reports whether the
// waiter was still in the queue, and whether its workspace, or its route priority there, is
// starved.
func (q *Queue) Expire(now chivehillclock.Millis, w *Waiter) (removed, starved bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.remove(w) {
		return false, false
	}
	q.record(now, w, false)
	return true, w.Workspace != "" && min(q.need(&w.flow.outcomes), q.need(w.rank)) < 1
}

// Len returns the number of waiters, including those whose latest start has passed.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Shared reports whether a request of a workspace waits, so that the capacity is shared.
func (q *Queue) Shared() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.named > 0
}

// Peek returns the constraints of the first waiter that can still start in time.
func (q *Queue) Peek(now chivehillclock.Millis) (requirements chivehillselector.Requirements, found bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.first(now, func(chivehillselector.Requirements) bool { return true })
	if w == nil {
		return requirements, false
	}
	return w.Requirements, true
}

// GiveUp removes the waiters that match and closes their channels.
func (q *Queue) GiveUp(match func(*Waiter) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiter) bool {
		matches := match(w)
		if matches {
			q.leave(w)
			close(w.Assigned)
		}
		return matches
	})
}

// Offer assigns a server to the first waiter that can still start in time and for
// which the server is eligible. It reports whether there was one.
func (q *Queue) Offer(now chivehillclock.Millis, candidate chivehillselector.Candidate, eligible func(chivehillselector.Requirements, chivehillselector.Candidate) bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := q.first(now, func(r chivehillselector.Requirements) bool { return eligible(r, candidate) })
	if w == nil {
		return false
	}
	q.charge(w)
	q.record(now, w, true)
	q.remove(w)
	w.Assigned <- candidate
	return true
}

// first returns the first waiter that can still start in time and whose constraints are met,
// or nil.
func (q *Queue) first(now chivehillclock.Millis, met func(chivehillselector.Requirements) bool) *Waiter {
	var first *Waiter
	for _, w := range q.waiting {
		if w.LatestStart < now || first != nil && q.compareShares(now, w, first) >= 0 || !met(w.Requirements) {
			continue
		}
		if q.named == 0 {
			return w
		}
		first = w
	}
	return first
}
