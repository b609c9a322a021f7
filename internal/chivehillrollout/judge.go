package chivehillrollout

import (
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillclock"
)

const (
	// leastAnswers is the number of answers of the version under trial below which nothing is
	// said. A small service gets one a second.
	leastAnswers = 5
	// snapshotEvery is the least time between two snapshots of the totals.
	snapshotEvery = 250 * chivehillclock.Millisecond
	// shortSpan and longSpan are the recent times that are judged besides the whole trial: a
	// version that turns bad late is diluted in the totals of the whole trial.
	shortSpan = 3 * chivehillclock.Second
	longSpan  = 6 * chivehillclock.Second
)

// Judge compares the answers of a version under trial with those of the controls. It keeps
// the totals of the last seconds, so that a version that turns bad late is seen. It answers
// for services from one request a second to canaries up to some hundreds, and one canary or
// more; a single canary that is sick is taken for a bad version. Not safe for concurrent use.
type Judge struct {
	ledger ledger
	// snapshots are in the order of time, at least snapshotEvery apart. All but the first are
	// younger than longSpan.
	snapshots []snapshot
}

// snapshot holds the tallies of the ledger at a point in time.
type snapshot struct {
	at      chivehillclock.Millis
	tallies []Tally
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{ledger: newLedger()}
}

// Judge returns the verdict on the totals so far. Calls come a few times a second.
func (j *Judge) Judge(now chivehillclock.Millis, totals Totals) Verdict {
	tallies := j.ledger.tallies(totals)
	best := j.ledger.judge(tallies)
	for _, d := range []chivehillclock.Millis{longSpan, shortSpan} {
		s, ok := j.before(now - d)
		if !ok {
			continue
		}
		if v := j.ledger.judge(since(tallies, s.tallies)); v.outweighs(best) {
			best = v
		}
	}
	j.keep(snapshot{at: now, tallies: tallies})
	return best
}

// before returns the newest snapshot taken at a time or earlier.
func (j *Judge) before(at chivehillclock.Millis) (snapshot, bool) {
	for _, s := range slices.Backward(j.snapshots) {
		if s.at <= at {
			return s, true
		}
	}
	return snapshot{}, false
}

// keep adds a snapshot if it is time to, and drops those that no span needs any more.
func (j *Judge) keep(s snapshot) {
	if n := len(j.snapshots); n > 0 && s.at < j.snapshots[n-1].at+snapshotEvery {
		return
	}
	j.snapshots = append(j.snapshots, s)
	for len(j.snapshots) > 1 && j.snapshots[1].at <= s.at-longSpan {
		j.snapshots = slices.Delete(j.snapshots, 0, 1)
	}
}

// rank orders findings by how much they matter to the caller.
func (f Finding) rank() int {
	switch f {
	case Bad:
		return 3
	case Suspect:
		return 2
	case Clean:
		return 1
	default:
		return 0
	}
}

// outweighs reports whether a verdict is to be preferred to another.
func (v Verdict) outweighs(w Verdict) bool {
	if v.Finding != w.Finding {
		return v.Finding.rank() > w.Finding.rank()
	}
	return v.Strength > w.Strength
}

// judge returns the verdict on the answers of one span of time.
func (l *ledger) judge(tallies []Tally) Verdict {
	samples := l.samples(tallies)
	failures := samples[0]
	v := failures.verdict()
	if total(failures.trial).answers < leastAnswers {
		return v
	}
	if total(failures.control).answers == 0 {
		return failures.judgeAlone()
	}
	for _, s := range samples[1:] {
		if w := s.verdict(); w.outweighs(v) {
			v = w
		}
	}
	return v
}
