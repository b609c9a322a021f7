// Package chivehillqueue orders the requests that wait for room at a service:
// the more urgent first, within a rank the one whose answer is due first. A
// request that can no longer be served in time leaves the queue, so that room
// goes to those that can.
//
// It answers load beyond what the servers near this host can take at once. It
// uses no network; the time is passed in.
package chivehillqueue

import (
	"cmp"
	"slices"
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillplace"
)

// Waiter is one waiting request.
type Waiter struct {
	// Priority is the rank; 0 goes first.
	Priority int
	// Latest is the last moment at which starting the request is of use.
	Latest chivehillclock.Millis
	// Need is what the request needs of a server.
	Need chivehillplace.Need
	// Room receives the server that has room. It holds one.
	Room chan chivehillplace.Candidate
}

// Queue holds the requests that wait for one service. It is safe for
// concurrent use.
type Queue struct {
	mu sync.Mutex
	// waiting is ordered by priority, then by Latest.
	waiting []*Waiter
}

// Push adds a waiter and reports whether it is the only one.
func (q *Queue) Push(w *Waiter) (first bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, _ := slices.BinarySearchFunc(q.waiting, w, compare)
	q.waiting = slices.Insert(q.waiting, at, w)
	return len(q.waiting) == 1
}

func compare(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Latest, b.Latest))
}

// Remove takes a waiter out and reports whether it was still there.
func (q *Queue) Remove(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// First returns what the first waiter in time needs.
func (q *Queue) First(now chivehillclock.Millis) (need chivehillplace.Need, found bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiting {
		if w.Latest >= now {
			return w.Need, true
		}
	}
	return need, false
}

// Offer gives the room at a server to the first waiter in time that may use
// it, and reports whether there was one.
func (q *Queue) Offer(now chivehillclock.Millis, c chivehillplace.Candidate, fits func(chivehillplace.Need, chivehillplace.Candidate) bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, w := range q.waiting {
		if w.Latest < now || !fits(w.Need, c) {
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		w.Room <- c
		return true
	}
	return false
}
