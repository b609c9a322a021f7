package chivehillgateway

import (
	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillfront"
	"github.com/chivehill/chivehill/internal/chivehilltarget"
)

// findRoute returns the route that the request selects by its host and its path as sent. The
// route counts as idempotent only if a server that normalizes the path finds an idempotent
// route as well, and likewise as open.
func findRoute(v chivehillcatalog.View, r *chivehillfront.Request) (chivehillcatalog.Route, bool) {
	host := hostname(r.Host)
	route, found := v.FindRoute(host, r.Path)
	route.Idempotent = chivehilltarget.HoldsForAllReadings(r.Path, func(path string) bool {
		other, found := v.FindRoute(host, path)
		return found && other.Idempotent
	})
	route.Open = chivehilltarget.HoldsForAllReadings(r.Path, func(path string) bool {
		other, found := v.FindRoute(host, path)
		return found && other.Open
	})
	return route, found
}

// hostname returns host without its port.
func hostname(host string) string {
	for i := len(host) - 1; i >= 0; i-- {
		switch {
		case host[i] == ':':
			return host[:i]
		case host[i] < '0' || host[i] > '9':
			return host
		}
	}
	return host
}
