package chivehillgateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillplace"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const (
	// askAtOnce is the number of servers asked side by side.
	askAtOnce = 2
	// nearRounds is the most times that further servers of the region are asked.
	nearRounds = 3
	// askPatience is how long a round waits for its answers.
	askPatience = 10 * chivehillclock.Millisecond
	// farAskPatience is the same across regions.
	farAskPatience = 60 * chivehillclock.Millisecond
	// askTimeout ends a health check. A full server answers late.
	askTimeout = 2 * chivehillclock.Second
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

func (c *choice) release() {
	if c != nil && c.lease != nil {
		c.lease.Release()
		c.lease = nil
	}
}

// choose asks servers until one is good, nearest first, and returns the best,
// nil if none answered. It asks in other regions only if none near is in time.
func (g *Gateway) choose(ctx context.Context, c *call) *choice {
	need := c.need()
	near := g.Table.Near(need, nearRounds*askAtOnce)
	if known := g.knownGood(c, near); known != nil {
		return known
	}
	var best *choice
	for range nearRounds {
		if ctx.Err() != nil || len(near) == 0 || best != nil && best.opinion.Good() {
			break
		}
		n := min(askAtOnce, len(near))
		best = better(best, g.askRound(c, near[:n], askPatience))
		near = near[n:]
	}
	if ctx.Err() != nil || best != nil && g.well(c, best.opinion) {
		return best
	}
	far := g.Table.Far(need, askAtOnce)
	if len(far) == 0 {
		return best
	}
	return better(best, g.askRound(c, far, farAskPatience))
}

// farPart is the part of the objective up to which a request stays in its region.
const farPart = 0.55

// well reports whether a request is answered so early that no server of another
// region need be asked.
func (g *Gateway) well(c *call, o chivehillplace.Opinion) bool {
	return g.inTime(c, o) && (o.Good() || o.Estimate <= farPart*c.route.Objective)
}

// inTime reports whether a request is answered within its route's objective,
// or at least well within the time left where there is none.
func (g *Gateway) inTime(c *call, o chivehillplace.Opinion) bool {
	now := g.Clock.Now()
	due := c.deadline
	if c.route.Objective > 0 {
		due = min(due, c.request.Arrived+c.route.Objective)
	}
	return now+o.Estimate <= due
}

// better keeps the choice with the lower estimate and releases the other.
func better(a, b *choice) *choice {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case b.opinion.Estimate < a.opinion.Estimate:
		a.release()
		return b
	}
	b.release()
	return a
}

// knownGood returns the candidate that would be asked first if it was good a
// moment ago. Others are not looked at, so that each server gets its turn.
func (g *Gateway) knownGood(c *call, candidates []chivehillplace.Candidate) *choice {
	for _, e := range candidates[:min(1, len(candidates))] {
		if e.Distance != chivehillplace.SameDomain || e.Doubtful || e.Cold {
			continue
		}
		load, fresh := g.Table.Recent(e.ID(), chivehillplace.FreshFor)
		if !fresh {
			continue
		}
		o := chivehillplace.NewOpinion(e, chivehillupstream.Remarks{Load: load, HasLoad: true}, c.work)
		if o.Good() {
			return &choice{opinion: o}
		}
	}
	return nil
}

// askRound asks candidates side by side and returns the best that answered in
// time, nil if none did. A good answer ends the round; late ones are still
// learnt from.
func (g *Gateway) askRound(c *call, candidates []chivehillplace.Candidate, patience chivehillclock.Millis) *choice {
	answers := make(chan *choice, len(candidates))
	for _, e := range candidates {
		c.asked++
		health, work := c.service.HealthPath, c.work
		go func() { answers <- g.ask(health, e, work) }()
	}
	timer := time.NewTimer(patience.Duration())
	defer timer.Stop()
	var best *choice
	for i := range candidates {
		select {
		case answer := <-answers:
			best = better(best, answer)
		case <-timer.C:
			go g.useLate(answers, len(candidates)-i)
			return best
		}
		if best != nil && best.opinion.Good() {
			go g.useLate(answers, len(candidates)-i-1)
			return best
		}
	}
	return best
}

// useLate takes the answers that a round did not wait for: a server that has
// room now is offered to the requests that wait.
func (g *Gateway) useLate(answers <-chan *choice, n int) {
	for range n {
		late := <-answers
		if late == nil {
			continue
		}
		late.release()
		g.offer(late.opinion.Candidate, late.opinion.Load)
	}
}

// ask makes a health check. It returns nil if the server gave no usable answer.
func (g *Gateway) ask(path string, e chivehillplace.Candidate, work chivehillclock.Millis) *choice {
	// A health check goes on when the caller leaves: ending it would cost the connection.
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout.Duration())
	defer cancel()
	g.Table.Asking(e.ID())
	defer g.Table.Asked(e.ID())
	lease, err := g.Servers.Pool(e.Server).Take(ctx, dialTime(e))
	if err != nil {
		g.Table.Checked(e.ID(), false, chivehillplace.Unreachable{})
		g.Metrics.Probes.WithLabelValues("unreachable").Inc()
		return nil
	}
	answer, usable, err := lease.Ask(ctx, path, e.Server.Address)
	if err != nil {
		g.Metrics.Probes.WithLabelValues("failed").Inc()
		g.Log.Debug().Str("server", string(e.ID())).Str("peer", e.Server.Address).Err(err).Msg("gateway: health check failed.")
		g.Table.Checked(e.ID(), false, probeOutcome(err))
		return nil
	}
	return g.judge(e, answer, usable, lease, work)
}

func dialTime(e chivehillplace.Candidate) chivehillclock.Millis {
	if e.Distance == chivehillplace.OtherRegion {
		return farDialTimeout
	}
	return dialTimeout
}

// judge takes over what a health check told.
func (g *Gateway) judge(e chivehillplace.Candidate, answer chivehillupstream.Answer, usable bool, lease *chivehillupstream.Lease, work chivehillclock.Millis) *choice {
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
	chosen := &choice{opinion: chivehillplace.NewOpinion(e, remarks, work)}
	if usable {
		chosen.lease = lease
	}
	if !healthy {
		chosen.release()
		return nil
	}
	return chosen
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
