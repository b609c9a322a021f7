package chivehillkey

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillreason"
)

var limits = Limits{MaxKeys: 100, KeptBytes: 1000, Window: 10 * chivehillclock.Second, Keep: 60 * chivehillclock.Second}

func newTable() *Table {
	return NewTable("host", "run", limits, 0)
}

func key(c *qt.C, t *Table, now chivehillclock.Millis, suffix string) Key {
	k, err := Parse(t.Prefix(now) + suffix)
	c.Assert(err, qt.IsNil)
	return k
}

func TestParseAcceptsOnlyWellFormedKeys(t *testing.T) {
	tests := []struct {
		text string
		ok   bool
	}{
		{"host.run.0.abc", true},
		{"host.run.0.", false},
		{"host.run.x.abc", false},
		{"host.run.abc", false},
		{"host.run.0.a b", false},
		{"", false},
	}
	for _, tt := range tests {
		k, err := Parse(tt.text)
		qt.Check(t, err == nil, qt.Equals, tt.ok, qt.Commentf("%q", tt.text))
		if err == nil {
			qt.Check(t, k.String(), qt.Equals, tt.text)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("host.run.0.abc")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(k.String())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.Equals, k)
	})
}

func TestConcurrentClaimsRunAKeyOnce(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	k := key(c, table, 0, "a")
	var firsts atomic.Int32
	var claims sync.WaitGroup
	for range 32 {
		claims.Go(func() {
			if _, first := table.Claim(k, 1, false).(First); first {
				firsts.Add(1)
			}
		})
	}
	claims.Wait()
	c.Assert(firsts.Load(), qt.Equals, int32(1))
}

func TestRepeatReturnsStoredResponse(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	k := key(c, table, 0, "a")
	first := table.Claim(k, 1, false).(First)
	table.End(k, first.Entry, Answer{Outcome: chivehillreason.Done, Status: 200, Body: []byte("x")})
	repeat := table.Claim(k, 1, false).(Repeat)
	<-repeat.Entry.Ended()
	c.Assert(table.Answer(k, repeat.Entry).Body, qt.DeepEquals, []byte("x"))
	c.Assert(table.Claim(k, 2, false).(Refused).Refusal.Reason, qt.Equals, chivehillreason.KeyMismatch)
}

// TestFullTableRefusesNewKeys guards against two failures of a full table: that it
// removes a stored key, whose request could then run twice, and that it runs a late
// duplicate of a refused key once there is room again.
func TestFullTableRefusesNewKeys(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	for i := range limits.MaxKeys {
		_, first := table.Claim(key(c, table, 0, fmt.Sprint(i)), 1, false).(First)
		c.Assert(first, qt.IsTrue)
	}
	late := key(c, table, 0, "late")
	c.Assert(table.Claim(late, 1, false).(Refused).Refusal, qt.Equals,
		chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: chivehillreason.KeyTableFull})
	c.Assert(table.Len(), qt.Equals, limits.MaxKeys)
	stored := Key{Host: "host", Incarnation: "run", Window: 0, Suffix: "5"}
	_, repeated := table.Claim(stored, 1, false).(Repeat)
	c.Assert(repeated, qt.IsTrue)
	// With room again, a late duplicate of the refused key still must not run.
	table.addKeyCount(-10)
	c.Assert(table.Claim(late, 1, false).(Refused).Refusal, qt.Equals,
		chivehillreason.Refusal{Outcome: chivehillreason.NotRun, Reason: chivehillreason.KeyWindowClosed})
	fresh := key(c, table, 0, "fresh")
	c.Assert(fresh.Window, qt.Equals, Window(1))
	_, first := table.Claim(fresh, 1, false).(First)
	c.Assert(first, qt.IsTrue)
}

func TestKeysOutsideOpenWindowsAreRefused(t *testing.T) {
	tests := []struct {
		name    string
		at      chivehillclock.Millis
		window  Window
		outcome chivehillreason.Outcome
		reason  chivehillreason.Reason
	}{
		{"closed window", 2 * limits.Window, 0, chivehillreason.NotRun, chivehillreason.KeyWindowClosed},
		{"expired window", 2*limits.Window + limits.Keep, 0, chivehillreason.Unknown, chivehillreason.KeyWindowClosed},
		{"window not issued yet", 0, 9, chivehillreason.Unknown, chivehillreason.KeyMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			table := newTable()
			table.Prefix(tt.at)
			table.Expire(tt.at)
			k := Key{Host: "host", Incarnation: "run", Window: tt.window, Suffix: "a"}
			c.Assert(table.Claim(k, 1, false).(Refused).Refusal, qt.Equals, chivehillreason.Refusal{Outcome: tt.outcome, Reason: tt.reason})
		})
	}
}

func TestStoredResponsesAreEvictedAtTheLimit(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	body := make([]byte, 300)
	var keys []Key
	for i := range 5 {
		k := key(c, table, 0, fmt.Sprint(i))
		keys = append(keys, k)
		table.End(k, table.Claim(k, 1, false).(First).Entry, Answer{Outcome: chivehillreason.Done, Status: 200, Body: body})
	}
	c.Assert(table.KeptBytes() <= limits.KeptBytes, qt.IsTrue)
	evicted := table.Answer(keys[0], table.Claim(keys[0], 1, false).(Repeat).Entry)
	c.Assert(evicted.Outcome, qt.Equals, chivehillreason.Done)
	c.Assert(evicted.Reason, qt.Equals, chivehillreason.AnswerNotKept)
}

func TestHandedOverTableAnswersWhenComplete(t *testing.T) {
	c := qt.New(t)
	table := newTable()
	ran := key(c, table, 0, "ran")
	table.End(ran, table.Claim(ran, 1, false).(First).Entry, Answer{Outcome: chivehillreason.Done, Status: 200})
	running := key(c, table, 0, "running")
	table.Claim(running, 1, false)
	never := key(c, table, 0, "never")
	table.Stop()
	c.Assert(table.Claim(never, 1, false).(Refused).Refusal.Reason, qt.Equals, chivehillreason.Stopping)

	adopted := NewAdopted()
	part := handoverPart(table)
	c.Assert(adopted.Add(0, 100, part), qt.IsFalse)
	_, known := adopted.Answer(1, ran)
	c.Assert(known, qt.IsFalse, qt.Commentf("an incomplete table returned an answer"))
	part.Last = true
	c.Assert(adopted.Add(0, 100, part), qt.IsTrue)
	want := []struct {
		key     Key
		outcome chivehillreason.Outcome
	}{
		{ran, chivehillreason.Done}, {running, chivehillreason.Unknown}, {never, chivehillreason.NotRun},
	}
	for _, w := range want {
		a, known := adopted.Answer(1, w.key)
		c.Check(known, qt.IsTrue)
		c.Check(a.Outcome, qt.Equals, w.outcome, qt.Commentf("%s", w.key.Suffix))
	}
	_, known = adopted.Answer(100, ran)
	c.Assert(known, qt.IsFalse)
}
