package election

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/clock"
)

// Guards against an owner that takes a handover for the loss of the earlier owner, or the other
// way round.
func TestOwnerKnowsWhetherTheEarlierOneWasLost(t *testing.T) {
	for _, test := range []struct {
		name                   string
		claimed, release, asks bool // whether the earlier owner claimed, released, or asked for the claim
		lost                   bool
	}{
		{name: "first owner"},
		{name: "released", claimed: true, release: true},
		{name: "asked", claimed: true, asks: true},
		{name: "lost", claimed: true, lost: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := &fakeStore{}
			newAgent := func(node string) *Agent {
				return NewAgent(Options{Holder: Holder{Node: node, Incarnation: node, Address: node}, Store: store, Clock: clock.NewFake(time.Now()), Logger: log.NewNopLogger()})
			}
			claimAs := func(a *Agent) *Lease {
				row, err := readOwnershipRow(t.Context(), store)
				if err != nil {
					t.Fatal(err)
				}
				return a.claim(t.Context(), row)
			}
			if test.claimed {
				earlier := claimAs(newAgent("n0"))
				if test.release {
					if err := earlier.Release(t.Context(), "n1"); err != nil {
						t.Fatal(err)
					}
				}
			}
			next := newAgent("n1")
			next.setAskedToTakeOver(test.asks)
			if got := claimAs(next).PriorOwnerLost(); got != test.lost {
				t.Errorf("lost is %v, want %v", got, test.lost)
			}
		})
	}
}
