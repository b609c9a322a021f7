package chivehillcatalog

import (
	"slices"
	"strings"
)

// routeTable maps a lower-case host name to its routes, longest path prefix first.
type routeTable map[string][]Route

// newRouteTable groups routes by host name and sorts each group by descending
// length of the path prefix.
func newRouteTable(routes []Route) routeTable {
	t := make(routeTable)
	for _, r := range routes {
		name := strings.ToLower(r.Hostname)
		t[name] = append(t[name], r)
	}
	for _, sharing := range t {
		slices.SortFunc(sharing, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// find returns the route whose path prefix is the longest one that matches the path.
func (t routeTable) find(hostname, path string) (Route, bool) {
	for _, r := range t[strings.ToLower(hostname)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}
