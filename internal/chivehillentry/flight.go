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

// maxAttempts bounds the attempts for one request, hedges included.
const maxAttempts = 4

const (
	// refusalMargin is the time reserved before the deadline to tell the caller
	// that no slot became free.
	refusalMargin = 20 * chivehillclock.Millisecond
	// refusalMarginRatio caps refusalMargin at a fraction of the remaining time.
	refusalMarginRatio = 0.1
)

// acquire waits for a slot on a server in the call's regions that is not in
// exclude. A hedge waits for at most chivehillhedge.MaxWait.
func (e *Entry) acquire(ctx context.Context, c *call, exclude []chivehillid.ServerID, hedge bool) (*chivehillslot.Slot, error) {
	until := c.deadline
	if !c.route.Idempotent {
		// The caller must learn before its deadline that the wait failed.
		until -= min(refusalMargin, e.remaining(c.deadline)*refusalMarginRatio)
	}
	if hedge {
		until = min(until, e.Clock.Now()+chivehillhedge.MaxWait)
	}
	slot, err := e.Slots.Acquire(ctx, c.route.Pool, chivehillbalance.Request{
		Deadline: c.deadline, Tenant: c.tenant, Regions: c.regions, Exclude: exclude,
		WaitUntil: until, NoSlack: hedge, LinkOpen: !hedge && e.linkBudget.Open(e.Clock.Now()),
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

// checkSlot returns the target of a slot, or the reason why the slot must not be
// used now. It runs right before each attempt, because the host may have been
// paused since the slot was granted.
func (e *Entry) checkSlot(c *call, slot *chivehillslot.Slot) (chivehilldispatch.Target, chivehillreason.Reason) {
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

// attempt is one attempt to send a request to a server.
type attempt struct {
	slot   *chivehillslot.Slot
	result chivehilldispatch.Attempt
	hedge  bool
}

// send sends the call once. It releases the slot unless the response is still
// being streamed; closeStreamed releases it then.
func (e *Entry) send(ctx context.Context, c *call, f *attempt, t chivehilldispatch.Target) {
	now := e.Clock.Now()
	chivehillinvariant.Assert(now < c.deadline, chivehillinvariant.NotRunIsTrue, "request sent after its deadline")
	if f.slot.Owner != e.Self.Host {
		e.Metrics.RemoteSlots.Inc()
	}
	f.result = e.Dispatcher.Send(ctx, c.request, t, c.deadline-now)
	e.chargeLink(t, len(c.request.Body), f.result.Response)
	if f.result.Response == nil || f.result.Response.Rest == nil {
		f.slot.Release(f.result.Result, f.result.Took, f.result.Cold)
	}
	if f.result.Err != nil && ctx.Err() == nil {
		e.Log.Info().Str("step", "send").Str("peer", t.Name).Err(f.result.Err).Msg("entry: request to server failed.")
	}
}

// closeStreamed closes a streamed response and releases its slot.
func (e *Entry) closeStreamed(f *attempt) {
	if f.result.Response != nil && f.result.Response.Rest != nil {
		_ = f.result.Response.Rest.Close()
		f.slot.Release(f.result.Result, f.result.Took, f.result.Cold)
	}
}

// chargeLink charges bytes sent between regions to the link budget.
func (e *Entry) chargeLink(t chivehilldispatch.Target, body int, resp *chivehilldispatch.Response) {
	if t.Region == e.Self.Region {
		return
	}
	const headerBytes = 600
	n := headerBytes + body
	if resp != nil {
		n += len(resp.Body)
	}
	e.linkBudget.Charge(e.Clock.Now(), float64(n))
	e.Metrics.LinkBytes.Add(float64(n))
}

// recordKill records that a request broke its server connection and reports
// whether it may be sent again.
func (e *Entry) recordKill(c *call) bool {
	now := e.Clock.Now()
	kills := e.Suspects.Record(now, c.fingerprint, e.Self.Host, c.regions)
	e.Cluster.TellSuspect(c.fingerprint, kills, c.regions)
	return !e.isSuspect(c)
}

// isSuspect reports whether a request has broken as many server connections as
// allowed and must not be sent again.
func (e *Entry) isSuspect(c *call) bool {
	limit := chivehillsuspect.KillLimit(c.route.Idempotent)
	return e.Suspects.Kills(e.Clock.Now(), c.fingerprint) >= limit
}

// hedgeDelays holds the hedge delay of each route. Each delay has its own lock.
type hedgeDelays struct {
	byRoute sync.Map
}

func (d *hedgeDelays) get(route chivehillid.RouteID) *chivehillhedge.Delay {
	if found, ok := d.byRoute.Load(route); ok {
		return found.(*chivehillhedge.Delay)
	}
	found, _ := d.byRoute.LoadOrStore(route, chivehillhedge.NewDelay())
	return found.(*chivehillhedge.Delay)
}

// observeAddedLatency records the time from arrival until a slot was acquired.
func (e *Entry) observeAddedLatency(c *call) {
	added := e.Clock.Now() - c.arrived
	e.Metrics.AddedSeconds.Observe(float64(added / chivehillclock.Second))
}
