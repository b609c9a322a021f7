package chivehillgateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillplace"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const (
	// askAtOnce is the number of servers asked side by side.
	askAtOnce = 2
	// maxRounds is the most times that further servers are asked.
	maxRounds = 3
	// askTimeout bounds a health check within the region.
	askTimeout = 12 * chivehillclock.Millisecond
	// farAskTimeout bounds a health check across regions.
	farAskTimeout = 60 * chivehillclock.Millisecond
	// dialTimeout bounds the opening of a connection within the region.
	dialTimeout = 50 * chivehillclock.Millisecond
	// farDialTimeout bounds the opening of a connection across regions.
	farDialTimeout = 200 * chivehillclock.Millisecond
)

// choice is a server with a connection on which it just answered, if it was asked.
type choice struct {
	opinion chivehillplace.Opinion
	// lease is nil if the server was not asked.
	lease *chivehillupstream.Lease
}

func (c choice) release() {
	if c.lease != nil {
		c.lease.Release()
	}
}

// choose asks servers until one is good, and returns the best. It fails if no
// server may get the request.
func (g *Gateway) choose(ctx context.Context, c *call) (choice, bool) {
	candidates := g.Table.Candidates(chivehillplace.Need{Service: c.service.ID, Regions: c.route.Regions, Used: c.used})
	if known, ok := g.knownGood(candidates); ok {
		return choice{opinion: known}, true
	}
	var best choice
	found := false
	for range maxRounds {
		if ctx.Err() != nil || len(candidates) == 0 {
			break
		}
		n := min(askAtOnce, len(candidates))
		round, ok := g.askRound(ctx, c, candidates[:n])
		candidates = candidates[n:]
		if !ok {
			continue
		}
		best, found = better(best, found, round), true
		if best.opinion.Good() {
			break
		}
	}
	return best, found
}

// better keeps the choice with the lower estimate and releases the other.
func better(old choice, has bool, other choice) choice {
	if !has {
		return other
	}
	if other.opinion.Estimate < old.opinion.Estimate {
		old.release()
		return other
	}
	other.release()
	return old
}

// knownGood returns the first candidate nearby that was good a moment ago.
func (g *Gateway) knownGood(candidates []chivehillplace.Candidate) (chivehillplace.Opinion, bool) {
	for _, c := range candidates {
		if c.Distance != chivehillplace.SameDomain || c.Doubtful || c.Cold {
			continue
		}
		load, fresh := g.Table.Recent(c.ID(), chivehillplace.FreshFor)
		if !fresh {
			continue
		}
		o := chivehillplace.NewOpinion(c, chivehillupstream.Remarks{Load: load, HasLoad: true})
		if o.Good() {
			return o, true
		}
	}
	return chivehillplace.Opinion{}, false
}

// askRound asks candidates side by side and returns the best that answered.
// A good answer ends the round.
func (g *Gateway) askRound(ctx context.Context, c *call, candidates []chivehillplace.Candidate) (choice, bool) {
	answers := make(chan *choice, len(candidates))
	for _, e := range candidates {
		c.asked++
		go func() { answers <- g.ask(ctx, c.service.HealthPath, e) }()
	}
	var best choice
	found := false
	for i := range candidates {
		answer := <-answers
		if answer == nil {
			continue
		}
		best, found = better(best, found, *answer), true
		if best.opinion.Good() {
			go releaseRest(answers, len(candidates)-i-1)
			break
		}
	}
	return best, found
}

func releaseRest(answers <-chan *choice, n int) {
	for range n {
		if late := <-answers; late != nil {
			late.release()
		}
	}
}

// ask makes a health check. It returns nil if the server gave no usable answer.
func (g *Gateway) ask(ctx context.Context, path string, e chivehillplace.Candidate) *choice {
	ask, dial := askTimeout, dialTimeout
	if e.Distance == chivehillplace.OtherRegion {
		ask, dial = farAskTimeout, farDialTimeout
	}
	// A health check goes on when the caller leaves: ending it would cost the connection.
	ctx = context.WithoutCancel(ctx)
	lease, err := g.Servers.Pool(e.Server).Take(ctx, dial)
	if err != nil {
		g.Table.Checked(e.ID(), false, chivehillplace.Unreachable{})
		g.Metrics.Probes.WithLabelValues("unreachable").Inc()
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ask.Duration())
	defer cancel()
	answer, usable, err := lease.Ask(ctx, path, e.Server.Address)
	if err != nil {
		g.Metrics.Probes.WithLabelValues("failed").Inc()
		g.Table.Checked(e.ID(), false, probeOutcome(err))
		return nil
	}
	return g.judge(e, answer, usable, lease)
}

// judge takes over what a health check told.
func (g *Gateway) judge(e chivehillplace.Candidate, answer chivehillupstream.Answer, usable bool, lease *chivehillupstream.Lease) *choice {
	remarks := answer.Remarks
	if remarks.Instance != "" && remarks.Instance != e.ID() {
		lease.Drop()
		g.Metrics.Probes.WithLabelValues("moved").Inc()
		g.Table.Checked(e.ID(), false, chivehillplace.Moved{})
		return nil
	}
	healthy := answer.Status == http.StatusOK
	g.Metrics.Probes.WithLabelValues(probeResult(answer)).Inc()
	if remarks.NotExecuted {
		g.Table.Checked(e.ID(), true, chivehillplace.Refused{Remarks: remarks})
	} else {
		g.Table.Checked(e.ID(), healthy, chivehillplace.Served{Remarks: remarks})
	}
	if !usable {
		lease = nil
	}
	if !healthy {
		if lease != nil {
			lease.Release()
		}
		return nil
	}
	return &choice{opinion: chivehillplace.NewOpinion(e, remarks), lease: lease}
}

func probeResult(a chivehillupstream.Answer) string {
	switch {
	case a.Status == http.StatusOK:
		return "healthy"
	case a.Remarks.NotExecuted:
		return "refused"
	}
	return "unhealthy"
}

func probeOutcome(err error) chivehillplace.Outcome {
	if errors.Is(err, chivehillupstream.ErrTimeout) {
		return chivehillplace.GivenUp{}
	}
	return chivehillplace.Failed{}
}
