// Package chivehillfield describes values that fail a check and checks common
// kinds of values.
package chivehillfield

import (
	"fmt"
	"net/netip"
	"regexp"
)

// Error tells which field has which value and what is allowed.
type Error struct {
	Field   string
	Value   string
	Allowed string
}

// Error implements error.
func (e Error) Error() string {
	return fmt.Sprintf("%s is %q; allowed: %s", e.Field, e.Value, e.Allowed)
}

// nameAllowed describes namePattern to people.
const nameAllowed = "1 to 63 of a-z, 0-9 and -, starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Name checks an identifier.
func Name[T ~string](field string, value T) error {
	if namePattern.MatchString(string(value)) {
		return nil
	}
	return Error{Field: field, Value: string(value), Allowed: nameAllowed}
}

// Address checks an IP address with a port.
func Address(field, value string) error {
	a, err := netip.ParseAddrPort(value)
	if err == nil && a.Port() != 0 {
		return nil
	}
	return Error{Field: field, Value: value, Allowed: "an IP address and a port from 1 to 65535, such as 127.0.0.1:8080; host names are not resolved"}
}

// Range checks a number.
func Range[T ~int | ~int64 | ~float64](field string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return Error{Field: field, Value: fmt.Sprint(value), Allowed: fmt.Sprintf("from %v to %v", low, high)}
}

// OneOf checks a choice.
func OneOf[T ~string](field string, value T, choices ...T) error {
	for _, c := range choices {
		if value == c {
			return nil
		}
	}
	return Error{Field: field, Value: string(value), Allowed: fmt.Sprintf("one of %q", choices)}
}
