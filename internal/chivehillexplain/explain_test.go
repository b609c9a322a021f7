package chivehillexplain

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivehill/chivehill/internal/chivehillid"
)

const log = `12.3 host-a {"request":"r1","server":"i-1","reason":"server-broke","message":"gateway: attempt failed."}
not a JSON line
{"server":"i-1","message":"selector: failing server ejected."}
{"server":"i-2","message":"selector: failing server ejected."}
{"request":"r1","reason":"server-broke","outcome":"unknown","status":502,"message":"gateway: refused."}
{"request":"r2","reason":"no-server","outcome":"not-run","status":503,"message":"gateway: refused."}
{"request":"r3","server":"i-2","status":200,"message":"gateway: answered."}
`

func TestExplainConcludesFromTheLastLine(t *testing.T) {
	tests := []struct {
		id             string
		steps, context int
		conclusion     string
	}{
		{"r1", 2, 1, "The request may have run: server-broke. .*502.*"},
		{"r2", 1, 0, "The request did not run and will not run: no-server. .*503."},
		{"r3", 1, 1, "Server i-2 answered with status 200."},
	}
	for _, tt := range tests {
		report, err := Explain(strings.NewReader(log), "")
		qt.Assert(t, errors.Is(err, ErrNotFound), qt.IsTrue)
		qt.Assert(t, report.Steps, qt.HasLen, 0)
		report, err = Explain(strings.NewReader(log), chivehillid.RequestID(tt.id))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, report.Steps, qt.HasLen, tt.steps)
		qt.Assert(t, report.Context, qt.HasLen, tt.context)
		qt.Assert(t, report.Conclusion, qt.Matches, tt.conclusion)
	}
}

func FuzzExplain(f *testing.F) {
	f.Add(log)
	f.Add("{")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = Explain(strings.NewReader(text), "r1")
	})
}
