package chivehillcatalog

import (
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Decoder decodes the records of the store. The identifier of what a record
// describes is the name of the record.
type Decoder interface {
	// Configuration decodes a configuration.
	Configuration(Record) (Configuration, error)
	// Server decodes the entry of a server.
	Server(Record) (Server, error)
	// Withdrawal decodes a failure domain that is taken out.
	Withdrawal(Record) (chivehillid.DomainID, error)
	// Host decodes the entry of a host.
	Host(Record) (Host, error)
}

// Options of a catalog.
type Options struct {
	Decoder Decoder
	Log     zerolog.Logger
	// Changed is called after each update that changed a belief, without locks held.
	Changed func(Collection)
}

// Catalog is safe for concurrent use. Each collection has its own lock.
type Catalog struct {
	Options

	shards map[Collection]*shard

	viewMu sync.RWMutex
	// view is replaced, never changed.
	view View
}

type shard struct {
	mu      sync.Mutex
	records *records
}

// View is what a host believes at one moment. Its maps are not changed once
// the view is visible.
type View struct {
	// Configuration has version 0 while none is known.
	Configuration Configuration
	routes        table
	Servers       map[chivehillid.ServerID]Server
	Withdrawn     map[chivehillid.DomainID]bool
	Hosts         map[chivehillid.HostID]Host
	// ServersKnown is set once all servers were listed.
	ServersKnown bool
	// WithdrawnKnown is set once all withdrawals were listed.
	WithdrawnKnown bool
}

// Find returns the route of a request.
func (v View) Find(hostname, path string) (Route, bool) {
	return v.routes.find(hostname, path)
}

// RoutesOf returns the routes of a host name.
func (v View) RoutesOf(hostname string) []Route {
	return v.routes[hostname]
}

// New returns a catalog that knows nothing.
func New(o Options) *Catalog {
	c := &Catalog{Options: o, shards: make(map[Collection]*shard)}
	for _, name := range Collections {
		c.shards[name] = &shard{records: newRecords()}
	}
	return c
}

// View returns the present beliefs.
func (c *Catalog) View() View {
	c.viewMu.RLock()
	defer c.viewMu.RUnlock()
	return c.view
}

// AsOf returns the revision up to which a collection is complete, 0 if it never was.
func (c *Catalog) AsOf(name Collection) Revision {
	asOf, _ := c.State(name)
	return asOf
}

// State returns how much is known of a collection. asOf is 0 if it never was complete.
func (c *Catalog) State(name Collection) (asOf Revision, digest Digest) {
	s := c.shards[name]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.records.known {
		return 0, 0
	}
	return s.records.asOf, s.records.digest
}

// Confirm takes over up to which revision a collection is complete from a peer
// that knows the same records.
func (c *Catalog) Confirm(name Collection, asOf Revision, digest Digest) {
	s := c.shards[name]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records.known && s.records.digest == digest {
		s.records.asOf = max(s.records.asOf, asOf)
	}
}

// Snapshot returns a whole collection. Its AsOf is 0 if the collection is not known.
func (c *Catalog) Snapshot(name Collection) Update {
	s := c.shards[name]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.records.known {
		return Update{}
	}
	return s.records.snapshot()
}

// Apply takes news over and returns the part of it that was new.
func (c *Catalog) Apply(name Collection, u Update) Update {
	s := c.shards[name]
	s.mu.Lock()
	wasKnown, wasAsOf := s.records.known, s.records.asOf
	changes := s.records.apply(time.Now(), u)
	fresh := Update{Since: wasAsOf, AsOf: s.records.asOf}
	for _, e := range changes {
		record := e.record
		record.Deleted = e.removed
		fresh.Records = append(fresh.Records, record)
	}
	changed := len(changes) > 0 || wasKnown != s.records.known
	if changed {
		c.rebuild(name, s.records, changes)
		c.logChanges(name, s.records, changes, wasKnown)
	}
	s.mu.Unlock()
	if changed && c.Changed != nil {
		c.Changed(name)
	}
	return fresh
}

// rebuild replaces the part of the view that a collection decides. The caller
// holds the lock of the collection, so that rebuilds of it do not overtake
// each other.
func (c *Catalog) rebuild(name Collection, r *records, changes []change) {
	switch name {
	case Configurations:
		c.rebuildConfiguration(changes)
	case Servers:
		servers := decodeChanges(c, name, c.View().Servers, changes, c.Decoder.Server)
		c.replace(func(v *View) { v.Servers, v.ServersKnown = servers, r.known })
	case Withdrawals:
		withdrawn := decodeChanges(c, name, c.View().Withdrawn, changes, c.withdrawal)
		c.replace(func(v *View) { v.Withdrawn, v.WithdrawnKnown = withdrawn, r.known })
	case Hosts:
		hosts := decodeChanges(c, name, c.View().Hosts, changes, c.Decoder.Host)
		c.replace(func(v *View) { v.Hosts = hosts })
	}
}

// maxFirstLines is the most records that are logged one by one when a collection
// becomes known.
const maxFirstLines = 16

// logChanges logs each change, and that a collection became known.
func (c *Catalog) logChanges(name Collection, r *records, changes []change, wasKnown bool) {
	if !wasKnown && r.known {
		c.Log.Info().Str("collection", string(name)).Int("records", len(r.live)).Uint64("as-of", uint64(r.asOf)).Msg("catalog: collection known.")
		if len(changes) > maxFirstLines {
			return
		}
	}
	for _, e := range changes {
		c.Log.Info().Str("collection", string(name)).Str("name", e.record.Name).Uint64("revision", uint64(e.record.Revision)).
			Uint64("as-of", uint64(r.asOf)).Bool("removed", e.removed).Msg("catalog: record changed.")
	}
}

// rebuildConfiguration puts the newest readable configuration in force. An
// unreadable or older one changes nothing.
func (c *Catalog) rebuildConfiguration(changes []change) {
	for _, e := range changes {
		if e.removed {
			continue
		}
		configuration, err := c.Decoder.Configuration(e.record)
		if err != nil {
			c.Log.Error().Str("step", "decode-configuration").Str("name", e.record.Name).
				Uint64("revision", uint64(e.record.Revision)).Err(err).Msg("catalog: configuration kept.")
			continue
		}
		routes := newTable(configuration.Routes)
		c.replace(func(v *View) {
			if configuration.Version > v.Configuration.Version {
				v.Configuration, v.routes = configuration, routes
			}
		})
		c.Log.Info().Uint64("version", uint64(configuration.Version)).Uint64("revision", uint64(e.record.Revision)).
			Int("routes", len(configuration.Routes)).Msg("catalog: configuration received.")
	}
}

func (c *Catalog) replace(change func(*View)) {
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	view := c.view
	change(&view)
	c.view = view
}

func (c *Catalog) withdrawal(r Record) (bool, error) {
	_, err := c.Decoder.Withdrawal(r)
	return err == nil, err
}

// decodeChanges returns what was decoded of a collection after changes. What
// cannot be read is left out, also if it could be read before. The caller holds
// the lock of the collection.
func decodeChanges[K ~string, T any](c *Catalog, name Collection, old map[K]T, changes []change, decode func(Record) (T, error)) map[K]T {
	decoded := make(map[K]T, len(old)+len(changes))
	maps.Copy(decoded, old)
	for _, e := range changes {
		delete(decoded, K(e.record.Name))
		if e.removed {
			continue
		}
		value, err := decode(e.record)
		if err != nil {
			c.Log.Warn().Str("step", "decode").Str("collection", string(name)).Str("name", e.record.Name).
				Uint64("revision", uint64(e.record.Revision)).Err(err).Msg("catalog: record left out.")
			continue
		}
		decoded[K(e.record.Name)] = value
	}
	return decoded
}
