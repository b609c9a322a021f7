// Package chivehillinvariant asserts invariants at run time.
package chivehillinvariant

import (
	"fmt"
	"sync/atomic"
)

// Name identifies an invariant. docs/invariants.md describes each.
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

// SetHandler sets the handler of violations. Without a handler a violation
// panics, so that it fails the test in which it occurs.
func SetHandler(h Handler) {
	handler.Store(&h)
}

// Assert reports a violation of the invariant if holds is false.
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
