package chivehillselector

import (
	"math"
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const (
	// slowPace is the pace from which a server counts as slow.
	slowPace chivehillupstream.Percent = 150
	// initialPersistence is how long a server is taken to stay slow before any was seen.
	initialPersistence = chivehillclock.Second
	// initialWeight is the number of observations that initialPersistence counts for.
	initialWeight = 3
	// maxWeight is the number of observations at which older ones begin to count less.
	maxWeight = 64
	// maxObservation is the longest time between two reports of a server that shows how long
	// it stays slow. In a longer one it may have recovered and become slow again.
	maxObservation = 5 * chivehillclock.Second
)

// persistence estimates how long servers that report a slow pace stay slow on average, from
// the reports of the same server that follow. It is safe for concurrent use.
type persistence struct {
	mu sync.Mutex
	// slowTime is the total time for which servers were seen to stay slow, and recoveries is
	// how often one ceased to be. Both are above 0.
	slowTime   chivehillclock.Millis
	recoveries float64
}

func newPersistence() *persistence {
	return &persistence{slowTime: initialWeight * initialPersistence, recoveries: initialWeight}
}

// mean returns how long a slow server stays slow on average.
func (p *persistence) mean() chivehillclock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meanLocked()
}

func (p *persistence) meanLocked() chivehillclock.Millis {
	return p.slowTime / chivehillclock.Millis(p.recoveries)
}

// observe records that a server that was slow reported its pace again after some time.
func (p *persistence) observe(elapsed chivehillclock.Millis, pace chivehillupstream.Percent) {
	if elapsed <= 0 || elapsed > maxObservation {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pace >= slowPace {
		p.slowTime += elapsed
		return
	}
	p.slowTime += slowPart(elapsed, p.meanLocked())
	p.recoveries++
	if p.recoveries > maxWeight {
		p.slowTime /= 2
		p.recoveries /= 2
	}
}

// slowPart returns how much of the elapsed time a server was slow on average if it ceased to
// be within that time, for a mean time of staying slow.
func slowPart(elapsed, mean chivehillclock.Millis) chivehillclock.Millis {
	return mean - elapsed/chivehillclock.Millis(math.Expm1(float64(elapsed/mean)))
}
