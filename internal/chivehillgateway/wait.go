package chivehillgateway

import (
	"context"
	"sync"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillplace"
	"github.com/chivehill/chivehill/internal/chivehillqueue"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

const (
	// lookPeriod is the time between two looks for room while requests wait.
	lookPeriod = 40 * chivehillclock.Millisecond
	// latePart is the part of the time left for which a request waits that can
	// no longer be answered within its objective.
	latePart = 0.15
)

// queues holds the waiting requests by service.
type queues struct {
	mu        sync.Mutex
	byService map[chivehillid.ServiceID]*chivehillqueue.Queue
}

func (q *queues) of(service chivehillid.ServiceID) *chivehillqueue.Queue {
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

// find returns a server for a request: at once if one is in time, else when one
// has room, as long as starting is of use. It returns nil if there is none.
func (g *Gateway) find(ctx context.Context, c *call) *choice {
	chosen := g.choose(ctx, c)
	if chosen != nil && g.inTime(c, chosen.opinion) && g.mayOvertake(c, chosen.opinion) {
		return chosen
	}
	chosen.release()
	return g.wait(ctx, c)
}

// mayOvertake reports whether a request may go to a server although others
// wait. Then servers are only used as far as they get most done: filling them
// further would make all their requests late.
func (g *Gateway) mayOvertake(c *call, o chivehillplace.Opinion) bool {
	return chivehillplace.HasRoom(o.Load) || g.queues.of(c.service.ID).Len() == 0
}

// latest returns the last moment at which a request should start: in time for
// the objective, or soon if it is late already.
func (g *Gateway) latest(c *call) chivehillclock.Millis {
	now := g.Clock.Now()
	soon := now + latePart*(c.deadline-now)
	return min(max(c.request.Arrived+c.route.Objective-c.work, soon), c.deadline-c.work)
}

// wait waits for room.
func (g *Gateway) wait(ctx context.Context, c *call) *choice {
	latest := g.latest(c)
	now := g.Clock.Now()
	if latest <= now {
		return nil
	}
	queue := g.queues.of(c.service.ID)
	w := &chivehillqueue.Waiter{Priority: c.route.Priority, Latest: latest, Need: c.need(), Room: make(chan chivehillplace.Candidate, 1)}
	if queue.Push(w) {
		go g.lookForRoom(queue, c.service.HealthPath)
	}
	timer := time.NewTimer((latest - now).Duration())
	defer timer.Stop()
	select {
	case room := <-w.Room:
		return g.roomAt(c, room)
	case <-timer.C:
	case <-ctx.Done():
	}
	if queue.Remove(w) {
		return nil
	}
	// The room was given while the wait ended.
	return g.roomAt(c, <-w.Room)
}

func (g *Gateway) roomAt(c *call, room chivehillplace.Candidate) *choice {
	load, _ := g.Table.Recent(room.ID(), chivehillplace.FreshFor)
	return &choice{opinion: chivehillplace.NewOpinion(room, chivehillupstream.Remarks{Load: load, HasLoad: load.Slots > 0}, c.work)}
}

// offer gives the room at a server to a waiting request, if it has room.
func (g *Gateway) offer(c chivehillplace.Candidate, l chivehillupstream.Load) {
	if chivehillplace.HasRoom(l) && !c.Cold {
		g.queues.of(c.Server.Service).Offer(g.Clock.Now(), c, g.Table.Fits)
	}
}

// lookForRoom asks servers again and again while requests wait.
func (g *Gateway) lookForRoom(queue *chivehillqueue.Queue, health string) {
	ticker := time.NewTicker(lookPeriod.Duration())
	defer ticker.Stop()
	for range ticker.C {
		if queue.Len() == 0 {
			return
		}
		need, found := queue.First(g.Clock.Now())
		if !found {
			continue
		}
		candidates := g.Table.Near(need, askAtOnce)
		candidates = append(candidates, g.Table.Far(need, askAtOnce-len(candidates))...)
		for _, e := range candidates {
			go g.askForRoom(health, e)
		}
	}
}

func (g *Gateway) askForRoom(health string, e chivehillplace.Candidate) {
	chosen := g.ask(health, e, 0)
	if chosen == nil {
		return
	}
	chosen.release()
	g.offer(chosen.opinion.Candidate, chosen.opinion.Load)
}
