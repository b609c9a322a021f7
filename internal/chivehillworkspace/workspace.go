// Package chivehillworkspace decides on behalf of which workspace a request is served. The
// decision depends on nothing but the configuration, the route and the key that the caller
// sent with this request.
package chivehillworkspace

import (
	"strings"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillreason"
)

// Decision is on behalf of whom a request is served. It is one of Anonymous, Identified and
// Refused.
//
//sumtype:decl
type Decision interface{ decision() }

// Anonymous means that the request is served on behalf of no workspace.
type Anonymous struct{}

// Identified means that the key of the request selects a workspace.
type Identified struct {
	Workspace chivehillcatalog.Workspace
}

// Refused means that the request needs a key that selects a workspace and has none.
type Refused struct {
	Reason chivehillreason.Reason
}

func (Anonymous) decision()  {}
func (Identified) decision() {}
func (Refused) decision()    {}

// Decide decides on a request from the values of its Authorization field. Keys are compared
// by their digests, so that the time that this takes tells nothing about known keys. A known
// key selects its workspace on open routes as well.
func Decide(c chivehillcatalog.Configuration, route chivehillcatalog.Route, credentials []string) Decision {
	if c.Workspaces == nil {
		return Anonymous{}
	}
	key, hasKey := parseKey(credentials)
	w, isKnown := find(c, key)
	switch {
	case hasKey && isKnown:
		return Identified{Workspace: w}
	case route.Open:
		return Anonymous{}
	case hasKey:
		return Refused{Reason: chivehillreason.WorkspaceKeyUnknown}
	}
	return Refused{Reason: chivehillreason.WorkspaceKeyMissing}
}

// find returns the workspace that holds a key.
func find(c chivehillcatalog.Configuration, key string) (w chivehillcatalog.Workspace, found bool) {
	id, found := c.Keys[chivehillcatalog.DigestKey(key)]
	if !found {
		return w, false
	}
	w, found = c.Workspaces[id]
	return w, found
}

// keyScheme is the authentication scheme of keys. Its case does not matter.
const keyScheme = "Bearer"

// parseKey returns the key in the values of an Authorization field. Several values, another
// scheme and an empty key count as none.
func parseKey(credentials []string) (key string, found bool) {
	if len(credentials) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(credentials[0]), " ")
	key = strings.TrimSpace(key)
	return key, strings.EqualFold(scheme, keyScheme) && key != ""
}
