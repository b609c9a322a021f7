package chivehillsim

import (
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

// Second is one second of a run with a failure domain that leaves and returns.
type Second struct {
	// Event names what happened in this second, empty for nothing.
	Event string
	// Calls counts the calls that began in this second, by how they ended.
	Calls   int
	Done    int
	Refused int
	Unknown int
	P99Ms   float64
	times   []chivehillclock.Millis
}

// DomainReport is the result of a run with a failure domain that leaves and returns.
type DomainReport struct {
	Seconds    []Second
	Violations []Violation
}

// Times of the run, in seconds after the start of the calls.
const (
	domainOutAt  = 6
	domainBackAt = 14
	domainEnd    = 24
)

// RunDomain takes a failure domain out during a rush and brings it back with
// cold servers.
func RunDomain(o ChaosOptions) DomainReport {
	r, model := newChaos(o)
	w := r.world
	seconds := make([]Second, domainEnd)
	start := warmUpTime / 2
	r.generator.ended = func(c *call, a answer) {
		at := int((c.sentAt - start) / chivehillclock.Second)
		if c.tenant == boundTenant || at < 0 || at >= len(seconds) {
			return
		}
		s := &seconds[at]
		s.Calls++
		switch a.outcome {
		case chivehillreason.Done:
			s.Done++
			s.times = append(s.times, w.engine.now-c.sentAt)
		case chivehillreason.NotRun:
			s.Refused++
		case chivehillreason.Unknown:
			s.Unknown++
		}
	}
	const domain = chivehillid.DomainID("east-a")
	seconds[domainOutAt].Event = "domain out"
	seconds[domainBackAt].Event = "domain back, cold"
	w.engine.at(start+domainOutAt*chivehillclock.Second, func() {
		out := chivehillwire.NoteItem{DomainOut: &chivehillwire.DomainOut{FailureDomain: domain}}
		r.apply(chivehillwire.Note{Note: "out", Added: []chivehillwire.NoteItem{out}}, func(chivehillid.Version, error) {
			r.outSince[domain] = w.engine.now
		})
	})
	w.engine.at(start+(domainBackAt-1)*chivehillclock.Second, func() {
		for _, id := range w.serverIDs {
			if s := w.servers[id]; s.endpoint.location.domain == domain {
				s.breakDown()
			}
		}
	})
	w.engine.at(start+domainBackAt*chivehillclock.Second, func() { r.restoreDomain(domain, 0) })
	r.options.Seconds = domainEnd - float64(start/chivehillclock.Second)
	r.run(model)
	for i := range seconds {
		s := &seconds[i]
		slices.Sort(s.times)
		if n := len(s.times); n > 0 {
			s.P99Ms = float64(s.times[n*99/100])
		}
	}
	return DomainReport{Seconds: seconds, Violations: w.violations}
}
