package chivehillselector

import (
	"math"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const (
	// highUtilization is the share of busy slots above which some servers slow down.
	highUtilization = 0.8
	// highUtilizationFactor is how many times longer a request runs above highUtilization.
	highUtilizationFactor = 1.3
	// fullFactor is how many times longer a request runs on a server with all slots busy.
	fullFactor = 1.7
	// queueFactor is how many times longer than usual the queued requests take on average.
	queueFactor = 1.3
	// goodEnoughFactor is the estimate, as a multiple of the service time, up to which no
	// other server is probed.
	goodEnoughFactor = 1.25
	// coldFactor is how many times longer a request takes on a cold server.
	coldFactor = 2
)

// Estimate returns the expected response time of a request at a server with the given
// load. serviceTime is how long the request runs on an idle server at its usual pace, and
// persistence is how long servers stay slow on average.
func Estimate(l chivehillupstream.Load, serviceTime, persistence chivehillclock.Millis) chivehillclock.Millis {
	slots := chivehillclock.Millis(max(1, l.Slots))
	busy := chivehillclock.Millis(l.Running + l.Waiting + 1)
	run := serviceTime
	if busy/slots > highUtilization {
		run *= highUtilizationFactor
	}
	wait := max(0, busy-slots) / slots * serviceTime * queueFactor
	return wait + run + slowdown(l.Pace, serviceTime, persistence)
}

// slowdown returns the time that the reported pace adds to a request on average. The pace
// lasts for an exponentially distributed time with the mean persistence, of which a request
// loses the part 1-1/factor, for as long as it runs.
func slowdown(pace chivehillupstream.Percent, serviceTime, persistence chivehillclock.Millis) chivehillclock.Millis {
	factor := chivehillclock.Millis(pace) / chivehillclock.Millis(chivehillupstream.UsualPace)
	if factor <= 1 {
		return 0
	}
	slowTime := -persistence * chivehillclock.Millis(math.Expm1(float64(-serviceTime*factor/persistence)))
	return slowTime * (1 - 1/factor)
}

// Assessment is a candidate with the load it reported and the response time
// estimated from it.
type Assessment struct {
	Candidate Candidate
	// Estimate is the expected response time.
	Estimate chivehillclock.Millis
	// ServiceTime is the service time of the request: how long it runs on an idle server at its
	// usual pace.
	ServiceTime chivehillclock.Millis
	Load        chivehillupstream.Load
}

// Assess estimates the response time at a candidate from the load it reported. A candidate
// that reported none is taken to be idle.
func (t *Table) Assess(c Candidate, r chivehillupstream.ResponseMetadata, serviceTime chivehillclock.Millis) Assessment {
	load := r.Load
	if !r.HasLoad {
		load = chivehillupstream.Load{Slots: c.Server.Slots, Pace: chivehillupstream.UsualPace}
	}
	estimate := Estimate(load, serviceTime, t.persistence.mean())
	if c.Cold {
		estimate *= coldFactor
	}
	return Assessment{Candidate: c, Estimate: estimate + c.RoundTrip, ServiceTime: serviceTime, Load: load}
}

// GoodEnough reports whether the estimate is low enough to probe no other server.
func (a Assessment) GoodEnough() bool { return a.Estimate <= a.ServiceTime*goodEnoughFactor }

// HasCapacity reports whether one more request would start at once without lowering the
// server's throughput.
func HasCapacity(l chivehillupstream.Load) bool {
	return l.Waiting == 0 && l.Running < capacity(int(l.Slots))
}

// capacity returns the number of concurrent requests with the highest throughput: either
// as many as can run before any slows down, or one in each slot, where each takes
// fullFactor times as long.
func capacity(slots int) int {
	slotsBeforeSlowdown := int(highUtilization * float64(slots))
	if float64(slotsBeforeSlowdown) >= float64(slots)/fullFactor {
		return slotsBeforeSlowdown
	}
	return slots
}

// MaxFreshLoadAge is the maximum age of a load report that is used without another
// probe if it leads to a good estimate.
const MaxFreshLoadAge = 15 * chivehillclock.Millisecond
