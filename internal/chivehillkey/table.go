package chivehillkey

import (
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
)

const shardCount = 16

// Answer is the final state of a request: its outcome and, if it is still stored,
// the response of the server.
type Answer struct {
	Outcome chivehillreason.Outcome
	Reason  chivehillreason.Reason
	// Status is the HTTP status of the stored response, 0 if none is stored.
	Status int
	Header http.Header
	Body   []byte
}

// size returns the size of the stored response: its body and header fields.
func (a Answer) size() chivehillid.Bytes {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return chivehillid.Bytes(n)
}

// Entry is the state of one stored key.
type Entry struct {
	// requestHash is the hash of the request parts that must be equal in all requests
	// with the same key.
	requestHash uint64
	// done is closed once answer is set.
	done chan struct{}
	// answer is set once, before done is closed. Afterwards only its stored response
	// may be evicted.
	answer Answer
	// regionBound is set if the request may be processed in some regions only.
	regionBound bool
}

// Ended returns a channel that is closed when the answer of the request is set.
func (e *Entry) Ended() <-chan struct{} {
	return e.done
}

// Claim is the result of Table.Claim: First, Repeat or Refused.
type Claim interface{ claim() }

// First means that the key is new. The caller may run the request once and
// must call End.
type First struct{ Entry *Entry }

// Repeat means that the key is stored already. The answer is available when Entry
// has ended.
type Repeat struct{ Entry *Entry }

// Refused means that the request must not run.
type Refused struct{ Refusal chivehillreason.Refusal }

func (First) claim()   {}
func (Repeat) claim()  {}
func (Refused) claim() {}

// Limits holds the limits of a table.
type Limits struct {
	// MaxKeys is the maximum number of stored keys.
	MaxKeys int
	// KeptBytes is the maximum total size of stored responses.
	KeptBytes chivehillid.Bytes
	// Window is the time for which a prefix is issued. New keys with the prefix are
	// accepted for the same time again after that.
	Window chivehillclock.Millis
	// Keep is the time for which keys stay stored after their window has closed.
	Keep chivehillclock.Millis
}

// window is the period in which one prefix is issued and its keys are accepted.
type window struct {
	opened chivehillclock.Millis
	// closed is set when the window stops accepting new keys. It is never reset.
	closed bool
}

// Table stores the keys of one incarnation. It is safe for concurrent use.
type Table struct {
	host        chivehillid.HostID
	incarnation chivehillid.Incarnation
	limits      Limits
	shards      [shardCount]shard

	mu      sync.RWMutex
	windows map[Window]*window
	// current is the window whose prefix is being issued. It never decreases.
	current Window
	// oldest is the first window that has not expired. It never decreases.
	oldest Window
	// stopped is set when the table accepts no new keys. It is never reset.
	stopped bool

	countMu sync.Mutex
	// keyCount is the number of stored keys in all shards.
	keyCount int
	// responses lists the entries with a stored response, oldest first.
	responses     []*storedResponse
	responseBytes chivehillid.Bytes
}

// storedResponse refers to an entry whose response is stored. The lock of shard
// protects the answer of entry.
type storedResponse struct {
	shard *shard
	entry *Entry
	size  chivehillid.Bytes
}

// shard holds the keys whose suffix hashes to it, under its own lock.
type shard struct {
	mu      sync.Mutex
	entries map[Window]map[string]*Entry
}

// NewTable returns an empty table of an incarnation.
func NewTable(host chivehillid.HostID, incarnation chivehillid.Incarnation, limits Limits, now chivehillclock.Millis) *Table {
	t := &Table{host: host, incarnation: incarnation, limits: limits, windows: make(map[Window]*window)}
	t.windows[0] = &window{opened: now}
	for i := range t.shards {
		t.shards[i].entries = make(map[Window]map[string]*Entry)
	}
	return t
}

// Owns reports whether the key was issued by the incarnation of this table.
func (t *Table) Owns(k Key) bool {
	return k.Host == t.host && k.Incarnation == t.incarnation
}

// Prefix returns the key prefix to issue now. It opens a new window if the current
// one is closed or has been issued for the whole window time.
func (t *Table) Prefix(now chivehillclock.Millis) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.windows[t.current]
	if w.closed || now-w.opened >= t.limits.Window {
		t.current++
		t.windows[t.current] = &window{opened: now}
	}
	return Key{Host: t.host, Incarnation: t.incarnation, Window: t.current}.Prefix()
}

// Expire closes windows that accept no more new keys and removes windows whose
// retention time has ended, with their keys.
func (t *Table) Expire(now chivehillclock.Millis) {
	t.mu.Lock()
	var expired []Window
	for n, w := range t.windows {
		age := now - w.opened
		if age >= 2*t.limits.Window {
			w.closed = true
		}
		if age >= 2*t.limits.Window+t.limits.Keep && n != t.current {
			expired = append(expired, n)
		}
	}
	for _, n := range expired {
		delete(t.windows, n)
		t.oldest = max(t.oldest, n+1)
	}
	t.mu.Unlock()
	for _, n := range expired {
		t.removeKeys(n)
	}
}

// removeKeys removes all keys of a window.
func (t *Table) removeKeys(n Window) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		removed := len(s.entries[n])
		delete(s.entries, n)
		s.mu.Unlock()
		t.addKeyCount(-removed)
	}
}

