package api

import (
	"testing"

	"github.com/tinylib/msgp/msgp"
)

// Guards against a field that is added to a tuple: nodes of other releases can't decode it.
func TestLengthsOfTuplesAreFixed(t *testing.T) {
	for _, tt := range []struct {
		name  string
		value msgp.Marshaler
		want  uint32
	}{
		{"TaskProgress", &TaskProgress{}, 9},
		{"DoneTasks", &DoneTasks{}, 3},
		{"WorkerLeaseEnd", &WorkerLeaseEnd{}, 3},
		{"GangFailure", &GangFailure{}, 3},
		{"InactiveTask", &InactiveTask{}, 4},
	} {
		encoded, err := tt.value.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, _, err := msgp.ReadArrayHeaderBytes(encoded); err != nil || got != tt.want {
			t.Errorf("%s has %d fields, want %d (%v)", tt.name, got, tt.want, err)
		}
	}
}
