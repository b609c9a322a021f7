package chivehillgateway

import (
	"context"
	"sync"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillqueue"
	"github.com/chivehill/chivehill/internal/chivehillselector"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const (
	// pollInterval is the time between two polls for capacity while requests wait.
	pollInterval = 40 * chivehillclock.Millisecond
	// lateWaitFraction is the fraction of the remaining time for which a request
	// waits if it can no longer meet its objective.
	lateWaitFraction = 0.15
)

// queues holds the queue of waiting requests of each service.
type queues struct {
	mu        sync.Mutex
	byService map[chivehillid.ServiceID]*chivehillqueue.Queue
}

func (q *queues) forService(service chivehillid.ServiceID) *chivehillqueue.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	found := q.byService[service]
	if found == nil {
		found = &chivehillqueue.Queue{}
		if q.byService == nil {
			q.byService = make(map[chivehillid.ServiceID]*chivehillqueue.Queue)
		}
		q.byService[service] = found
	}
	return found
}

// giveUp gives up the waiting requests of all services that match.
func (q *queues) giveUp(match func(*chivehillqueue.Waiter) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, queue := range q.byService {
		queue.GiveUp(match)
	}
}

// findServer returns a server for a request. If no server is expected to answer in
// time, the request waits for capacity until its latest useful start. It returns
// nil if no server was found by then.
func (g *Gateway) findServer(ctx context.Context, c *call) *choice {
	chosen := g.choose(ctx, c)
	inTime := chosen != nil && g.inTime(c, chosen.assessment)
	if inTime && g.mayBypassQueue(c, chosen.assessment) {
		return chosen
	}
	chosen.release()
	if g.allQuiet(c.requirements()) {
		return nil
	}
	var spare *chivehillselector.Assessment
	if inTime {
		spare = &chosen.assessment
	}
	return g.waitForCapacity(ctx, c, spare)
}

// mayBypassQueue reports whether a request may be sent to a server without waiting.
// While other requests wait, this needs a server with spare capacity: load beyond
// the point of highest throughput would delay all requests of that server. The request must
// not yield that server to the queue either.
func (g *Gateway) mayBypassQueue(c *call, assessment chivehillselector.Assessment) bool {
	if chivehillselector.HasCapacity(assessment.Load) {
		return !g.yieldsToQueue(c, assessment)
	}
	return g.queues.forService(c.service.ID).Len() == 0
}

// yieldsToQueue reports whether a request joins the queue although a server has spare
// capacity. While requests of workspaces wait, the queue decides who gets the server:
// otherwise a hot workspace would take by the number of its requests what others wait for.
// A request that cannot wait, or a server that is not offered to queues, is left out.
func (g *Gateway) yieldsToQueue(c *call, assessment chivehillselector.Assessment) bool {
	return g.queues.forService(c.service.ID).Shared() && g.isOffered(assessment.Candidate, assessment.Load) && g.latestStart(c) > g.Clock.Now()
}

// latestStart returns the last time at which it is useful to start a request: early
// enough for the objective or, if that can no longer be met, within
// lateWaitFraction of the remaining time. It always leaves the service time before
// the deadline.
func (g *Gateway) latestStart(c *call) chivehillclock.Millis {
	now := g.Clock.Now()
	soon := now + lateWaitFraction*(c.deadline-now)
	return min(max(g.latestInTime(c), soon), c.deadline-c.serviceTime)
}

// latestInTime returns the last start with which a request meets its objective.
func (g *Gateway) latestInTime(c *call) chivehillclock.Millis {
	return c.request.Arrived + c.route.Objective - c.serviceTime
}

// waitForCapacity queues a request until a server with spare capacity is assigned
// to it. It returns nil if that does not happen by the latest useful start, if all
// servers ask for quiet, or if the host stops before the deadline of the request. spare is nil
// or a server that the queue assigns first if it has spare capacity.
func (g *Gateway) waitForCapacity(ctx context.Context, c *call, spare *chivehillselector.Assessment) *choice {
	latestStart := g.latestStart(c)
	now := g.Clock.Now()
	if latestStart <= now {
		return nil
	}
	queue := g.queues.forService(c.service.ID)
	waiter := g.waiter(c, latestStart)
	// The first waiter starts a poller, which ends when it finds the queue empty. If the
	// queue empties and fills again between two polls, a second poller runs beside the
	// first until they find the queue empty.
	if queue.Push(waiter) {
		go g.pollForCapacity(queue, c.service.HealthPath)
	}
	if spare != nil {
		g.offerCapacity(spare.Candidate, spare.Load)
	}
	timer := time.NewTimer((latestStart - now).Duration())
	defer timer.Stop()
	select {
	case assigned, found := <-waiter.Assigned:
		return g.assignedChoice(c, assigned, found)
	case <-timer.C:
		if g.expire(c, queue, waiter) {
			return nil
		}
	case <-ctx.Done():
		if queue.Remove(waiter) {
			return nil
		}
	}
	// A server was assigned at the same time as the wait ended.
	assigned, found := <-waiter.Assigned
	return g.assignedChoice(c, assigned, found)
}

