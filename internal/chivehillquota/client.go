package chivehillquota

import (
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// stockDemandTime is the time over which the client averages demand for its stock.
	stockDemandTime = 300 * chivehillclock.Millisecond
	// stockTime is how much of a workspace's demand is asked for in advance. Much less than
	// Lease, so that few tokens lapse: below 40 requests a second at one host there is no
	// stock, and each request waits for an answer from within the region.
	stockTime = 25 * chivehillclock.Millisecond
)

// Client asks the owner for the tokens of one host's requests and decides to which owner
// the host's share is committed. It takes the time as an argument and is not safe for
// concurrent use.
type Client struct {
	// owner is the owner to which the share is or was committed last, empty at first.
	owner chivehillid.HostID
	// committedUntil is when the share is free for another owner. Until then owner may
	// still grant from it. At first it covers what the host did before it was restarted.
	committedUntil chivehillclock.Millis
	// joined is set once the share was committed to owner.
	joined bool
	// stamp is the newest stamp of owner, received at stampAt; 0 if there is none.
	stamp   chivehillclock.Millis
	stampAt chivehillclock.Millis
	// startingAt is when the share last brought starting tokens along, at first when the
	// client was created.
	startingAt chivehillclock.Millis

	waiting map[chivehillid.WorkspaceID][]*Waiter
	stocks  map[chivehillid.WorkspaceID]*stock
	// asked is what the request that is under way asks for, in its order; askedAt is when it
	// was sent. There is one at a time.
	asked   []asked
	askedAt chivehillclock.Millis
	// lapsed counts the tokens that were granted and not used in time.
	lapsed int
}

// stock holds the tokens of a workspace for which no request waits.
type stock struct {
	// lots are in the order of their ends, and none is empty.
	lots   []lot
	demand average
	// heldUntil is when tokens are asked for in advance again after some were refused.
	heldUntil chivehillclock.Millis
}

// lot is a number of tokens that can be used until the same time.
type lot struct {
	tokens int
	until  chivehillclock.Millis
}

// take takes a token and reports whether there was one. The lots have not lapsed.
func (s *stock) take() bool {
	if len(s.lots) == 0 {
		return false
	}
	s.lots[0].tokens--
	if s.lots[0].tokens == 0 {
		s.lots = s.lots[1:]
	}
	return true
}

// tokens returns how many tokens there are.
func (s *stock) tokens() int {
	n := 0
	for _, l := range s.lots {
		n += l.tokens
	}
	return n
}

type asked struct {
	workspace chivehillid.WorkspaceID
	tokens    int
	waiters   []*Waiter
}

// Waiter is a request that waits for a token. Done is called once, unless the waiter is
// abandoned before.
type Waiter struct {
	Done func(Result)
	gone bool
}

// NewClient returns a client that has not committed its share.
func NewClient(now chivehillclock.Millis) *Client {
	return &Client{
		committedUntil: now + Term, startingAt: now,
		waiting: make(map[chivehillid.WorkspaceID][]*Waiter), stocks: make(map[chivehillid.WorkspaceID]*stock),
	}
}

// Owner returns the owner to which the share was committed last.
func (c *Client) Owner() chivehillid.HostID { return c.owner }

// Free reports whether the share may be committed to another owner.
func (c *Client) Free(now chivehillclock.Millis) bool { return now >= c.committedUntil }

// FreeAt returns when the share may be committed to another owner.
func (c *Client) FreeAt() chivehillclock.Millis { return c.committedUntil }

// Join makes another host the owner. The share must be free.
func (c *Client) Join(owner chivehillid.HostID) {
	c.owner, c.joined, c.stamp = owner, false, 0
}

// Disconnected forgets the stamp of the owner, which may have started again since.
func (c *Client) Disconnected() {
	c.stamp = 0
	c.Failed()
}

// Admit takes a token from the stock and reports whether there was one. If not, done is
// called later, unless the waiter that it returns is abandoned.
func (c *Client) Admit(now chivehillclock.Millis, w chivehillid.WorkspaceID, done func(Result)) (*Waiter, bool) {
	s := c.stocks[w]
	if s == nil {
		s = &stock{demand: average{over: stockDemandTime}}
		c.stocks[w] = s
	}
	s.demand.add(now, 1)
	c.dropLapsed(now, s)
	if s.take() {
		return nil, true
	}
	waiter := &Waiter{Done: done}
	c.waiting[w] = append(c.waiting[w], waiter)
	return waiter, false
}

// Abandon makes sure that Done of a waiter of a workspace is not called any more. A token
// that is granted for it goes to the stock.
func (c *Client) Abandon(id chivehillid.WorkspaceID, w *Waiter) {
	w.gone = true
	c.waiting[id] = slices.DeleteFunc(c.waiting[id], func(e *Waiter) bool { return e == w })
	if len(c.waiting[id]) == 0 {
		delete(c.waiting, id)
	}
}