func (t *Table) addKeyCount(n int) {
	t.countMu.Lock()
	defer t.countMu.Unlock()
	t.keyCount += n
}

// reserveKey adds one to the number of keys unless the table is full.
func (t *Table) reserveKey() bool {
	t.countMu.Lock()
	defer t.countMu.Unlock()
	if t.keyCount >= t.limits.MaxKeys {
		return false
	}
	t.keyCount++
	return true
}

// Len returns the number of stored keys.
func (t *Table) Len() int {
	t.countMu.Lock()
	defer t.countMu.Unlock()
	return t.keyCount
}

// KeptBytes returns the total size of stored responses.
func (t *Table) KeptBytes() chivehillid.Bytes {
	t.countMu.Lock()
	defer t.countMu.Unlock()
	return t.responseBytes
}

// Claim stores a key that this table owns, or finds it if it is stored already.
// requestHash is a hash of the request parts that must be equal in all requests
// with the same key. regionBound is set if the request may be processed in some
// regions only.
func (t *Table) Claim(k Key, requestHash uint64, regionBound bool) Claim {
	claim, full := t.tryClaim(k, requestHash, regionBound)
	if !full {
		return claim
	}
	return t.refuseFull(k, requestHash)
}

// tryClaim claims a key. It reports full if the key is new and the table is full.
func (t *Table) tryClaim(k Key, requestHash uint64, regionBound bool) (claim Claim, full bool) {
	s := t.shard(k)
	t.mu.RLock()
	defer t.mu.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[k.Window][k.Suffix]; e != nil {
		return repeatedClaim(e, requestHash), false
	}
	if r, refused := t.refusal(k.Window); refused {
		return Refused{r}, false
	}
	if !t.reserveKey() {
		return nil, true
	}
	e := &Entry{requestHash: requestHash, done: make(chan struct{}), regionBound: regionBound}
	if s.entries[k.Window] == nil {
		s.entries[k.Window] = make(map[string]*Entry)
	}
	s.entries[k.Window][k.Suffix] = e
	return First{Entry: e}, false
}

// refuseFull refuses a new key because the table is full. It closes the window of
// the key, so that a late duplicate of the request, which was refused as not run,
// can't run once the table has room again.
func (t *Table) refuseFull(k Key, requestHash uint64) Claim {
	s := t.shard(k)
	t.mu.Lock()
	defer t.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[k.Window][k.Suffix]; e != nil {
		return repeatedClaim(e, requestHash)
	}
	if w := t.windows[k.Window]; w != nil {
		w.closed = true
	}
	return Refused{chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: chivehillreason.KeyTableFull}}
}

// repeatedClaim returns the claim of a key that is stored already. It refuses a
// key that was reused for a different request.
func repeatedClaim(e *Entry, requestHash uint64) Claim {
	if e.requestHash != requestHash {
		return Refused{chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: chivehillreason.KeyMismatch}}
	}
	return Repeat{Entry: e}
}

// refusal returns the refusal of a key that is not stored, and false if its window
// accepts new keys. The caller holds t.mu.
func (t *Table) refusal(n Window) (chivehillreason.Refusal, bool) {
	w := t.windows[n]
	switch {
	case n < t.oldest:
		return chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: chivehillreason.KeyWindowClosed}, true
	case w == nil:
		// The prefix was not issued yet. It may be issued later and the key may run
		// then, so the outcome is not "not run".
		return chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: chivehillreason.KeyMalformed}, true
	case t.stopped:
		return chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: chivehillreason.Stopping}, true
	case w.closed:
		return chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: chivehillreason.KeyWindowClosed}, true
	}
	return chivehillreason.Refusal{}, false
}

func (t *Table) shard(k Key) *shard {
	return &t.shards[xxhash.Sum64String(k.Suffix)%shardCount]
}

// End sets the answer of a claimed key and closes the channel of Ended. It must be
// called exactly once for each key.
func (t *Table) End(k Key, e *Entry, a Answer) {
	s := t.shard(k)
	s.mu.Lock()
	e.answer = a
	close(e.done)
	s.mu.Unlock()
	if a.Status == 0 {
		return
	}
	t.addResponse(&storedResponse{shard: s, entry: e, size: a.size()})
}

// addResponse adds a stored response and evicts the oldest ones while the total
// size exceeds the limit.
func (t *Table) addResponse(r *storedResponse) {
	t.countMu.Lock()
	defer t.countMu.Unlock()
	t.responses = append(t.responses, r)
	t.responseBytes += r.size
	for t.responseBytes > t.limits.KeptBytes && len(t.responses) > 0 {
		oldest := t.responses[0]
		t.responses = t.responses[1:]
		t.responseBytes -= oldest.size
		oldest.shard.mu.Lock()
		oldest.entry.answer.evictResponse()
		oldest.shard.mu.Unlock()
	}
}

// evictResponse removes the stored response. The outcome stays.
func (a *Answer) evictResponse() {
	a.Status = 0
	a.Header = nil
	a.Body = nil
	a.Reason = chivehillreason.AnswerNotKept
}

// Answer returns the answer of an entry whose Ended channel is closed.
func (t *Table) Answer(k Key, e *Entry) Answer {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.answer
}
