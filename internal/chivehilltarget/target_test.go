package chivehilltarget

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPathIsWhatTheCallerSent(t *testing.T) {
	tests := []struct{ target, path, normalized string }{
		{"/a/b", "/a/b", "/a/b"},
		{"/a/b/", "/a/b/", "/a/b/"},
		{"/", "/", "/"},
		{"/a/b?c=/d/", "/a/b", "/a/b"},
		{"/a?/b?", "/a", "/a"},
		{"/a/b%2Fc", "/a/b%2Fc", "/a/b/c"},
		{"/a/b%252Fc", "/a/b%252Fc", "/a/b%2Fc"},
		{"/a/%62", "/a/%62", "/a/b"},
		{"/a/b%3Fc", "/a/b%3Fc", "/a/b?c"},
		{"/a%", "/a%", ""},
		{"/a//b", "/a//b", "/a/b"},
		{"//a/b", "//a/b", "/a/b"},
		{"/a/./b/../c", "/a/./b/../c", "/a/c"},
		{"/a/%2e%2E/c", "/a/%2e%2E/c", "/c"},
		{"/a/b/..", "/a/b/..", "/a/"},
		{"/a/b/.", "/a/b/.", "/a/b/"},
		{"/../a", "/../a", "/a"},
		{"/..", "/..", "/"},
		{"/a/b#c", "/a/b#c", "/a/b#c"},
		{"http://h/a/b%2Fc?d", "/a/b%2Fc", "/a/b/c"},
		{"http://h", "/", "/"},
		{"http://h?/a/", "/", "/"},
		{"/a?b=http://h/c/", "/a", "/a"},
		{"*", "", ""},
		{"h:443", "", ""},
	}
	for _, tt := range tests {
		got := Path(tt.target)
		qt.Check(t, got, qt.Equals, tt.path, qt.Commentf("%s", tt.target))
		qt.Check(t, Normalize(got), qt.Equals, tt.normalized, qt.Commentf("%s", tt.target))
	}
}
