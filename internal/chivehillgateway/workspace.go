package chivehillgateway

import (
	"context"
	"net/http"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillheader"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillqueue"
	"github.com/chivehill/chivehill/internal/chivehillreason"
	"github.com/chivehill/chivehill/internal/chivehillworkspace"
)

// Quota bounds the rate of the requests of each workspace over all hosts together.
type Quota interface {
	// Admit counts a request of a workspace whose quota is limited. If the request exceeds
	// the quota, it returns false and the time after which one would be admitted.
	Admit(ctx context.Context, w chivehillcatalog.Workspace) (retryAfter chivehillclock.Millis, ok bool)
}

// caller is on behalf of whom a request is served.
type caller struct {
	// workspace is the zero value if the request is served on behalf of none.
	workspace chivehillcatalog.Workspace
	// hasKeys is set if the configuration has workspaces, so that callers may send keys.
	hasKeys bool
}

// identify sets the caller of a request and restricts its regions to those of the caller's
// workspace. It returns the reason if the request is refused.
func (g *Gateway) identify(c *call, v chivehillcatalog.View) (reason chivehillreason.Reason, ok bool) {
	c.caller.hasKeys = v.Configuration.Workspaces != nil
	switch d := chivehillworkspace.Decide(v.Configuration, c.route, c.request.Credentials).(type) {
	case chivehillworkspace.Refused:
		return g.ifConfirmed(v, d.Reason), false
	case chivehillworkspace.Identified:
		c.caller.workspace = d.Workspace
		c.route.Regions = c.route.Regions.Intersect(d.Workspace.Regions)
	case chivehillworkspace.Anonymous:
	}
	return "", true
}

// withinQuota counts a request against the quota of its workspace. It is called once for a
// request, before the first send.
func (g *Gateway) withinQuota(ctx context.Context, c *call) (retryAfter chivehillclock.Millis, ok bool) {
	if g.Quota == nil || !c.caller.workspace.Quota.Limited() {
		return 0, true
	}
	return g.Quota.Admit(ctx, c.caller.workspace)
}

// priority returns the place of the request in queues. A request without a workspace has the
// rank of its route among the workspaces as well.
func (c *call) priority() chivehillqueue.Priority {
	p := chivehillqueue.Priority{Workspace: c.route.Priority, Route: c.route.Priority}
	if c.caller.workspace.ID != "" {
		p.Workspace = c.caller.workspace.Priority
	}
	return p
}

// credentialsField is the header field with the credentials of a caller.
const credentialsField = "Authorization"

// setCaller states the caller's workspace in the header of a request to a server and removes
// what the caller stated. Credentials stay only in deployments without keys.
func (g *Gateway) setCaller(h http.Header, c caller) {
	g.Headers.SetWorkspace(h, c.workspace.ID)
	if c.hasKeys {
		chivehillheader.Remove(h, credentialsField)
	}
}

// countRefusal counts a refusal, also for its workspace. Callers cannot choose the name of a
// workspace, so the number of counters is bounded by the configurations.
func (g *Gateway) countRefusal(w chivehillid.WorkspaceID, r chivehillreason.Refusal) {
	g.Metrics.Refuse(r)
	if w != "" {
		g.Metrics.WorkspaceRefusals.WithLabelValues(string(w), string(r.Reason)).Inc()
	}
}
