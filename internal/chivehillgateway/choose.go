package chivehillgateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillselector"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const (
	// probesPerRound is the number of servers probed concurrently.
	probesPerRound = 2
	// regionalRounds is the maximum number of probe rounds within the region.
	regionalRounds = 3
	// roundTimeout is how long a probe round waits for its responses, besides the time for the
	// distance.
	roundTimeout = 10 * chivehillclock.Millisecond
	// boundRounds is the maximum number of probe rounds for a request that no server of this
	// region may handle.
	boundRounds = 3
	// probeTimeout bounds a probe. It is much longer than a round, because
	// a full server answers late.
	probeTimeout = 2 * chivehillclock.Second
	// dialTimeout bounds the opening of a connection within the region.
	dialTimeout = 50 * chivehillclock.Millisecond
	// crossRegionDialTimeout bounds the opening of a connection across regions.
	crossRegionDialTimeout = 200 * chivehillclock.Millisecond
)

// choice is a selected server and, if it was probed, the connection on which it
// answered.
type choice struct {
	assessment chivehillselector.Assessment
	// lease is nil if the server was not probed or its connection cannot be reused.
	lease *chivehillupstream.Lease
}

// release returns the connection of a choice, if it has one, to its pool. It may be called
// on nil.
func (c *choice) release() {
	if c != nil && c.lease != nil {
		c.lease.Release()
		c.lease = nil
	}
}

// choose probes servers, nearest first, until one is good. It returns the best,
// or nil if none answered. Servers of other regions are probed only if no server
// of this region is expected to answer early enough.
func (g *Gateway) choose(ctx context.Context, c *call) *choice {
	requirements := c.requirements()
	inRegion := g.Table.Spread(requirements, regionalRounds*probesPerRound)
	if recent := g.recentlyGood(c, inRegion); recent != nil {
		return recent
	}
	rounds := 1
	if len(inRegion) == 0 {
		rounds = boundRounds
	}
	var best *choice
	for range regionalRounds {
		if ctx.Err() != nil || len(inRegion) == 0 || best != nil && best.assessment.GoodEnough() {
			break
		}
		n := min(probesPerRound, len(inRegion))
		best = keepBetter(best, g.probeRound(c, inRegion[:n]))
		inRegion = inRegion[n:]
	}
	if ctx.Err() != nil || best != nil && g.staysInRegion(c, best.assessment) {
		return best
	}
	return g.chooseInOtherRegions(ctx, c, best, rounds)
}

// chooseInOtherRegions probes servers of other regions, in up to the given number of rounds. It
// returns the best of them and of best, which may be nil.
func (g *Gateway) chooseInOtherRegions(ctx context.Context, c *call, best *choice, rounds int) *choice {
	candidates := g.Table.InOtherRegions(c.requirements(), rounds*probesPerRound)
	for i := 0; len(candidates) > 0 && ctx.Err() == nil && (i == 0 || mayGain(best, candidates[0])); i++ {
		n := min(probesPerRound, len(candidates))
		best = keepBetter(best, g.probeRound(c, candidates[:n]))
		candidates = candidates[n:]
	}
	return best
}

// mayGain reports whether a server that is idle and at its usual pace would answer earlier than
// the best so far, though it must be probed first.
func mayGain(best *choice, candidate chivehillselector.Candidate) bool {
	if best == nil {
		return true
	}
	a := best.assessment
	return !a.GoodEnough() && candidate.ProbeTime()+candidate.RoundTrip+a.ServiceTime < a.Estimate
}

// regionalFraction is the fraction of the objective up to which an estimate keeps
// a request in its region.
const regionalFraction = 0.55

// staysInRegion reports whether the estimate is low enough that no server of
// another region needs to be probed.
func (g *Gateway) staysInRegion(c *call, assessment chivehillselector.Assessment) bool {
	return g.inTime(c, assessment) && (assessment.GoodEnough() || assessment.Estimate <= regionalFraction*c.route.Objective)
}

// inTime reports whether the estimate meets the route's objective and the deadline
// of the request. A route without an objective is held to the deadline alone.
func (g *Gateway) inTime(c *call, assessment chivehillselector.Assessment) bool {
	now := g.Clock.Now()
	due := c.deadline
	if c.route.Objective > 0 {
		due = min(due, c.request.Arrived+c.route.Objective)
	}
	return now+assessment.Estimate <= due
}

// keepBetter returns the choice with the lower estimate and releases the other.
func keepBetter(a, b *choice) *choice {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case b.assessment.Estimate < a.assessment.Estimate:
		a.release()
		return b
	}
	b.release()
	return a
}

// recentlyGood returns the first candidate if its load report is at most
// MaxFreshLoadAge old and good, so that it needs no probe. Only the first
// candidate is considered, so that load is spread over all servers.
func (g *Gateway) recentlyGood(c *call, candidates []chivehillselector.Candidate) *choice {
	for _, candidate := range candidates[:min(1, len(candidates))] {
		if candidate.Distance != chivehillselector.SameDomain || candidate.ColdUnknown || candidate.Cold {
			continue
		}
		load, fresh := g.Table.RecentLoad(candidate.ID(), chivehillselector.MaxFreshLoadAge)
		if !fresh {
			continue
		}
		assessment := g.Table.Assess(candidate, chivehillupstream.ResponseMetadata{Load: load, HasLoad: true}, c.serviceTime)
		if assessment.GoodEnough() {
			return &choice{assessment: assessment}
		}
	}
	return nil
}

