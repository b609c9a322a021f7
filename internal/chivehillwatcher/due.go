package chivehillwatcher

import (
	"errors"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
)

// The bound on configurations is one deadline, of which each step takes its part: a watch that
// begins right before the store falls silent (configurationWait), then an answerTime for this
// host's own answer and for that of each delegate, then applyMargin. docs/design/store-silence.md
// derives the sum.
const (
	// applyMargin is the part of the bound on configurations that remains for the next call
	// and for passing a configuration on to all hosts.
	applyMargin = 200 * chivehillclock.Millisecond
	// minConfigurationWait keeps the number of calls low if the bound is short.
	minConfigurationWait = 500 * chivehillclock.Millisecond
	// Delegates is how many other hosts can be asked for a configuration, one after the other,
	// before the bound ends.
	Delegates = 3
	// minAnswerTime keeps a store from counting as unreachable because of the way to it, if the
	// bound is short.
	minAnswerTime = 100 * chivehillclock.Millisecond
)

// configurationWait returns how long the store may hold a watch of the configuration. A watch
// that the store never answers ends early enough for the next one to meet the bound.
func (w *Watcher) configurationWait() chivehillclock.Millis {
	if w.ConfigurationBound == nil {
		return configurationWatchWait
	}
	left := w.ConfigurationBound() - watchSlack - applyMargin
	return min(configurationWatchWait, max(minConfigurationWait, left))
}

// answerTime returns how long the store may owe an answer about the configuration before
// another host is asked to call it.
func (w *Watcher) answerTime() chivehillclock.Millis {
	left := watchSlack
	if w.ConfigurationBound != nil {
		left = w.ConfigurationBound() - applyMargin - w.configurationWait()
	}
	return max(minAnswerTime, left/(1+Delegates))
}

// dueAnswer is the store's next answer about the configuration.
type dueAnswer struct {
	// owed is set from the begin of a call until the store answers it or a later one.
	owed bool
	// at is from when on the answer is late. It is meaningful only if owed is set.
	at chivehillclock.Millis
	// timer calls OnOverdue once the answer has been late for the answer time.
	timer *time.Timer
}

// expectAnswer records that the store has to answer a call about the configuration by at. An
// earlier answer that is still owed stays due.
func (w *Watcher) expectAnswer(at chivehillclock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.due.owed {
		w.setDue(at)
	}
}

// setDue sets when the store's answer is due. The caller holds w.mu.
func (w *Watcher) setDue(at chivehillclock.Millis) {
	w.clearDue()
	w.due.owed, w.due.at = true, at
	if w.OnOverdue != nil {
		w.due.timer = time.AfterFunc((at + w.answerTime() - w.Clock.Now()).Duration(), w.OnOverdue)
	}
}

// clearDue records that the store owes no answer. The caller holds w.mu.
func (w *Watcher) clearDue() {
	if w.due.timer != nil {
		w.due.timer.Stop()
	}
	w.due = dueAnswer{}
}

// recordAnswer records how a call about the configuration ended. After a failure the answer is
// late at once.
func (w *Watcher) recordAnswer(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	switch {
	case err == nil, errors.Is(err, ErrHistoryGone), errors.Is(err, errWatchRenewed):
		w.clearDue()
	case w.due.owed && w.due.at > now:
		w.setDue(now)
	}
}

// overdue reports whether the store's answer about the configuration has been late for the
// answer time. A host without a configuration waits for its lists instead, which may be long.
// The caller holds w.mu.
func (w *Watcher) overdue(now chivehillclock.Millis) bool {
	return w.due.owed && now-w.due.at >= w.answerTime() && w.Catalog.AsOf(chivehillcatalog.Configurations) != 0
}
