package chivehillkey

import "github.com/chivehill/chivehill/internal/chivehillwire"

func handoverPart(t *Table) chivehillwire.Handover {
	return chivehillwire.Handover{Host: t.host, Incarnation: t.incarnation, Keys: t.Export()}
}