// probeRound probes candidates concurrently and returns the best that answered
// in time, or nil if none did. The first good result ends the round.
// Later results still update the table and are offered to queued requests.
func (g *Gateway) probeRound(c *call, candidates []chivehillselector.Candidate) *choice {
	timeout := roundTimeout
	results := make(chan *choice, len(candidates))
	for _, candidate := range candidates {
		c.probes++
		timeout = max(timeout, roundTimeout+candidate.ProbeTime())
		healthPath, serviceTime := c.service.HealthPath, c.serviceTime
		go func() { results <- g.probe(healthPath, candidate, serviceTime) }()
	}
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	var best *choice
	for i := range candidates {
		select {
		case result := <-results:
			best = keepBetter(best, result)
		case <-timer.C:
			go g.handleLateProbes(results, len(candidates)-i)
			return best
		}
		if best != nil && best.assessment.GoodEnough() {
			go g.handleLateProbes(results, len(candidates)-i-1)
			return best
		}
	}
	return best
}

// handleLateProbes receives the n results that a round did not wait for and offers
// their servers to queued requests.
func (g *Gateway) handleLateProbes(results <-chan *choice, n int) {
	for range n {
		late := <-results
		if late == nil {
			continue
		}
		late.release()
		g.offerCapacity(late.assessment.Candidate, late.assessment.Load)
	}
}

// probe sends a health check. It returns nil if the server must get none, could not be
// reached, sent no usable response, or is not healthy.
func (g *Gateway) probe(path string, candidate chivehillselector.Candidate, serviceTime chivehillclock.Millis) *choice {
	if !g.Table.MayProbe(candidate.ID()) {
		return nil
	}
	// The context is not derived from the caller's: cancelling a probe would
	// close its connection.
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
	defer cancel()
	g.Table.ProbeStarted(candidate.ID())
	defer g.Table.ProbeEnded(candidate.ID())
	lease, err := g.Pools.Get(candidate.Server).Take(ctx, dialTimeoutFor(candidate))
	if errors.Is(err, chivehillupstream.ErrNoConnection) {
		g.Table.RecordProbe(candidate.ID(), false, chivehillselector.Abandoned{})
		g.Metrics.Probes.WithLabelValues("no-connection").Inc()
		return nil
	}
	if err != nil {
		g.Table.RecordProbe(candidate.ID(), false, chivehillselector.Unreachable{})
		g.Metrics.Probes.WithLabelValues("unreachable").Inc()
		return nil
	}
	sentAt := g.Clock.Now()
	response, usable, err := lease.Probe(ctx, path, candidate.Server.Address)
	if err == nil {
		g.Table.RecordRoundTrip(candidate.Server, g.Clock.Now()-sentAt)
	}
	if err != nil {
		g.Metrics.Probes.WithLabelValues("failed").Inc()
		g.Log.Debug().Str("server", string(candidate.ID())).Str("peer", candidate.Server.Address).Err(err).Msg("gateway: probe failed.")
		g.Table.RecordProbe(candidate.ID(), false, probeOutcome(err))
		return nil
	}
	return g.handleProbe(candidate, response, usable, lease, serviceTime)
}

func dialTimeoutFor(candidate chivehillselector.Candidate) chivehillclock.Millis {
	if candidate.Distance == chivehillselector.OtherRegion {
		return crossRegionDialTimeout
	}
	return dialTimeout
}

// handleProbe records the response to a probe in the table. It returns nil if
// the server is not healthy, another server has the address or its rate permits no
// request of this host now.
func (g *Gateway) handleProbe(candidate chivehillselector.Candidate, response chivehillupstream.Response, usable bool, lease *chivehillupstream.Lease, serviceTime chivehillclock.Millis) *choice {
	metadata := response.Metadata
	if metadata.Instance != "" && metadata.Instance != candidate.ID() {
		lease.Drop()
		g.Metrics.Probes.WithLabelValues("moved").Inc()
		g.Table.RecordProbe(candidate.ID(), false, chivehillselector.Moved{})
		return nil
	}
	g.recordNotice(candidate.Server, metadata)
	healthy := response.Status == http.StatusOK
	g.Metrics.Probes.WithLabelValues(probeResult(response)).Inc()
	if metadata.NotExecuted {
		g.Table.RecordProbe(candidate.ID(), true, chivehillselector.Refused{Metadata: metadata})
	} else {
		g.Table.RecordProbe(candidate.ID(), healthy, chivehillselector.Served{Metadata: metadata})
	}
	chosen := &choice{assessment: g.Table.Assess(candidate, metadata, serviceTime)}
	if usable {
		chosen.lease = lease
	}
	if !healthy || !g.Table.MayClaim(candidate.ID()) {
		chosen.release()
		return nil
	}
	return chosen
}

func probeResult(response chivehillupstream.Response) string {
	switch {
	case response.Status == http.StatusOK:
		return "healthy"
	case response.Metadata.NotExecuted:
		return "refused"
	}
	return "unhealthy"
}

func probeOutcome(err error) chivehillselector.Outcome {
	if errors.Is(err, chivehillupstream.ErrTimeout) {
		return chivehillselector.Abandoned{}
	}
	return chivehillselector.Failed{}
}
