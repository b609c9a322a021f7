package chivehillqueue

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillselector"
)

// arrival is a request of the simulated load.
type arrival struct {
	at       chivehillclock.Millis
	priority int
	due      chivehillclock.Millis
}

const (
	slots       = 10
	serviceTime = 100 * chivehillclock.Millisecond
	objective   = 300 * chivehillclock.Millisecond
	duration    = 20 * chivehillclock.Second
)

// overloadArrivals returns a load of 1.5 times the capacity of the slots. A third of
// the requests are urgent.
func overloadArrivals() []arrival {
	random := rand.New(rand.NewPCG(1, 2))
	var load []arrival
	gap := float64(serviceTime) / slots / 1.5
	for at := chivehillclock.Millis(0); at < duration; at += chivehillclock.Millis(random.ExpFloat64() * gap) {
		load = append(load, arrival{at: at, priority: min(1, random.IntN(3)), due: at + objective})
	}
	return load
}

// onTime counts the requests answered within the objective, by priority.
type onTime struct{ served, arrived [2]int }

func (r onTime) share(priority int) float64 {
	return float64(r.served[priority]) / float64(r.arrived[priority])
}

// simulateQueue offers each slot that becomes free to the queue.
func simulateQueue(load []arrival) onTime {
	var result onTime
	q := &Queue{}
	due := make(map[*Waiter]arrival)
	freeAt := make([]chivehillclock.Millis, slots)
	next := 0
	for now := chivehillclock.Millis(0); now < duration+objective; now++ {
		for next < len(load) && load[next].at <= now {
			e := load[next]
			w := newWaiter(e.priority, e.due-serviceTime)
			due[w] = e
			result.arrived[e.priority]++
			q.Push(w)
			next++
		}
		for i := range freeAt {
			if freeAt[i] > now || !q.Offer(now, chivehillselector.Candidate{}, anyServer) {
				continue
			}
			freeAt[i] = now + serviceTime
			for w, e := range due {
				if len(w.Assigned) == 1 {
					result.served[e.priority]++
					delete(due, w)
				}
			}
		}
	}
	return result
}

// simulateFIFO serves requests in the order of arrival, as the queues of servers do.
func simulateFIFO(load []arrival) onTime {
	var result onTime
	freeAt := make([]chivehillclock.Millis, slots)
	for _, e := range load {
		result.arrived[e.priority]++
		earliest := 0
		for i := range freeAt {
			if freeAt[i] < freeAt[earliest] {
				earliest = i
			}
		}
		freeAt[earliest] = max(freeAt[earliest], e.at) + serviceTime
		if freeAt[earliest] <= e.due {
			result.served[e.priority]++
		}
	}
	return result
}

// TestQueueServesMoreOnTimeThanFIFOUnderOverload guards against a queue order that
// serves requests too late under overload. At 1.5 times the capacity, the queue
// serves nearly all urgent requests and about half of the others on time. In order
// of arrival, hardly any request is served on time.
func TestQueueServesMoreOnTimeThanFIFOUnderOverload(t *testing.T) {
	load := overloadArrivals()
	queued, fifo := simulateQueue(load), simulateFIFO(load)
	t.Logf("on time: queue: urgent %.2f, others %.2f; FIFO: urgent %.2f, others %.2f",
		queued.share(0), queued.share(1), fifo.share(0), fifo.share(1))
	qt.Assert(t, queued.share(0) > 0.95, qt.IsTrue)
	qt.Assert(t, queued.share(1) > 0.45, qt.IsTrue)
	qt.Assert(t, fifo.share(0) < 0.3, qt.IsTrue)
	qt.Assert(t, queued.served[0]+queued.served[1] > 2*(fifo.served[0]+fifo.served[1]), qt.IsTrue)
}
