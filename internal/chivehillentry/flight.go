package chivehillentry

import (
	"context"
	"errors"
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillbalance"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehilldispatch"
	"github.com/chivehill/chivehill/internal/chivehillhedge"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillinvariant"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillslot"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
)

// maxAttempts bounds the sendings of one request, hedges included.
const maxAttempts = 4

const (
	// refusalTime is the time left to tell the caller that no slot became free.
	refusalTime = 20 * chivehillclock.Millisecond
	// refusalShare bounds it to a share of the time left.
	refusalShare = 0.1
)

// acquire waits for a slot that may be used for the call.
func (e *Entry) acquire(ctx context.Context, c *call, exclude []chivehillid.ServerID, hedge bool) (*chivehillslot.Slot, error) {
	until := c.deadline
	if !c.route.Idempotent {
		// The end of the wait is to be known before the caller's time is over.
		until -= min(refusalTime, e.left(c.deadline)*refusalShare)
	}
	if hedge {
		until = min(until, e.Clock.Now()+chivehillhedge.MaxWait)
	}
	slot, err := e.Slots.Acquire(ctx, c.route.Pool, chivehillbalance.Request{
		Deadline: c.deadline, Tenant: c.tenant, Regions: c.regions, Exclude: exclude,
		WaitUntil: until, NoSlack: hedge, LinkOpen: !hedge && e.link.Open(e.Clock.Now()),
	})
	if err == nil {
		return slot, nil
	}
	var refusal chivehillreason.Refusal
	if errors.As(err, &refusal) && refusal.Reason == chivehillreason.CallerGone && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: chivehillreason.DeadlinePassed}
	}
	return nil, err
}

// check tells whether a slot may be used at this moment. It runs right before
// each sending, since the host may have been paused since the slot was granted.
func (e *Entry) check(c *call, slot *chivehillslot.Slot) (chivehilldispatch.Target, chivehillreason.Reason) {
	now := e.Clock.Now()
	view := e.Cluster.View()
	server, found := view.Server(slot.Server)
	region := e.Cluster.RegionOf(server.FailureDomain)
	switch {
	case now >= c.deadline:
		return chivehilldispatch.Target{}, chivehillreason.DeadlinePassed
	case now >= slot.ValidUntil, !found, view.DomainOut(server.FailureDomain):
		return chivehilldispatch.Target{}, chivehillreason.SlotExpired
	case !e.Cluster.MayServe():
		return chivehilldispatch.Target{}, chivehillreason.ConfigUnconfirmed
	case !c.regions.Allows(region):
		return chivehilldispatch.Target{}, chivehillreason.RegionForbidden
	}
	return chivehilldispatch.Target{Name: string(slot.Server), Address: server.Address, Region: region}, ""
}

// flight is one sending of a request.
type flight struct {
	slot    *chivehillslot.Slot
	attempt chivehilldispatch.Attempt
	hedge   bool
}

// send sends the call once. The slot is released unless the answer is still
// being streamed; then finish does it.
func (e *Entry) send(ctx context.Context, c *call, f *flight, t chivehilldispatch.Target) {
	now := e.Clock.Now()
	chivehillinvariant.Assert(now < c.deadline, chivehillinvariant.NotRunIsTrue, "request is sent after its deadline")
	if f.slot.Owner != e.Self.Host {
		e.Metrics.RemoteSlots.Inc()
	}
	f.attempt = e.Dispatcher.Send(ctx, c.request, t, c.deadline-now)
	e.chargeLink(t, len(c.request.Body), f.attempt.Response)
	if f.attempt.Response == nil || f.attempt.Response.Rest == nil {
		f.slot.Release(f.attempt.Result, f.attempt.Took, f.attempt.Cold)
	}
	if f.attempt.Err != nil && ctx.Err() == nil {
		e.Log.Info().Str("step", "send").Str("peer", t.Name).Err(f.attempt.Err).Msg("entry: server failed.")
	}
}

// finish releases the slot of a streamed answer.
func (e *Entry) finish(f *flight) {
	if f.attempt.Response != nil && f.attempt.Response.Rest != nil {
		_ = f.attempt.Response.Rest.Close()
		f.slot.Release(f.attempt.Result, f.attempt.Took, f.attempt.Cold)
	}
}

// chargeLink counts bytes that crossed regions against the budget.
func (e *Entry) chargeLink(t chivehilldispatch.Target, body int, resp *chivehilldispatch.Response) {
	if t.Region == e.Self.Region {
		return
	}
	const headerBytes = 600
	n := headerBytes + body
	if resp != nil {
		n += len(resp.Body)
	}
	e.link.Charge(e.Clock.Now(), float64(n))
	e.Metrics.LinkBytes.Add(float64(n))
}

// killed records that a request broke its connection and reports whether it
// may be sent again.
func (e *Entry) killed(c *call) bool {
	now := e.Clock.Now()
	kills := e.Suspects.Record(now, c.fingerprint, e.Self.Host)
	e.Cluster.TellSuspect(c.fingerprint, kills, c.regions)
	return !e.suspect(c)
}

// suspect reports whether a request has killed as many servers as it may.
func (e *Entry) suspect(c *call) bool {
	limit := chivehillsuspect.KillLimit(c.route.Idempotent)
	return e.Suspects.Kills(e.Clock.Now(), c.fingerprint) >= limit
}

// delays holds the hedging delay of each route, each under its own lock.
type delays struct {
	routes sync.Map
}

func (d *delays) of(route chivehillid.RouteID) *chivehillhedge.Delay {
	if found, ok := d.routes.Load(route); ok {
		return found.(*chivehillhedge.Delay)
	}
	found, _ := d.routes.LoadOrStore(route, chivehillhedge.NewDelay())
	return found.(*chivehillhedge.Delay)
}

// observeAdded records the time from arrival to dispatch.
func (e *Entry) observeAdded(c *call) {
	added := e.Clock.Now() - c.arrived
	e.Metrics.AddedSeconds.Observe(float64(added / chivehillclock.Second))
}
