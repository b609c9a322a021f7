package chivehillgateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// TestRetryBound lets hosts send again whenever they may: all together stay
// within the ratio and the slack in every window.
func TestRetryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack = 0.2, 50.0
		hosts := rapid.IntRange(1, 40).Draw(t, "hosts")
		budgets := make([]*RetryBudget, hosts)
		for i := range budgets {
			budgets[i] = NewRetryBudget(ratio, slack, hosts)
		}
		requests, again := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "requests") {
			b := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			b.Earn("s")
			requests++
			for b.Take("s") {
				again++
			}
		}
		if bound := ratio*float64(requests) + slack; float64(again) > bound {
			t.Fatalf("%d sends beyond the first of %d requests; bound %v", again, requests, bound)
		}
	})
}

func TestBudgetBounds(t *testing.T) {
	b := NewRetryBudget(0, 0, 1)
	qt.Assert(t, b.Take("s"), qt.IsFalse)
	b.SetBounds(0.2, 40)
	qt.Assert(t, b.Take("s"), qt.IsTrue)
	b.SetHosts(1000)
	qt.Assert(t, b.Take("s"), qt.IsFalse)
}

func TestPickTarget(t *testing.T) {
	r := chivehillcatalog.Route{Targets: []chivehillcatalog.Target{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}
	tests := []struct {
		at   float64
		want chivehillid.ServiceID
	}{
		{0, "a"},
		{0.74, "a"},
		{0.76, "b"},
		{1, "b"},
	}
	for _, tt := range tests {
		qt.Check(t, pickTarget(r, tt.at), qt.Equals, tt.want)
	}
}

func TestHostname(t *testing.T) {
	for host, want := range map[string]string{"h": "h", "h:80": "h", "10.0.0.1:80": "10.0.0.1", "": "", "h.example": "h.example"} {
		qt.Check(t, hostname(host), qt.Equals, want)
	}
}
