package chivehillcatalog

import (
	"slices"
	"strings"
)

// table finds routes by host name and path prefix.
type table map[string][]Route

// newTable sorts the routes of each host name by falling length of the prefix.
func newTable(routes []Route) table {
	t := make(table)
	for _, r := range routes {
		name := strings.ToLower(r.Hostname)
		t[name] = append(t[name], r)
	}
	for _, same := range t {
		slices.SortFunc(same, func(a, b Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return t
}

// find returns the route with the longest prefix that begins the path.
func (t table) find(hostname, path string) (Route, bool) {
	for _, r := range t[strings.ToLower(hostname)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}
