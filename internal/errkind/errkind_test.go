package errkind

import (
	"errors"
	"testing"
)

// Guards against an error that loses its kind or outcome when it is wrapped, and against
// an error without a kind that is not reported as internal.
func TestFromKeepsKindThroughWrapping(t *testing.T) {
	for _, r := range Table() {
		err := errors.Join(New(r.Kind, "f", "r"))
		if got := From(err); got.Kind != r.Kind || got.Outcome() != r.Outcome {
			t.Errorf("From(%v) = %v", r.Kind, got)
		}
	}
	if got := From(errors.New("x")).Kind; got != Internal {
		t.Errorf("plain error has kind %v, want %v", got, Internal)
	}
}
