package chivehillheader

import (
	"maps"
	"net/http"
	"strings"
)

// Remove removes a field and those that servers may take for it: some treat an underscore as
// a hyphen.
func Remove(h http.Header, name string) {
	maps.DeleteFunc(h, func(e string, _ []string) bool {
		return strings.EqualFold(strings.ReplaceAll(e, "_", "-"), name)
	})
}
