package chivehillgateway

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillfront"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillregion"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// crashCheckDelay is the time between a broken connection and the dial that checks
// whether the server is down.
const crashCheckDelay = 20 * time.Millisecond

// fingerprint returns a hash of the parts of a request that a server sees.
func fingerprint(r *chivehillfront.Request) chivehillid.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URI} {
		// Writing to a hash never fails.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	for _, p := range r.Body {
		_, _ = h.Write(p)
	}
	return chivehillid.Fingerprint(h.Sum64())
}

// isSuspect reports whether a request has reached the number of kills at which it
// is refused.
func (g *Gateway) isSuspect(c *call) bool {
	return g.Suspects.Kills(g.Clock.Now(), c.fingerprint) >= chivehillsuspect.KillLimitIdempotent
}

// checkCrash dials a server after its connection broke during a request. If the
// server is down, it records the request as suspect and informs the other hosts.
func (g *Gateway) checkCrash(c *call, server chivehillcatalog.Server) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout.Duration())
	defer cancel()
	pool := chivehillupstream.NewPool(server.Address, g.Headers, nil)
	defer pool.Close()
	lease, err := pool.Take(ctx, dialTimeout)
	if err == nil {
		lease.Drop()
		return
	}
	if !errors.Is(err, chivehillupstream.ErrNotSent) {
		return
	}
	kills := g.Suspects.Record(g.Clock.Now(), c.fingerprint, g.Self, chivehillregion.Everywhere())
	g.Log.Warn().Str("request", string(c.id)).Str("server", string(server.ID)).Int("kills", kills).Msg("gateway: server is down after its connection broke during a request.")
	g.OnKill(c.fingerprint, kills)
}
