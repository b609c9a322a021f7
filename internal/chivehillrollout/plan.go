package chivehillrollout

import (
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Action is what is to be done next for a roll-out.
type Action string

// The actions.
const (
	Wait             Action = "wait"
	RecordRunning    Action = "record-running"
	RecordDone       Action = "record-done"
	RecordRolledBack Action = "record-rolled-back"
	// Promote lets the target take over all requests, before done is recorded.
	Promote Action = "promote"
	// Halt withholds the target from all requests, before its roll-back is recorded.
	Halt Action = "halt"
)

const (
	// promoteAt is the part of the duration after which a version without a sign of being
	// worse takes over. It is late, since the old servers stop at the end.
	promoteAt = 0.72
	// resolveAt is the part of the duration after which what is still open is decided.
	resolveAt = 0.9
	// drainPart is the part of the duration, at most maxDrain, for which the old servers finish
	// their requests before they stop.
	drainPart = 0.1
	maxDrain  = 2 * chivehillclock.Second
)

// Situation is what the next action depends on.
type Situation struct {
	// Age is how long ago the order was given.
	Age      chivehillclock.Millis
	Duration chivehillclock.Millis
	// Recorded is the state in the store, and Known the one that holds: a final state that was
	// seen once, else the recorded one.
	Recorded chivehillcatalog.RolloutState
	Known    chivehillcatalog.RolloutState
	// Ruled is set if there is a ruling, which is Good or not, since RuledFor.
	Ruled    bool
	Good     bool
	RuledFor chivehillclock.Millis
	// InUse is set if the target already takes all requests.
	InUse   bool
	Verdict Verdict
	// Covered is set if the verdict rests on recent reports of all failure domains, and on
	// answers on all routes.
	Covered bool
}

// Next returns the next action for a roll-out.
func Next(s Situation) Action {
	switch {
	case s.Known.Final() && s.Recorded != s.Known:
		return record(s.Known)
	case s.Known.Final():
		return Wait
	case s.Ruled && !s.Good:
		return RecordRolledBack
	case s.InUse && !s.Ruled:
		return RecordDone
	case s.Verdict.Finding == Bad:
		return Halt
	case s.Ruled && s.RuledFor >= min(maxDrain, drainPart*s.Duration):
		return RecordDone
	case s.Ruled:
		return Wait
	case s.Verdict.Finding == Clean && s.Age >= promoteAt*s.Duration && (s.Covered || s.Age >= resolveAt*s.Duration):
		return Promote
	case s.Verdict.Finding == Suspect && s.Age >= resolveAt*s.Duration:
		return Halt
	case s.Recorded == chivehillcatalog.RolloutOrdered:
		return RecordRunning
	}
	return Wait
}

func record(state chivehillcatalog.RolloutState) Action {
	if state == chivehillcatalog.RolloutDone {
		return RecordDone
	}
	return RecordRolledBack
}

// State returns the state that an action records, and false if it records none.
func (a Action) State() (state chivehillcatalog.RolloutState, records bool) {
	switch a {
	case RecordRunning:
		return chivehillcatalog.RolloutRunning, true
	case RecordDone:
		return chivehillcatalog.RolloutDone, true
	case RecordRolledBack:
		return chivehillcatalog.RolloutRolledBack, true
	case Wait, Promote, Halt:
	}
	return "", false
}

const (
	// minRouteAnswers is the number of answers of the version under trial on a route without
	// which the route is not covered.
	minRouteAnswers = 3
	// minExpectedAnswers is the number of answers on a route, expected from the controls' part
	// of the answers on it, from which the route has to be covered.
	minExpectedAnswers = 8
)

// CoversRoutes reports whether the version under trial has answered on each route on which
// that is to be expected from the answers of the controls.
func (t Totals) CoversRoutes() bool {
	trial, control := make(map[chivehillid.RouteID]int), make(map[chivehillid.RouteID]int)
	allTrial, allControl := 0, 0
	for c, tally := range t {
		if c.Trial {
			trial[c.Route] += tally.Answered
			allTrial += tally.Answered
			continue
		}
		control[c.Route] += tally.Answered
		allControl += tally.Answered
	}
	for route, n := range control {
		expected := float64(n) / float64(allControl) * float64(allTrial)
		if expected >= minExpectedAnswers && trial[route] < minRouteAnswers {
			return false
		}
	}
	return true
}
