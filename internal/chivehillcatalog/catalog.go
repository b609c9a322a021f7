package chivehillcatalog

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Decoder decodes the records of the store. The name of a record is the
// identifier of the object that it describes.
type Decoder interface {
	// Configuration decodes a configuration.
	Configuration(Record) (Configuration, error)
	// Server decodes the registration of a server.
	Server(Record) (Server, error)
	// Withdrawal decodes a failure domain that is taken out of service.
	Withdrawal(Record) (chivehillid.DomainID, error)
	// Host decodes the entry of a host.
	Host(Record) (Host, error)
	// Rollout decodes a roll-out. Its service is the name of the record.
	Rollout(Record) (Rollout, error)
}

// Options holds the dependencies of a catalog.
type Options struct {
	Decoder Decoder
	Log     zerolog.Logger
	// Rollouts is set if the deployment has roll-outs, so that they are cached as well.
	Rollouts bool
	// OnChange is called after each update that changed a collection, without locks held.
	OnChange func(Collection)
	// OnIgnored is called for each record that cannot be decoded, with the lock of its
	// collection held.
	OnIgnored func(Collection)
	// OnCopied is called, without locks held, when the store came back from a copy in an era
	// and a collection holds records that the copy lacks. Settle is to be called once their
	// writers had time to write them again.
	OnCopied func(Collection, Era)
}

// Catalog caches all collections. It is safe for concurrent use; each collection
// has its own lock.
type Catalog struct {
	Options

	collections map[Collection]*collectionState

	viewMu sync.RWMutex
	// view is replaced as a whole; its maps are never modified.
	view View
}

type collectionState struct {
	mu      sync.Mutex
	records *records
}

// View is a snapshot of the cached state. Its maps are not modified once the
// view is published.
type View struct {
	// Configuration has version 0 until the first one is decoded.
	Configuration Configuration
	routes        routeTable
	Servers       map[chivehillid.ServerID]Server
	Withdrawn     map[chivehillid.DomainID]bool
	Hosts         map[chivehillid.HostID]Host
	// ServersSynced is set once all servers have been listed.
	ServersSynced bool
	// WithdrawnSynced is set once all withdrawals have been listed.
	WithdrawnSynced bool
	Rollouts        map[chivehillid.ServiceID]Rollout
	// RolloutsSynced is set once all roll-outs have been listed. It stays false in a
	// deployment without roll-outs.
	RolloutsSynced bool
	// hasRollouts is set in a deployment with roll-outs.
	hasRollouts bool
}

// Loaded reports whether the view holds what a host needs to serve requests.
func (v View) Loaded() bool {
	return v.Configuration.Version > 0 && v.ServersSynced && v.WithdrawnSynced && (v.RolloutsSynced || !v.hasRollouts)
}

// FindRoute returns the route with the longest path prefix that matches a request.
func (v View) FindRoute(hostname, path string) (Route, bool) {
	return v.routes.find(hostname, path)
}

// RoutesOf returns the routes of a host name.
func (v View) RoutesOf(hostname string) []Route {
	return v.routes[hostname]
}

// New returns an empty catalog.
func New(o Options) *Catalog {
	c := &Catalog{Options: o, collections: make(map[Collection]*collectionState), view: View{hasRollouts: o.Rollouts}}
	for _, name := range c.Collections() {
		c.collections[name] = &collectionState{records: newRecords()}
	}
	c.collections[Configurations].records.precedes = c.hasOlderVersion
	return c
}

// Collections returns the collections that the catalog caches.
func (c *Catalog) Collections() []Collection {
	if !c.Rollouts {
		return Collections
	}
	return append(slices.Clone(Collections), Rollouts)
}

// Caches reports whether the catalog caches a collection.
func (c *Catalog) Caches(name Collection) bool { return c.collections[name] != nil }

// View returns the current snapshot.
func (c *Catalog) View() View {
	c.viewMu.RLock()
	defer c.viewMu.RUnlock()
	return c.view
}

// AsOf returns the revision up to which a collection is complete, 0 if it has
// never been listed.
func (c *Catalog) AsOf(name Collection) Revision {
	asOf, _ := c.State(name)
	return asOf
}

// State returns the revision up to which a collection is complete and the digest
// of its records. Both are 0 if it has never been listed.
func (c *Catalog) State(name Collection) (asOf Revision, digest Digest) {
	s := c.collections[name]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.records.synced {
		return 0, 0
	}
	return s.records.asOf, s.records.digest
}

// Record returns a record of a collection.
func (c *Catalog) Record(collection Collection, name string) (Record, bool) {
	s := c.collections[collection]
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.records.live[name]
	return r, found
}

// Confirm raises the revision up to which a collection is complete to that of a
// peer, if the digest shows that the peer holds the same records.
func (c *Catalog) Confirm(name Collection, asOf Revision, digest Digest) {
	s := c.collections[name]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records.synced && s.records.digest == digest {
		s.records.asOf = max(s.records.asOf, asOf)
	}
}

// Snapshot returns a full update of a collection. Its AsOf is 0 if the collection
// has never been listed.
func (c *Catalog) Snapshot(name Collection) Update {
	s := c.collections[name]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.records.synced {
		return Update{}
	}
	return s.records.snapshot()
}

// Apply merges an update into a collection and returns what peers are to learn of it: no
// records if it changed nothing.
func (c *Catalog) Apply(name Collection, u Update) Update {
	return c.change(name, func(r *records) ([]change, Update) {
		changes := r.apply(time.Now(), u)
		return changes, r.passOn(u, changes)
	})
}

