package chivehillplace

import (
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const (
	// nearlyFull is the share of busy slots from which some servers slow down.
	nearlyFull = 0.8
	// nearlyFullFactor is how much longer work takes there.
	nearlyFullFactor = 1.5
	// GoodEstimate is the estimate up to which no other server is asked.
	GoodEstimate = 1.6
	// crossRegion is added to the estimate of a server in another region.
	crossRegion = 1.0
)

// Estimate returns how long one more request takes at a server, 1 being the
// time at an idle server of usual pace.
func Estimate(l chivehillupstream.Load) float64 {
	slots := max(1, float64(l.Slots))
	busy := float64(l.Running + l.Waiting + 1)
	estimate := float64(max(1, l.Pace)) / float64(chivehillupstream.UsualPace)
	if busy/slots > nearlyFull {
		estimate *= nearlyFullFactor
	}
	if busy > slots {
		estimate *= 1 + (busy-slots)/slots
	}
	return estimate
}

// Opinion is a candidate with what it said when it was asked.
type Opinion struct {
	Candidate Candidate
	// Estimate is how long a request takes there, 1 being usual.
	Estimate float64
}

// NewOpinion judges the load that a candidate reported.
func NewOpinion(c Candidate, r chivehillupstream.Remarks) Opinion {
	load := r.Load
	if !r.HasLoad {
		load = chivehillupstream.Load{Slots: c.Server.Slots, Pace: chivehillupstream.UsualPace}
	}
	estimate := Estimate(load)
	if c.Distance == OtherRegion {
		estimate += crossRegion
	}
	if c.Cold {
		estimate *= 2
	}
	return Opinion{Candidate: c, Estimate: estimate}
}

// Good reports whether no other server need be asked.
func (o Opinion) Good() bool { return o.Estimate <= GoodEstimate }

// FreshFor is the time for which a good answer serves without asking again.
const FreshFor = 15 * chivehillclock.Millisecond
