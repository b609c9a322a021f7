// Package chivehillrollout decides how far a version of a service's software that is under
// trial may be used, and whether it is good: which servers may get requests, how many of
// them go to the version under trial, what hosts have seen of it, and the verdict. It uses
// no network, and callers pass in the time.
package chivehillrollout

import (
	"fmt"
	"math"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Order identifies the order of a roll-out.
type Order struct {
	Service chivehillid.ServiceID
	Target  chivehillid.SoftwareVersion
	// Created is the revision of the store at which the order was given.
	Created chivehillcatalog.Revision
}

// OrderOf returns the order that a record states.
func OrderOf(r chivehillcatalog.Rollout) Order {
	return Order{Service: r.Service, Target: r.Target, Created: r.Created}
}

// Cell names what one count is about: the answers of one server on one route.
type Cell struct {
	Server chivehillid.ServerID
	Route  chivehillid.RouteID
	// Trial is set if the server runs the version under trial, else it is a control.
	Trial bool
}

const (
	// timeBuckets is the number of buckets of Times.
	timeBuckets = 20
	// firstBound is the upper bound of the first bucket.
	firstBound = 8 * chivehillclock.Millisecond
	// bucketsPerOctave is the number of buckets within which times double.
	bucketsPerOctave = 2
)

// Times counts usable answers by the time that they took, in buckets of half an octave. The
// last one holds all longer times.
type Times [timeBuckets]int

// Bucket returns the index of the bucket that a time belongs to.
func Bucket(took chivehillclock.Millis) int {
	if took <= firstBound {
		return 0
	}
	return min(timeBuckets-1, int(math.Ceil(bucketsPerOctave*math.Log2(float64(took/firstBound)))))
}

// Tally counts the answers of one cell.
type Tally struct {
	// Answered is the number of requests that ended with or without a usable answer.
	Answered int
	// Failed is the number of those without. Answered less Failed is the sum of Times.
	Failed int
	Times  Times
}

// Totals holds the tallies of one order, summed over all hosts.
type Totals map[Cell]Tally

// Finding is what a judge makes of the totals.
type Finding string

// The findings.
const (
	// TooFew means that there are too few answers to say anything.
	TooFew Finding = "too-few"
	// Clean means that the version under trial shows no sign of being worse.
	Clean Finding = "clean"
	// Suspect means that it may be worse.
	Suspect Finding = "suspect"
	// Bad means that it is worse.
	Bad Finding = "bad"
)

// Verdict is a finding with the evidence behind it.
type Verdict struct {
	Finding Finding
	// Sign is what the evidence is about: "failures" or "slow", for the sign with the strongest
	// evidence.
	Sign string
	// Route is the route that the evidence is about, empty if it is about all of them.
	Route chivehillid.RouteID
	// Trial and Control are the rates of the sign among the answers of the version under trial
	// and of the controls.
	Trial, Control float64
	// Answers is the number of answers of the version under trial that count.
	Answers int
	// Servers is the number of servers that gave them.
	Servers int
	// Strength is how many standard errors the rates differ by.
	Strength float64
}

// String describes the verdict for operators.
func (v Verdict) String() string {
	if v.Sign == "" {
		return fmt.Sprintf("%s: %d answers of %d servers", v.Finding, v.Answers, v.Servers)
	}
	about := "all routes"
	if v.Route != "" {
		about = "route " + string(v.Route)
	}
	return fmt.Sprintf("%s: %s on %s: %.3f of the answers under trial, %.3f of the others, %.1f standard errors; %d answers of %d servers",
		v.Finding, v.Sign, about, v.Trial, v.Control, v.Strength, v.Answers, v.Servers)
}