// Settle gives up the records that the store lacks since it came back from a copy in the
// given era, and returns the changes.
func (c *Catalog) Settle(name Collection, era Era) Update {
	return c.change(name, func(r *records) ([]change, Update) {
		changes := r.settle(time.Now(), era)
		return changes, r.news(changes, true)
	})
}

// Returned returns the records that were removed before the store came back from a copy,
// and that the copy still has.
func (c *Catalog) Returned(name Collection) []Record {
	s := c.collections[name]
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.records.copied.removed))
}

// change changes the records of a collection. It returns what apply returns for peers.
func (c *Catalog) change(name Collection, apply func(*records) (changes []change, forPeers Update)) Update {
	s := c.collections[name]
	s.mu.Lock()
	wasSynced := s.records.synced
	changes, forPeers := apply(s.records)
	copiedEra := s.records.copied.beginWaiting()
	changed := len(changes) > 0 || wasSynced != s.records.synced
	if changed {
		c.rebuild(name, s.records, changes)
		c.logChanges(name, s.records, changes, wasSynced)
	}
	s.mu.Unlock()
	if changed && c.OnChange != nil {
		c.OnChange(name)
	}
	if copiedEra != 0 && c.OnCopied != nil {
		c.OnCopied(name, copiedEra)
	}
	return forPeers
}

// rebuild replaces the part of the view that is derived from a collection. The
// caller holds the lock of the collection, so that its rebuilds happen in order.
func (c *Catalog) rebuild(name Collection, r *records, changes []change) {
	switch name {
	case Configurations:
		c.rebuildConfiguration(changes)
	case Servers:
		servers := decodeChanges(c, name, c.View().Servers, changes, c.Decoder.Server)
		c.replace(func(v *View) { v.Servers, v.ServersSynced = servers, r.synced })
	case Withdrawals:
		withdrawn := decodeChanges(c, name, c.View().Withdrawn, changes, c.decodeWithdrawal)
		c.replace(func(v *View) { v.Withdrawn, v.WithdrawnSynced = withdrawn, r.synced })
	case Hosts:
		hosts := decodeChanges(c, name, c.View().Hosts, changes, c.Decoder.Host)
		c.replace(func(v *View) { v.Hosts = hosts })
	case Rollouts:
		rollouts := decodeChanges(c, name, c.View().Rollouts, changes, c.Decoder.Rollout)
		c.replace(func(v *View) { v.Rollouts, v.RolloutsSynced = rollouts, r.synced })
	}
}

// maxInitialRecordLogs is the maximum number of records that are logged one by one
// when a collection is listed for the first time.
const maxInitialRecordLogs = 16

// logChanges logs each change, and the first complete list of a collection.
func (c *Catalog) logChanges(name Collection, r *records, changes []change, wasSynced bool) {
	if !wasSynced && r.synced {
		c.Log.Info().Str("collection", string(name)).Int("records", len(r.live)).Uint64("as-of", uint64(r.asOf)).Msg("catalog: collection listed for the first time.")
		if len(changes) > maxInitialRecordLogs {
			return
		}
	}
	for _, e := range changes {
		c.Log.Info().Str("collection", string(name)).Str("name", e.record.Name).Uint64("revision", uint64(e.record.Revision)).
			Uint64("as-of", uint64(r.asOf)).Bool("removed", e.removed).Msg("catalog: record changed.")
	}
}

// rebuildConfiguration puts the newest configuration that can be decoded in
// force. One that cannot be decoded or is older changes nothing.
func (c *Catalog) rebuildConfiguration(changes []change) {
	for _, e := range changes {
		if e.removed {
			continue
		}
		configuration, err := c.Decoder.Configuration(e.record)
		if err != nil {
			c.countIgnored(Configurations)
			c.Log.Error().Str("step", "decode-configuration").Str("name", e.record.Name).
				Uint64("revision", uint64(e.record.Revision)).Err(err).Msg("catalog: configuration could not be decoded; the current one stays in force.")
			continue
		}
		routes := newRouteTable(configuration.Routes)
		c.replace(func(v *View) {
			if configuration.Version > v.Configuration.Version {
				v.Configuration, v.routes = configuration, routes
			}
		})
		c.Log.Info().Uint64("version", uint64(configuration.Version)).Uint64("revision", uint64(e.record.Revision)).
			Int("routes", len(configuration.Routes)).Msg("catalog: configuration received.")
	}
}

func (c *Catalog) countIgnored(name Collection) {
	if c.OnIgnored != nil {
		c.OnIgnored(name)
	}
}

// hasOlderVersion reports whether a configuration has a lower version than another one.
// One that cannot be decoded has none.
func (c *Catalog) hasOlderVersion(a, b Record) bool {
	older, err := c.Decoder.Configuration(a)
	if err != nil {
		return false
	}
	newer, err := c.Decoder.Configuration(b)
	return err == nil && older.Version < newer.Version
}

func (c *Catalog) replace(change func(*View)) {
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	view := c.view
	change(&view)
	c.view = view
}

func (c *Catalog) decodeWithdrawal(r Record) (bool, error) {
	_, err := c.Decoder.Withdrawal(r)
	return err == nil, err
}

// decodeChanges returns the decoded objects of a collection after changes. A
// record that cannot be decoded is left out, even if an earlier revision of it
// could be. The caller holds the lock of the collection.
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
			c.countIgnored(name)
			c.Log.Warn().Str("step", "decode").Str("collection", string(name)).Str("name", e.record.Name).
				Uint64("revision", uint64(e.record.Revision)).Err(err).Msg("catalog: record could not be decoded and is ignored.")
			continue
		}
		decoded[K(e.record.Name)] = value
	}
	return decoded
}
