package chivehillqueue

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillplace"
)

// arrival is a request of the played load.
type arrival struct {
	at       chivehillclock.Millis
	priority int
	due      chivehillclock.Millis
}

const (
	playedSlots = 10
	playedWork  = 100 * chivehillclock.Millisecond
	objective   = 300 * chivehillclock.Millisecond
	played      = 20 * chivehillclock.Second
)

// overload is a load of one and a half times what the slots bear, a third of it urgent.
func overload() []arrival {
	random := rand.New(rand.NewPCG(1, 2))
	var load []arrival
	gap := float64(playedWork) / playedSlots / 1.5
	for at := chivehillclock.Millis(0); at < played; at += chivehillclock.Millis(random.ExpFloat64() * gap) {
		load = append(load, arrival{at: at, priority: min(1, random.IntN(3)), due: at + objective})
	}
	return load
}

// inTime counts the requests answered within the objective, by priority.
type inTime struct{ served, asked [2]int }

func (r inTime) share(priority int) float64 {
	return float64(r.served[priority]) / float64(r.asked[priority])
}

// playQueue gives each slot that becomes free to the first waiter in time.
func playQueue(load []arrival) inTime {
	var result inTime
	q := &Queue{}
	due := make(map[*Waiter]arrival)
	free := make([]chivehillclock.Millis, playedSlots)
	next := 0
	for now := chivehillclock.Millis(0); now < played+objective; now++ {
		for next < len(load) && load[next].at <= now {
			e := load[next]
			w := waiter(e.priority, e.due-playedWork)
			due[w] = e
			result.asked[e.priority]++
			q.Push(w)
			next++
		}
		for i := range free {
			if free[i] > now || !q.Offer(now, chivehillplace.Candidate{}, anyServer) {
				continue
			}
			free[i] = now + playedWork
			for w, e := range due {
				if len(w.Room) == 1 {
					result.served[e.priority]++
					delete(due, w)
				}
			}
		}
	}
	return result
}

// playArrivalOrder serves in the order of arrival, as the queues of servers do.
func playArrivalOrder(load []arrival) inTime {
	var result inTime
	free := make([]chivehillclock.Millis, playedSlots)
	for _, e := range load {
		result.asked[e.priority]++
		first := 0
		for i := range free {
			if free[i] < free[first] {
				first = i
			}
		}
		free[first] = max(free[first], e.at) + playedWork
		if free[first] <= e.due {
			result.served[e.priority]++
		}
	}
	return result
}

// TestOverload plays the same load of one and a half times the capacity: by
// priority and due time nearly all urgent requests and half of the others are
// in time, in the order of arrival hardly any.
func TestOverload(t *testing.T) {
	load := overload()
	queued, ordered := playQueue(load), playArrivalOrder(load)
	t.Logf("queue: urgent %.2f, others %.2f; order of arrival: urgent %.2f, others %.2f",
		queued.share(0), queued.share(1), ordered.share(0), ordered.share(1))
	qt.Assert(t, queued.share(0) > 0.95, qt.IsTrue)
	qt.Assert(t, queued.share(1) > 0.45, qt.IsTrue)
	qt.Assert(t, ordered.share(0) < 0.3, qt.IsTrue)
	qt.Assert(t, queued.served[0]+queued.served[1] > 2*(ordered.served[0]+ordered.served[1]), qt.IsTrue)
}
