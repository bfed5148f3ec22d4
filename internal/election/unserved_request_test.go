package election

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// Guards against a released cell for which all nodes wait in vain, because its successor has
// accepted the request to claim it and is stopped before it does; and against a cell that is taken
// from an owner which still runs.
func TestRequestThatAStoppingNodeDoesNotServeIsPassedOn(t *testing.T) {
	for _, tt := range []struct {
		name     string
		released bool
		within   time.Duration // of the stop; 0 for no claim
	}{{"released", true, successorWait / 4}, {"owner runs", false, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newOwnedCell(t, Load{})
				owner := claimFrom(t, e.store, e.clock)
				successor := NewAgent(Options{
					Holder: Holder{Node: "successor", Incarnation: "i", Address: "successor"}, Store: e.store, Clock: e.clock,
					Caller: fakeCaller{e.net, "successor"}, ReportUnanswered: func(string) {}, Logger: e.output.logger("successor", e.clock),
					LastStoreAnswer: e.clock.Boot,
				})
				successor.standbyAddresses = []string{"successor", "gone", "other"}
				if tt.released {
					if err := owner.Release(t.Context(), "successor"); err != nil {
						t.Fatal(err)
					}
				}
				e.net.dead["gone"] = true
				e.start("other", 400)
				time.Sleep(20 * time.Millisecond)
				payload, err := (&api.OwnerPing{Epoch: owner.Epoch()}).MarshalMsg(nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := successor.HandleTakeOver(t.Context(), payload); err != nil {
					t.Fatal(err)
				}
				successor.Stop(0)
				began := time.Now()
				for e.owner() == "" && time.Since(began) < successorWait/2 {
					time.Sleep(time.Millisecond)
				}
				took := time.Since(began)
				if claimed := e.owner() == "other"; claimed != (tt.within > 0) || claimed && took > tt.within {
					t.Errorf("claimed: %t, after %v", claimed, took)
				}
			})
		})
	}
}