func (g *Gateway) waiter(c *call, latestStart chivehillclock.Millis) *chivehillqueue.Waiter {
	return &chivehillqueue.Waiter{
		Workspace: c.caller.workspace.ID, Priority: c.priority(), Requirements: c.requirements(),
		LatestStart: latestStart, LatestInTime: g.latestInTime(c), ServiceTime: c.serviceTime, Deadline: c.deadline,
		Assigned: make(chan chivehillselector.Candidate, 1),
	}
}

// expire ends the wait of a request that found no room. It reports false if a server was
// assigned at the same time.
func (g *Gateway) expire(c *call, queue *chivehillqueue.Queue, w *chivehillqueue.Waiter) bool {
	removed, starved := queue.Expire(g.Clock.Now(), w)
	if !removed {
		return false
	}
	g.countWait(c, waitExpired)
	if starved && g.starvedLines.Take(g.Clock.Now(), 1) {
		named(g.Log.Info(), c).Str("service", string(c.service.ID)).Int("waiting", queue.Len()).
			Msg("queue: request of a starved workspace found no room in time.")
	}
	return true
}

// waitResult is how a wait for capacity ended.
type waitResult string

// The results of waits. A request whose caller left is not counted.
const (
	waitAssigned waitResult = "assigned"
	waitExpired  waitResult = "expired"
	waitGivenUp  waitResult = "given-up"
)

// countWait counts the end of a wait for its workspace.
func (g *Gateway) countWait(c *call, r waitResult) {
	if w := c.caller.workspace.ID; w != "" {
		g.Metrics.WorkspaceWaits.WithLabelValues(string(w), string(r)).Inc()
	}
}

// assignedChoice returns the choice of a server that was assigned to a queued request, or
// nil if the queue gave the request up.
func (g *Gateway) assignedChoice(c *call, assigned chivehillselector.Candidate, found bool) *choice {
	if !found {
		g.countWait(c, waitGivenUp)
		return nil
	}
	g.countWait(c, waitAssigned)
	load, _ := g.Table.RecentLoad(assigned.ID(), chivehillselector.MaxFreshLoadAge)
	return &choice{assessment: g.Table.Assess(assigned, chivehillupstream.ResponseMetadata{Load: load, HasLoad: load.Slots > 0}, c.serviceTime)}
}

// offerCapacity assigns a server to a queued request if the server has spare
// capacity, is not cold and its rate permits one more request of this host.
func (g *Gateway) offerCapacity(candidate chivehillselector.Candidate, load chivehillupstream.Load) {
	if g.isOffered(candidate, load) {
		g.queues.forService(candidate.Server.Service).Offer(g.Clock.Now(), candidate, g.Table.Eligible)
	}
}

func (g *Gateway) isOffered(candidate chivehillselector.Candidate, load chivehillupstream.Load) bool {
	return chivehillselector.HasCapacity(load) && !candidate.Cold && g.Table.MayClaim(candidate.ID())
}

// pollForCapacity probes servers at intervals until the queue is empty.
func (g *Gateway) pollForCapacity(queue *chivehillqueue.Queue, healthPath string) {
	ticker := time.NewTicker(pollInterval.Duration())
	defer ticker.Stop()
	for range ticker.C {
		if queue.Len() == 0 {
			return
		}
		requirements, found := queue.Peek(g.Clock.Now())
		if !found {
			continue
		}
		if g.allQuiet(requirements) {
			queue.GiveUp(func(w *chivehillqueue.Waiter) bool { return g.allQuiet(w.Requirements) })
			continue
		}
		candidates := g.Table.Spread(requirements, probesPerRound)
		candidates = append(candidates, g.Table.InOtherRegions(requirements, probesPerRound-len(candidates))...)
		for _, candidate := range candidates {
			go g.probeForCapacity(healthPath, candidate)
		}
	}
}

// allQuiet reports whether all servers that could handle a request ask for quiet.
func (g *Gateway) allQuiet(requirements chivehillselector.Requirements) bool {
	_, allQuiet := g.Table.QuietEnd(requirements)
	return allQuiet
}

func (g *Gateway) probeForCapacity(healthPath string, candidate chivehillselector.Candidate) {
	// The service time is 0 because the estimate is not used.
	chosen := g.probe(healthPath, candidate, 0)
	if chosen == nil {
		return
	}
	chosen.release()
	g.offerCapacity(chosen.assessment.Candidate, chosen.assessment.Load)
}
