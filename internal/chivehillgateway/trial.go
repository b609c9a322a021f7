package chivehillgateway

import (
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillrollout"
	"github.com/chivehill/chivehill/internal/chivehillselector"
)

// Answer is what one server made of one request, as far as it tells how good its version is.
type Answer struct {
	Server chivehillcatalog.Server
	Stage  chivehillrollout.Stage
	Route  chivehillid.RouteID
	// Failed is set if the answer was not usable.
	Failed bool
	Took   chivehillclock.Millis
}

// chooseTrial returns a server of a version under trial if this host may send it a request
// and one is expected to answer in time, else nil. A request is considered once, and not
// after it was sent.
func (g *Gateway) chooseTrial(c *call) *choice {
	if c.triedVersion || c.attempts > 0 || !g.Table.MayTry(c.service.ID) {
		return nil
	}
	c.triedVersion = true
	requirements := c.requirements()
	requirements.Trial = true
	chosen := g.probeRound(c, g.Table.Spread(requirements, probesPerRound))
	if chosen != nil && g.inTime(c, chosen.assessment) {
		return chosen
	}
	chosen.release()
	return nil
}

// compare reports the outcome of an attempt at a server that counts in the comparison of two
// versions. Refusals, servers that cannot be reached and callers that left say nothing.
func (g *Gateway) compare(c *call, candidate chivehillselector.Candidate, outcome chivehillselector.Outcome) {
	if !candidate.Sampled || g.OnAnswer == nil {
		return
	}
	answer := Answer{Server: candidate.Server, Stage: candidate.Stage, Route: c.route.ID, Took: g.Clock.Now() - c.sentAt}
	switch outcome.(type) {
	case chivehillselector.Served:
	case chivehillselector.Failed:
		answer.Failed = true
	case chivehillselector.Refused, chivehillselector.Unreachable, chivehillselector.Moved, chivehillselector.Abandoned:
		return
	}
	g.OnAnswer(answer)
}
