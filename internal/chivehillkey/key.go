// Package chivehillkey implements idempotency keys, with which a non-idempotent
// request runs at most once.
//
// A key contains the incarnation of the host that issued its prefix. Only that
// incarnation runs requests with the key. It stores each key in memory, and
// nowhere else, until the window of the key expires. A key of an expired window
// is refused with outcome unknown, since it can no longer be told apart from one
// that never ran.
package chivehillkey

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/chivehill/chivehill/internal/chivehillid"
)

// Window is the number of a period in which a host issues one key prefix. The
// numbers start at 0 for each incarnation.
type Window uint64

// Key is the idempotency key of a request. Its text form is
// host.incarnation.window.suffix.
type Key struct {
	Host        chivehillid.HostID
	Incarnation chivehillid.Incarnation
	Window      Window
	// Suffix is chosen by the caller and identifies the request.
	Suffix string
}

const keyParts = 4

var suffixPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

// Parse parses the text form of a key.
func Parse(text string) (Key, error) {
	parts := strings.Split(text, ".")
	if len(parts) != keyParts {
		return Key{}, fmt.Errorf("parse key: got %d parts, expected host.incarnation.window.suffix", len(parts))
	}
	window, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Key{}, fmt.Errorf("parse key: window %q is not an unsigned 64-bit number", parts[2])
	}
	if !suffixPattern.MatchString(parts[3]) {
		return Key{}, fmt.Errorf("parse key: invalid suffix of %d bytes, expected 1 to 64 of A-Z, a-z, 0-9, _ and -", len(parts[3]))
	}
	return Key{
		Host:        chivehillid.HostID(parts[0]),
		Incarnation: chivehillid.Incarnation(parts[1]),
		Window:      Window(window),
		Suffix:      parts[3],
	}, nil
}

// String returns the text form of the key.
func (k Key) String() string {
	return k.Prefix() + k.Suffix
}

// Prefix returns the text form without the suffix. It ends with a dot.
func (k Key) Prefix() string {
	return fmt.Sprintf("%s.%s.%d.", k.Host, k.Incarnation, k.Window)
}
