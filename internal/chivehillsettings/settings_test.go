package chivehillsettings

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/schema"
)

const valid = `{
  "host": "a", "region": "east", "failure-domain": "east-a",
  "caller-address": "127.0.0.1:1", "peer-address": "127.0.0.1:2", "operator-address": "127.0.0.1:3",
  "store-address": "127.0.0.1:4", "host-list-address": "127.0.0.1:5",
  "topology": [{"region": "east", "failure-domains": ["east-a"]}, {"region": "west", "failure-domains": ["west-a"]}]
}`

func TestParseFillsDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := Parse([]byte(valid))
	c.Assert(err, qt.IsNil)
	c.Check(s.Limits.MembershipLeaseMs, qt.Equals, 3*chivehillclock.Second)
	c.Check(s.LogLevel, qt.Equals, "info")
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	tests := []struct {
		name string
		old  string
		new  string
		want string
	}{
		{"unknown field", `"host": "a"`, `"host": "a", "colour": 1`, `unknown field "colour"`},
		{"wrong type", `"host": "a"`, `"host": 7`, `host is "number"; allowed: a value of type`},
		{"invalid name", `"host": "a"`, `"host": "A b"`, `host is "A b"; allowed: 1 to 63 of a-z`},
		{"host name as address", `"127.0.0.1:1"`, `"localhost:1"`, `caller-address is "localhost:1"; allowed: an IP address and a port`},
		{"failure domain of another region", `"failure-domain": "east-a"`, `"failure-domain": "west-a"`, `failure-domain is "west-a"; allowed: a failure domain that the topology lists under region "east"`},
		{"failure domain listed twice", `["west-a"]`, `["east-a"]`, `topology failure-domains is "east-a"; allowed: each failure domain once`},
		{"limit out of range", `"host": "a"`, `"host": "a", "limits": {"stop-grace-ms": 1}`, `limits.stop-grace-ms is "1"; allowed: from 100 to`},
		{"duration as a string", `"host": "a"`, `"host": "a", "limits": {"stop-grace-ms": "30s"}`, `limits.stop-grace-ms is "string"; allowed: a value of type`},
		{"unknown log level", `"host": "a"`, `"host": "a", "log-level": "loud"`, `log-level is "loud"; allowed: one of`},
		{"no peer secret outside loopback", `"127.0.0.1:2"`, `"10.0.0.1:2"`, `peer-secret-file is ""; allowed: a file with the shared secret`},
		{"trailing data", "]\n}", "]\n} {}", "more data after the JSON object"},
		{"not JSON", valid, "host: a", "decode JSON"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, tt.old, tt.new, 1)))
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, err.Error(), qt.Contains, tt.want)
		})
	}
}

// TestDocsDescribeEachField checks that docs/settings.md lists each field with the
// description of the schema.
func TestDocsDescribeEachField(t *testing.T) {
	c := qt.New(t)
	type object struct {
		Properties map[string]struct {
			Description string `json:"description"`
		} `json:"properties"`
		Defs map[string]object `json:"$defs"`
	}
	var root struct {
		object
		Defs map[string]object `json:"$defs"`
	}
	c.Assert(json.Unmarshal([]byte(schema.Settings), &root), qt.IsNil)
	data, err := os.ReadFile("../../docs/settings.md")
	c.Assert(err, qt.IsNil)
	text := string(data)
	for name, p := range root.Properties {
		c.Check(text, qt.Contains, "| `"+name+"` |")
		c.Check(text, qt.Contains, p.Description)
	}
	for name, p := range root.Defs["limits"].Properties {
		c.Check(text, qt.Contains, "| `limits."+name+"` | "+p.Description+" |")
	}
}
