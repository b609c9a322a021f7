// Package chivehillinvariant asserts invariants inside the program.
package chivehillinvariant

import (
	"fmt"
	"sync/atomic"
)

// Name identifies an invariant, as docs/invariants.md lists it.
type Name string

// The asserted invariants.
const (
	AtMostOnce       Name = "at-most-once"
	NotRunIsTrue     Name = "not-run-is-true"
	WholeAnswer      Name = "whole-answer"
	ColdLimit        Name = "cold-limit"
	DomainOut        Name = "domain-out"
	Draining         Name = "draining"
	VersionMonotonic Name = "version-monotonic"
	HomeRegion       Name = "home-region"
	ProbeBudget      Name = "probe-budget"
	SlotAccounting   Name = "slot-accounting"
	ConfirmedOwner   Name = "confirmed-owner"
)

// Handler receives each violation.
type Handler func(name Name, detail string)

var handler atomic.Pointer[Handler]

// SetHandler replaces the reaction to violations. Without a handler a
// violation panics, which is what tests rely on.
func SetHandler(h Handler) {
	handler.Store(&h)
}

// Assert reports a violation of the invariant when holds is false.
func Assert(holds bool, name Name, format string, args ...any) {
	if holds {
		return
	}
	detail := fmt.Sprintf(format, args...)
	if h := handler.Load(); h != nil {
		(*h)(name, detail)
		return
	}
	panic(fmt.Sprintf("invariant %s violated: %s", name, detail))
}
