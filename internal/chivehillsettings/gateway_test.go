package chivehillsettings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const gatewaySettings = `{
  "host": "edge-1", "region": "east", "failure-domain": "e1", "domains": {"e1": "east"},
  "caller-address": "10.0.0.1:80", "ready-address": "10.0.0.1:81", "directory-address": "10.0.0.1:82", "peer-address": "10.0.0.1:83",
  "metrics-address": "10.0.0.1:84", "store-address": "10.0.0.9:80", "seed-addresses": [], "memory-mb": 256, "processor-share": 0.5, "link-mbps": 100, "log-level": "info",
  "bounds": {"stop-grace-seconds": 6, "configuration-seconds": 2, 
    "retry-ratio": 0.2, "retry-slack": 50, "answer-keep-seconds": 5}
}`

func TestGatewaySettingsAreChecked(t *testing.T) {
	tests := []struct {
		about, old, new, err string
	}{
		{"valid", "", "", ""},
		{"unknown field", `"host":`, `"hots": 1, "host":`, `.*unknown field "hots"`},
		{"host name as address", `"10.0.0.9:80"`, `"store:80"`, `store-address is "store:80"; allowed: .*`},
		{"unknown log level", `"info"`, `"loud"`, `log-level is "loud"; allowed: .*`},
		{"retry ratio above 1", `"retry-ratio": 0.2`, `"retry-ratio": 2`, `bounds.retry-ratio is "2"; allowed: from 0 to 1`},
		{"stop grace below 1 s", `"stop-grace-seconds": 6`, `"stop-grace-seconds": 0`, `bounds.stop-grace-seconds is "0"; allowed: from 1 to 3600`},
		{"failure domain of another region", `{"e1": "east"}`, `{"e1": "west"}`, `failure-domain is "e1"; allowed: .*`},
		{"processor share of 0", `"processor-share": 0.5`, `"processor-share": 0`, `processor-share is "0"; allowed: from 0.001 to 1024`},
		{"negative link rate", `"link-mbps": 100`, `"link-mbps": -1`, `link-mbps is "-1"; allowed: from 0.001 to 1e\+06`},
		{"wrong type", `"memory-mb": 256`, `"memory-mb": "much"`, `memory-mb is "string"; allowed: .*`},
	}
	for _, tt := range tests {
		path := filepath.Join(t.TempDir(), "gateway.json")
		text := strings.Replace(gatewaySettings, tt.old, tt.new, 1)
		qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		_, err := LoadGateway(path)
		if tt.err == "" {
			qt.Check(t, err, qt.IsNil)
			continue
		}
		qt.Check(t, err, qt.ErrorMatches, `settings .*gateway.json: (?s:`+tt.err+`)`, qt.Commentf("%s", tt.about))
	}
}

func FuzzGatewaySettings(f *testing.F) {
	f.Add([]byte(gatewaySettings))
	f.Add([]byte(`{"bounds":null}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseGateway(data)
	})
}
