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

// Answer is what is known about a request that ended.
type Answer struct {
	Outcome chivehillreason.Outcome
	Reason  chivehillreason.Reason
	// Status is the HTTP status of the kept answer, 0 if none is kept.
	Status int
	Header http.Header
	Body   []byte
}

// size returns the memory that a kept answer takes, in bytes.
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

// Entry is one remembered key.
type Entry struct {
	// head is a hash of what must not differ between two sends of the key.
	head uint64
	// ended is closed once answer is set.
	ended chan struct{}
	// answer is written once, before ended is closed; only its kept answer is dropped later.
	answer Answer
	bound  bool
}

// Ended is closed when the request has an answer.
func (e *Entry) Ended() <-chan struct{} {
	return e.ended
}

// Claim is the result of presenting a key.
type Claim interface{ claim() }

// First means that the key was not seen before and may run now.
type First struct{ Entry *Entry }

// Repeat means that the key was seen before. Its answer comes with Entry.
type Repeat struct{ Entry *Entry }

// Refused means that the key cannot run here.
type Refused struct{ Refusal chivehillreason.Refusal }

func (First) claim()   {}
func (Repeat) claim()  {}
func (Refused) claim() {}

// Limits bounds a table.
type Limits struct {
	// MaxKeys is the most keys remembered at once.
	MaxKeys int
	// KeptBytes is the most memory for kept answers.
	KeptBytes chivehillid.Bytes
	// Window is the time for which a prefix is issued. It may start new work for as long again.
	Window chivehillclock.Millis
	// Keep is the time for which keys are remembered after their window closed.
	Keep chivehillclock.Millis
}

// window is one period of issue.
type window struct {
	opened chivehillclock.Millis
	// closed is set when the window stops taking new keys. It is never reset.
	closed bool
}

// Table remembers the keys of one incarnation. It is safe for concurrent use.
type Table struct {
	host        chivehillid.HostID
	incarnation chivehillid.Incarnation
	limits      Limits
	shards      [shardCount]shard

	mu      sync.RWMutex
	windows map[Window]*window
	// current is the window whose prefix is issued. It never decreases.
	current Window
	// oldest is the first window whose keys are all remembered. It never decreases.
	oldest Window
	// stopped is set for good when the table takes no new keys.
	stopped bool

	countMu sync.Mutex
	keys    int
	// kept lists the entries with kept answers, oldest first.
	kept      []*keptRef
	keptBytes chivehillid.Bytes
}

type keptRef struct {
	shard *shard
	entry *Entry
	size  chivehillid.Bytes
}

// shard holds a part of the keys under its own lock.
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

// Owns reports whether the key names this table's incarnation.
func (t *Table) Owns(k Key) bool {
	return k.Host == t.host && k.Incarnation == t.incarnation
}

// Prefix returns the key prefix to issue now.
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

// Expire closes old windows and forgets the keys of windows that no longer
// have to be remembered.
func (t *Table) Expire(now chivehillclock.Millis) {
	t.mu.Lock()
	var forget []Window
	for n, w := range t.windows {
		age := now - w.opened
		if age >= 2*t.limits.Window {
			w.closed = true
		}
		if age >= 2*t.limits.Window+t.limits.Keep && n != t.current {
			forget = append(forget, n)
		}
	}
	for _, n := range forget {
		delete(t.windows, n)
		t.oldest = max(t.oldest, n+1)
	}
	t.mu.Unlock()
	for _, n := range forget {
		t.forget(n)
	}
}

func (t *Table) forget(n Window) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		gone := len(s.entries[n])
		delete(s.entries, n)
		s.mu.Unlock()
		t.addKeys(-gone)
	}
}

func (t *Table) addKeys(n int) {
	t.countMu.Lock()
	defer t.countMu.Unlock()
	t.keys += n
}

// reserve counts one more key if there is room.
func (t *Table) reserve() bool {
	t.countMu.Lock()
	defer t.countMu.Unlock()
	if t.keys >= t.limits.MaxKeys {
		return false
	}
	t.keys++
	return true
}

