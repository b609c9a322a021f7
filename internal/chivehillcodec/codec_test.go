package chivehillcodec

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

type message struct {
	Name string `json:"name"`
}

func TestDecodeRejectsMalformedMessages(t *testing.T) {
	valid, err := cbor.Marshal(message{Name: "a"})
	qt.Assert(t, err, qt.IsNil)
	tests := []struct {
		about string
		data  []byte
		err   error
	}{
		{"whole", valid, nil},
		{"nothing", nil, ErrMalformed},
		{"truncated message", valid[:len(valid)-1], ErrMalformed},
		{"data after the message", append(append([]byte{}, valid...), 0), ErrMalformed},
		{"value of another type", []byte{0x01}, ErrMalformed},
		{"duplicate map key", []byte{0xa2, 0x64, 'n', 'a', 'm', 'e', 0x61, 'a', 0x64, 'n', 'a', 'm', 'e', 0x61, 'b'}, ErrMalformed},
		{"array exceeds the element limit", []byte{0x9a, 0x00, 0x02, 0x00, 0x01}, ErrMalformed},
	}
	for _, tt := range tests {
		m, err := Decode[message](tt.data)
		if tt.err != nil {
			qt.Check(t, err, qt.ErrorIs, tt.err, qt.Commentf("%s", tt.about))
			continue
		}
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", tt.about))
		qt.Check(t, m.Name, qt.Equals, "a", qt.Commentf("%s", tt.about))
	}
}
