package chivehillkey

import "github.com/chivehill/chivehill/internal/chivehillwire"

// handoverPart exports the table as one handover message.
func handoverPart(t *Table) chivehillwire.Handover {
	return chivehillwire.Handover{Host: t.host, Incarnation: t.incarnation, Keys: t.Export()}
}
