package chivehilllistener

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestOpenAllOrNone(t *testing.T) {
	first, err := Open("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	taken := first[0].Addr().String()
	_, err = Open("127.0.0.1:0", taken)
	qt.Assert(t, err, qt.ErrorMatches, "listen on "+taken+": .*")
	qt.Assert(t, first[0].Close(), qt.IsNil)
	again, err := Open(taken)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again[0].Close(), qt.IsNil)
}