// dropLapsed removes the tokens of a stock that cannot be used any more.
func (c *Client) dropLapsed(now chivehillclock.Millis, s *stock) {
	for len(s.lots) > 0 && now >= s.lots[0].until {
		c.lapsed += s.lots[0].tokens
		s.lots = s.lots[1:]
	}
}

// Lapsed returns how many tokens have lapsed since the last call.
func (c *Client) Lapsed() int {
	n := c.lapsed
	c.lapsed = 0
	return n
}

// reserve returns how many tokens the stock should hold.
func (s *stock) reserve(now chivehillclock.Millis) int {
	if now < s.heldUntil {
		return 0
	}
	return int(s.demand.perSecond(now) * float64(stockTime/chivehillclock.Second))
}

// low reports whether the stock should be filled up.
func (s *stock) low(now chivehillclock.Millis) bool { return s.tokens()*2 < s.reserve(now) }

// Due reports whether a request has to be sent: tokens are needed, the share has to be
// committed anew, or a stamp is needed for that.
func (c *Client) Due(now chivehillclock.Millis, renew bool) bool {
	if len(c.waiting) > 0 || renew && now >= c.RenewAt() {
		return true
	}
	for _, s := range c.stocks {
		if s.low(now) {
			return true
		}
	}
	return false
}

// RenewAt returns when the share has to be committed anew.
func (c *Client) RenewAt() chivehillclock.Millis {
	if !c.joined || c.stamp == 0 {
		return 0
	}
	return c.askedAt + RenewPeriod
}

// Ask returns the next request to the owner. share is this host's share of each quota. If
// renew is not set, the share is not committed anew, so that it becomes free.
func (c *Client) Ask(now chivehillclock.Millis, renew bool, share float64, window chivehillclock.Millis) chivehillwire.QuotaAsk {
	var ask chivehillwire.QuotaAsk
	c.askedAt = now
	if renew && c.stamp > 0 && now-c.stampAt < Term/2 {
		ask.Stamp, ask.Share, ask.Fresh = c.stamp, share, c.fresh(now, window)
		c.joined = true
		c.committedUntil = max(c.committedUntil, c.stampAt+Term)
	}
	for id, s := range c.stocks {
		c.dropLapsed(now, s)
		waiters := c.waiting[id]
		n := len(waiters)
		if n > 0 || s.low(now) {
			n += max(0, s.reserve(now)-s.tokens())
		}
		if n > 0 {
			c.asked = append(c.asked, asked{workspace: id, tokens: n, waiters: waiters})
			ask.Wants = append(ask.Wants, chivehillwire.QuotaWant{Workspace: id, Tokens: n})
		} else if len(s.lots) == 0 && s.demand.count < forgottenDemand {
			delete(c.stocks, id)
		}
	}
	clear(c.waiting)
	return ask
}

// forgottenDemand is the averaged number of requests below which a stock is removed.
const forgottenDemand = 0.01

// fresh reports whether the share brings starting tokens along: when it comes to an
// owner, at most once in a window.
func (c *Client) fresh(now, window chivehillclock.Millis) bool {
	if c.joined || now-c.startingAt < window+Term+Lease {
		return false
	}
	c.startingAt = now
	return true
}

// Answer gives the tokens granted to those who wait and puts the others into the stock.
// Tokens that arrive too late are not used.
func (c *Client) Answer(now chivehillclock.Millis, a chivehillwire.QuotaAnswer) {
	c.stamp, c.stampAt = a.Stamp, now
	until := c.askedAt + Lease
	if now >= until || len(a.Grants) != len(c.asked) {
		for _, g := range a.Grants {
			c.lapsed += g.Tokens
		}
		c.Failed()
		return
	}
	batches := c.asked
	c.asked = nil
	for i, b := range batches {
		c.distribute(b, a.Grants[i], until)
		if a.Grants[i].Tokens < b.tokens {
			c.stocks[b.workspace].heldUntil = now + Lease
		}
	}
}

func (c *Client) distribute(b asked, g chivehillwire.QuotaGrant, until chivehillclock.Millis) {
	left := min(max(0, g.Tokens), b.tokens)
	for _, w := range b.waiters {
		switch {
		case w.gone:
		case left > 0:
			left--
			w.Done(Result{OK: true})
		default:
			w.Done(Result{RetryAfter: max(minRetry, g.RetryMs)})
		}
	}
	if left > 0 {
		s := c.stocks[b.workspace]
		s.lots = append(s.lots, lot{tokens: left, until: until})
	}
}

// Failed puts the requests back that wait for an answer which will not come.
func (c *Client) Failed() {
	for _, b := range c.asked {
		if waiters := slices.DeleteFunc(b.waiters, func(w *Waiter) bool { return w.gone }); len(waiters) > 0 {
			c.waiting[b.workspace] = append(waiters, c.waiting[b.workspace]...)
		}
	}
	c.asked = nil
}

// Low reports whether the stock of a workspace should be filled up.
func (c *Client) Low(now chivehillclock.Millis, w chivehillid.WorkspaceID) bool {
	s := c.stocks[w]
	return s != nil && s.low(now)
}
