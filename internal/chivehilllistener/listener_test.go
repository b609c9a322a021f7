package chivehilllistener

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestListenClosesAllListenersIfOneFails(t *testing.T) {
	first, err := Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	inUse := first[0].Addr().String()
	_, err = Listen("127.0.0.1:0", inUse)
	qt.Assert(t, err, qt.ErrorMatches, "listen on "+inUse+": .*")
	qt.Assert(t, first[0].Close(), qt.IsNil)
	reopened, err := Listen(inUse)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reopened[0].Close(), qt.IsNil)
}
