// Package chivehillkey makes non-idempotent requests run at most once.
//
// A key names the incarnation of the host that may run it. That incarnation
// remembers each key for as long as the key can be told apart from one that
// never ran, and no other host ever runs it. Nothing is stored outside the
// host's memory.
package chivehillkey

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Window numbers the periods in which a host issues key prefixes.
type Window uint64

// Key identifies a non-idempotent request. Its text form is
// host.incarnation.window.suffix.
type Key struct {
	Host        chivehillid.HostID
	Incarnation chivehillid.Incarnation
	Window      Window
	// Suffix is chosen by the caller, unique among its requests.
	Suffix string
}

const keyParts = 4

var suffixPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

// Parse reads the text form of a key.
func Parse(text string) (Key, error) {
	parts := strings.Split(text, ".")
	if len(parts) != keyParts {
		return Key{}, fmt.Errorf("parse key: %d parts; allowed: host.incarnation.window.suffix", len(parts))
	}
	window, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Key{}, fmt.Errorf("parse key: window %q; allowed: a number", parts[2])
	}
	if !suffixPattern.MatchString(parts[3]) {
		return Key{}, fmt.Errorf("parse key: suffix of %d bytes; allowed: 1 to 64 of A-Z, a-z, 0-9, _ and -", len(parts[3]))
	}
	return Key{
		Host:        chivehillid.HostID(parts[0]),
		Incarnation: chivehillid.Incarnation(parts[1]),
		Window:      Window(window),
		Suffix:      parts[3],
	}, nil
}

// String returns the text form.
func (k Key) String() string {
	return k.Prefix() + k.Suffix
}

// Prefix returns the text form without the suffix.
func (k Key) Prefix() string {
	return fmt.Sprintf("%s.%s.%d.", k.Host, k.Incarnation, k.Window)
}
