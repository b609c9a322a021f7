package chivehillqueue

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillplace"
)

func waiter(priority int, latest chivehillclock.Millis) *Waiter {
	return &Waiter{Priority: priority, Latest: latest, Room: make(chan chivehillplace.Candidate, 1)}
}

func anyServer(chivehillplace.Need, chivehillplace.Candidate) bool { return true }

func TestOrder(t *testing.T) {
	a, b, c, late := waiter(2, 50), waiter(0, 90), waiter(0, 80), waiter(0, 5)
	q := &Queue{}
	qt.Assert(t, q.Push(a), qt.IsTrue)
	for _, w := range []*Waiter{b, c, late} {
		qt.Assert(t, q.Push(w), qt.IsFalse)
	}
	for _, want := range []*Waiter{c, b, a} {
		qt.Assert(t, q.Offer(10, chivehillplace.Candidate{}, anyServer), qt.IsTrue)
		qt.Assert(t, want.Room, qt.HasLen, 1)
	}
	qt.Assert(t, q.Offer(10, chivehillplace.Candidate{}, anyServer), qt.IsFalse)
	qt.Assert(t, late.Room, qt.HasLen, 0)
	qt.Assert(t, q.Remove(late), qt.IsTrue)
	qt.Assert(t, q.Remove(late), qt.IsFalse)
	qt.Assert(t, q.Len(), qt.Equals, 0)
}

func TestRoomThatDoesNotFitGoesOn(t *testing.T) {
	bound, free := waiter(0, 50), waiter(1, 50)
	bound.Need = chivehillplace.Need{Service: "s"}
	q := &Queue{}
	q.Push(bound)
	q.Push(free)
	fits := func(n chivehillplace.Need, c chivehillplace.Candidate) bool { return n.Service == c.Server.Service }
	qt.Assert(t, q.Offer(1, chivehillplace.Candidate{Server: chivehillcatalog.Server{}}, fits), qt.IsTrue)
	qt.Assert(t, free.Room, qt.HasLen, 1)
	qt.Assert(t, bound.Room, qt.HasLen, 0)
}
