package chivehillbalance

import (
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// outbox collects the actions of one event. Messages to the same peer are
// batched, and each batch carries the sender's load.
type outbox struct {
	actions []Action
	peers   []chivehillid.HostID
	pending map[chivehillid.HostID]*chivehillwire.PoolMessages
}

// to returns the batch of messages to a peer.
func (o *outbox) to(host chivehillid.HostID) *chivehillwire.PoolMessages {
	if m := o.pending[host]; m != nil {
		return m
	}
	if o.pending == nil {
		o.pending = make(map[chivehillid.HostID]*chivehillwire.PoolMessages)
	}
	m := &chivehillwire.PoolMessages{}
	o.pending[host] = m
	o.peers = append(o.peers, host)
	return m
}

// takeActions returns the collected actions. The caller has checked that there are no messages.
func (o *outbox) takeActions() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}

// drain returns the collected actions and messages, and empties the outbox.
func (o *outbox) drain(pool chivehillid.PoolID, load chivehillwire.Load) []Action {
	actions := o.actions
	for _, h := range o.peers {
		m := o.pending[h]
		m.Pool = pool
		m.Load = &chivehillwire.Load{Idle: load.Idle, Limit: load.Limit, Queued: load.Queued, WaitMs: load.WaitMs}
		actions = append(actions, Send{To: h, Messages: *m})
	}
	*o = outbox{}
	return actions
}
