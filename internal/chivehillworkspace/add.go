package chivehillworkspace

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
)

// Add adds a workspace and its keys to a configuration, whose maps are not nil. It returns
// an error that names the field with a value that is not allowed, and never a key.
func Add(c *chivehillcatalog.Configuration, w chivehillcatalog.Workspace, keys []string) error {
	if err := validate(w, keys); err != nil {
		return err
	}
	c.Workspaces[w.ID] = w
	for _, k := range keys {
		digest := chivehillcatalog.DigestKey(k)
		if holder, found := c.Keys[digest]; found && holder != w.ID {
			return fmt.Errorf("%s and %s: keys have one in common; allowed: each key in one workspace only", holder, w.ID)
		}
		c.Keys[digest] = w.ID
	}
	return nil
}

func validate(w chivehillcatalog.Workspace, keys []string) error {
	name := string(w.ID)
	switch {
	case name == "" || strings.TrimSpace(name) != name || strings.ContainsFunc(name, unicode.IsControl):
		return fmt.Errorf("name is %s; allowed: a name without control characters and outer spaces", strconv.Quote(name))
	case slices.Contains(keys, ""):
		return fmt.Errorf("%s: keys contain an empty one; allowed: keys that are not empty", name)
	case !isAmount(w.Quota.PerSecond):
		return fmt.Errorf("%s: rate is %v; allowed: 0 or a positive finite number", name, w.Quota.PerSecond)
	case !isAmount(w.Quota.Burst):
		return fmt.Errorf("%s: burst is %v; allowed: 0 or a positive finite number", name, w.Quota.Burst)
	}
	return nil
}

// isAmount reports whether a number is finite and not negative.
func isAmount(n float64) bool { return n >= 0 && !math.IsInf(n, 0) }
