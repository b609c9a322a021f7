package chivehillgateway

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivehill/chivehill/internal/chivehillcatalog"
	"github.com/chivehill/chivehill/internal/chivehillfront"
	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillsuspect"
	"github.com/chivehill/chivehill/internal/chivehillupstream"
)

// crashCheckPause is how long after a connection broke the server is dialed to
// see whether it is down.
const crashCheckPause = 20 * time.Millisecond

// fingerprint tells requests apart by what servers see of them.
func fingerprint(r *chivehillfront.Request) chivehillid.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URI} {
		// Writing to a hash does not fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return chivehillid.Fingerprint(h.Sum64())
}

// isSuspect reports whether a request has brought down as many servers as one may.
func (g *Gateway) isSuspect(c *call) bool {
	return g.Suspects.Kills(g.Clock.Now(), c.fingerprint) >= chivehillsuspect.MostIdempotent
}

// checkCrash looks whether a server is down after it broke off a request, and
// if so remembers the request and tells the other hosts.
func (g *Gateway) checkCrash(c *call, server chivehillcatalog.Server) {
	time.Sleep(crashCheckPause)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout.Duration())
	defer cancel()
	pool := chivehillupstream.NewPool(server.Address, g.Dialect)
	defer pool.Close()
	lease, err := pool.Take(ctx, dialTimeout)
	if err == nil {
		lease.Drop()
		return
	}
	if !errors.Is(err, chivehillupstream.ErrNotSent) {
		return
	}
	kills := g.Suspects.Record(g.Clock.Now(), c.fingerprint, g.Self)
	g.Log.Warn().Str("request", string(c.id)).Str("server", string(server.ID)).Int("kills", kills).Msg("gateway: server down after a request.")
	g.Suspected(c.fingerprint, kills)
}
