// Package chivehillfield validates field values and describes invalid ones.
package chivehillfield

import (
	"fmt"
	"net/netip"
	"regexp"
)

// Error describes an invalid field value and the values that are allowed.
type Error struct {
	Field   string
	Value   string
	Allowed string
}

// Error implements error.
func (e Error) Error() string {
	return fmt.Sprintf("%s is %q; allowed: %s", e.Field, e.Value, e.Allowed)
}

// nameAllowed describes namePattern in error messages.
const nameAllowed = "1 to 63 of a-z, 0-9 and -, starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Name checks that value is a valid identifier.
func Name[T ~string](field string, value T) error {
	if namePattern.MatchString(string(value)) {
		return nil
	}
	return Error{Field: field, Value: string(value), Allowed: nameAllowed}
}

// Address checks that value is an IP address with a port.
func Address(field, value string) error {
	a, err := netip.ParseAddrPort(value)
	if err == nil && a.Port() != 0 {
		return nil
	}
	return Error{Field: field, Value: value, Allowed: "an IP address and a port from 1 to 65535, such as 127.0.0.1:8080; host names are not resolved"}
}

// Range checks that value is between low and high, both included.
func Range[T ~int | ~int64 | ~float64](field string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return Error{Field: field, Value: fmt.Sprint(value), Allowed: fmt.Sprintf("from %v to %v", low, high)}
}

// OneOf checks that value is one of choices.
func OneOf[T ~string](field string, value T, choices ...T) error {
	for _, c := range choices {
		if value == c {
			return nil
		}
	}
	return Error{Field: field, Value: string(value), Allowed: fmt.Sprintf("one of %q", choices)}
}
