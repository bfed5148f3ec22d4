package httpbody

import (
	"slices"
	"testing"
)

// Guards against brackets and commas within strings that count as structure, and against an
// escaped quote that ends a string.
func TestStructureLeavesOutStrings(t *testing.T) {
	for _, tt := range []struct{ text, want string }{
		{`{"a":[1,"[,{"]}`, `{:[1,]}`},
		{`["\"],","\\",2]`, `[,,2]`},
		{`["unfinished, `, `[`},
	} {
		if got := string(slices.Collect(Structure([]byte(tt.text)))); got != tt.want {
			t.Errorf("%s: structure %q, want %q", tt.text, got, tt.want)
		}
	}
}
