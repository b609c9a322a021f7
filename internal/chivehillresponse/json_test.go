package chivehillresponse

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestWholeJSON(t *testing.T) {
	const depth = 20_000
	nested := strings.Repeat(`{"a":[`, depth) + strings.Repeat("]}", depth)
	tests := []struct {
		about string
		body  string
		whole bool
	}{
		{"object", `{"a":[1,"]}",{}]}`, true},
		{"nested deeply", nested, true},
		{"nested deeply, last byte missing", nested[:len(nested)-1], false},
		{"nested deeply, second half missing", nested[:len(nested)/2], false},
		{"nested more deeply than any body", strings.Repeat("[", maxNesting+2) + strings.Repeat("]", maxNesting+2), false},
		{"part of an object", `{"a":[1]`, false},
		{"part of a text", `{"a":"b`, false},
		{"no JSON", `what`, false},
	}
	for _, tt := range tests {
		qt.Check(t, WholeJSON([]byte(tt.body)), qt.Equals, tt.whole, qt.Commentf("%s", tt.about))
	}
}