// Len returns the number of remembered keys.
func (t *Table) Len() int {
	t.countMu.Lock()
	defer t.countMu.Unlock()
	return t.keys
}

// KeptBytes returns the memory taken by kept answers.
func (t *Table) KeptBytes() chivehillid.Bytes {
	t.countMu.Lock()
	defer t.countMu.Unlock()
	return t.keptBytes
}

// Claim presents a key that this table owns. head is a hash of what must not
// differ between two sends. bound tells whether the request is bound to regions.
func (t *Table) Claim(k Key, head uint64, bound bool) Claim {
	claim, full := t.tryClaim(k, head, bound)
	if !full {
		return claim
	}
	return t.refuseFull(k, head)
}

// tryClaim claims a key. It reports full if there is no room for a new one.
func (t *Table) tryClaim(k Key, head uint64, bound bool) (claim Claim, full bool) {
	s := t.shard(k)
	t.mu.RLock()
	defer t.mu.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[k.Window][k.Suffix]; e != nil {
		return repeat(e, head), false
	}
	if r, refused := t.refusal(k.Window); refused {
		return Refused{r}, false
	}
	if !t.reserve() {
		return nil, true
	}
	e := &Entry{head: head, ended: make(chan struct{}), bound: bound}
	if s.entries[k.Window] == nil {
		s.entries[k.Window] = make(map[string]*Entry)
	}
	s.entries[k.Window][k.Suffix] = e
	return First{Entry: e}, false
}

// refuseFull refuses a new key for lack of room. It closes the key's window, so
// that a late copy of the refused request can never run.
func (t *Table) refuseFull(k Key, head uint64) Claim {
	s := t.shard(k)
	t.mu.Lock()
	defer t.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[k.Window][k.Suffix]; e != nil {
		return repeat(e, head)
	}
	if w := t.windows[k.Window]; w != nil {
		w.closed = true
	}
	return Refused{chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: chivehillreason.KeyTableFull}}
}

func repeat(e *Entry, head uint64) Claim {
	if e.head != head {
		return Refused{chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: chivehillreason.KeyMismatch}}
	}
	return Repeat{Entry: e}
}

// refusal tells why a key of a window that is not in the table cannot run.
// The caller holds t.mu.
func (t *Table) refusal(n Window) (chivehillreason.Refusal, bool) {
	w := t.windows[n]
	switch {
	case n < t.oldest:
		return chivehillreason.Refusal{Outcome: chivehillreason.Unknown, Reason: chivehillreason.KeyWindowClosed}, true
	case w == nil:
		// Never issued yet. It may be issued later, so "not run" could become false.
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

// End records the answer of a claimed key and wakes those who wait for it.
func (t *Table) End(k Key, e *Entry, a Answer) {
	s := t.shard(k)
	s.mu.Lock()
	e.answer = a
	close(e.ended)
	s.mu.Unlock()
	if a.Status == 0 {
		return
	}
	t.keep(&keptRef{shard: s, entry: e, size: a.size()})
}

// keep counts a kept answer and drops the oldest ones beyond the bound.
func (t *Table) keep(r *keptRef) {
	t.countMu.Lock()
	defer t.countMu.Unlock()
	t.kept = append(t.kept, r)
	t.keptBytes += r.size
	for t.keptBytes > t.limits.KeptBytes && len(t.kept) > 0 {
		oldest := t.kept[0]
		t.kept = t.kept[1:]
		t.keptBytes -= oldest.size
		oldest.shard.mu.Lock()
		oldest.entry.answer.drop()
		oldest.shard.mu.Unlock()
	}
}

func (a *Answer) drop() {
	a.Status = 0
	a.Header = nil
	a.Body = nil
	a.Reason = chivehillreason.AnswerNotKept
}

// Answer returns the answer of an entry that has ended.
func (t *Table) Answer(k Key, e *Entry) Answer {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.answer
}
