package election

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
)

// Guards against a lost owner that no node replaces because another node is still answered
// by an earlier owner.
func TestPeerOfAnotherOwnerDoesNotDelayATakeover(t *testing.T) {
	e := newElection(t)
	idle := func(address string) *Agent {
		a := NewAgent(Options{
			Holder: Holder{Node: address, Incarnation: address, Address: address}, Caller: fakeCaller{e.net, address},
			Clock: clock.System{}, Logger: log.NewNopLogger(), LastStoreAnswer: func() time.Duration { return 0 },
		})
		e.net.agents[address] = a
		return a
	}
	node, peer := idle("n0"), idle("n1")
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
