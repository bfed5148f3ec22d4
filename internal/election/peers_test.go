package election

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
)

// idleAgent returns an agent that does not run.
func idleAgent(e *election, address string) *Agent {
	a := NewAgent(Options{
		Holder: Holder{Node: address, Incarnation: address, Address: address}, Caller: fakeCaller{e.net, address},
		Clock: clock.System{}, Logger: log.NewNopLogger(), LastStoreAnswer: func() time.Duration { return 0 },
	})
	e.net.agents[address] = a
	return a
}

// Guards against a lost owner that no node replaces because another node is still answered
// by an earlier owner.
func TestPeerOfAnotherOwnerDoesNotDelayATakeover(t *testing.T) {
	e := newElection(t)
	node, peer := idleAgent(e, "n0"), idleAgent(e, "n1")
	node.members["n1"] = newMember(api.OwnerPing{Address: "n1"}, nil, node.now())
	for _, test := range []struct {
		peersOwner string
		reached    bool
	}{{"lost", true}, {"earlier", false}} {
		peer.setView(View{Epoch: 1, Address: test.peersOwner, LastAnswerAt: peer.now()})
		reached, answered := node.peersReachOwner(t.Context(), "lost", ownerSeenWithin)
		if reached != test.reached || !answered {
			t.Errorf("the peer is answered by %q: reached %v, answered %v", test.peersOwner, reached, answered)
		}
	}
}

// Guards against an overloaded owner that is replaced by a node that can't carry the load
// either, again and again.
func TestSlowOwnerIsReplacedLater(t *testing.T) {
	for _, tt := range []struct {
		name      string
		pings     []time.Duration
		unchanged time.Duration
		want      bool
	}{
		{"no ping answered yet", nil, 310 * time.Millisecond, true},
		{"fast owner", []time.Duration{5 * time.Millisecond}, 310 * time.Millisecond, true},
		{"slow owner", []time.Duration{200 * time.Millisecond, 5 * time.Millisecond}, 600 * time.Millisecond, false},
		{"slow owner that is lost", []time.Duration{200 * time.Millisecond, 5 * time.Millisecond}, 850 * time.Millisecond, true},
		{"owner that was slow", append([]time.Duration{200 * time.Millisecond}, make([]time.Duration, 40)...), 310 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := newElection(t)
			node, peer := idleAgent(e, "n0"), idleAgent(e, "n1")
			node.members["n1"] = newMember(api.OwnerPing{Address: "n1"}, nil, node.now())
			peer.setView(View{Epoch: 1})
			for _, took := range tt.pings {
				node.recordPingTime(took)
			}
			row := ownershipRow{record: api.CellLease{Epoch: 1, Address: "lost"}, version: 1}
			if got := node.mayReplaceOwner(t.Context(), row, tt.unchanged); got != tt.want {
				t.Errorf("may replace the owner: %v, want %v", got, tt.want)
			}
		})
	}
}
