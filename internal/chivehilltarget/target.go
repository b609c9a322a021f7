// Package chivehilltarget reads the targets of HTTP requests, so that all parts of the
// program select a request's route by the same bytes.
package chivehilltarget

import (
	"net/url"
	"path"
	"strings"
)

// Path returns the path of a request target in origin or absolute form, without the query,
// as it was sent. It returns "" for a target without a path.
func Path(target string) string {
	rest, _, _ := strings.Cut(target, "?")
	if strings.HasPrefix(rest, "/") {
		return rest
	}
	_, authority, isAbsolute := strings.Cut(rest, "://")
	if !isAbsolute {
		return ""
	}
	if start := strings.IndexByte(authority, '/'); start >= 0 {
		return authority[start:]
	}
	return "/"
}

// Normalize returns a path as a server may read it that decodes it, takes double slashes for
// one and resolves dot segments. It returns "" if the path cannot be decoded.
func Normalize(sent string) string {
	decoded, err := url.PathUnescape(sent)
	if err != nil || decoded == "" {
		return ""
	}
	clean := path.Clean(decoded)
	last := decoded[strings.LastIndexByte(decoded, '/')+1:]
	if clean != "/" && (last == "" || last == "." || last == "..") {
		clean += "/"
	}
	return clean
}

// HoldsForAllReadings reports whether a condition holds for a path as it was sent and as a
// server may normalize it.
func HoldsForAllReadings(sent string, condition func(path string) bool) bool {
	if !condition(sent) {
		return false
	}
	normalized := Normalize(sent)
	return normalized == sent || condition(normalized)
}
