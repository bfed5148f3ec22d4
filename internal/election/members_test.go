package election

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
)

// countingOwner counts the member lists that it gets.
type countingOwner struct {
	fakeOwner
	lists, members atomic.Int64
}

func (o *countingOwner) SetMembers(addresses []string, _ map[string]time.Duration) {
	o.lists.Add(1)
	o.members.Store(int64(len(addresses)))
}

// takeOverCalls records the addresses that were asked to take the cell over.
type takeOverCalls chan string

func (c takeOverCalls) Call(_ context.Context, addr string, _ api.Method, _ msgp.Marshaler, _ msgp.Unmarshaler) error {
	c <- addr
	return nil
}

// pingedOwner returns an agent that owns the cell, and a function that pings it as the n-th
// node.
func pingedOwner(tb testing.TB, owner *countingOwner) (*Agent, func(n int)) {
	a := NewAgent(Options{
		Holder: Holder{Node: "n", Incarnation: "n", Address: "n"}, Clock: clock.System{}, Logger: log.NewNopLogger(), Owner: owner,
		Caller:    make(takeOverCalls, 1),
		CPUMillis: 800, Config: func() (int, time.Duration) { return 1, 0 }, LastStoreAnswer: func() time.Duration { return clock.System{}.Boot() },
	})
	a.isOwner, a.ownerSince = true, a.now()
	return a, func(n int) {
		ping := api.OwnerPing{Node: fmt.Sprint("n", n), Incarnation: "i", Address: fmt.Sprint("n", n), CpuMillis: 800}
		payload, err := ping.MarshalMsg(nil)
		if err != nil {
			tb.Fatal(err)
		}
		if _, err := a.HandlePing(tb.Context(), payload); err != nil {
			tb.Fatal(err)
		}
	}
}

// Guards against an owner that passes the list of the nodes on at each ping, and so spends
// its time on pings in proportion to the square of the number of nodes.
func TestPingsOfKnownNodesDoNotChangeTheMembers(t *testing.T) {
	const nodes = 300
	owner := &countingOwner{}
	_, ping := pingedOwner(t, owner)
	for n := range nodes {
		ping(n)
	}
	if got := owner.members.Load(); got != nodes+1 {
		t.Fatalf("the owner knows %d nodes, want %d", got, nodes+1)
	}
	before := owner.lists.Load()
	for range 10 {
		for n := range nodes {
			ping(n)
		}
	}
	if got := owner.lists.Load() - before; got != 0 {
		t.Errorf("%d further lists", got)
	}
	ping(nodes)
	if got := owner.members.Load(); got != nodes+2 {
		t.Errorf("the owner knows %d nodes after another has pinged it, want %d", got, nodes+2)
	}
}

// Guards against a cell whose load is too high for any node and that is handed from one to
// the next every few seconds.
func TestLaggingCellIsNotHandedOverAgain(t *testing.T) {
	for _, tt := range []struct {
		name   string
		asked  bool
		tenure time.Duration
		want   bool
	}{
		{"claimed", false, minTenure, true},
		{"claimed just now", false, minTenure / 2, false},
		{"asked to take over", true, minTenure, false},
		{"asked to take over long ago", true, laggingTenure, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			owner := &countingOwner{}
			owner.lag = 2 * maxOwnerLag
			a, ping := pingedOwner(t, owner)
			a.askedToTakeOver, a.ownerSince = tt.asked, a.now()-tt.tenure
			ping(1)
			select {
			case to := <-a.options.Caller.(takeOverCalls):
				if !tt.want {
					t.Errorf("handed over to %s", to)
				}
			case <-time.After(100 * time.Millisecond):
				if tt.want {
					t.Error("not handed over")
				}
			}
		})
	}
}

// Guards against an owner without the table service that asks for a handover to a node that
// does not reach it either, while all others leave the claim to that node.
func TestHandoverPrefersNodesThatReachTheStore(t *testing.T) {
	for _, lost := range []bool{false, true} {
		a, _ := pingedOwner(t, &countingOwner{})
		ownAge := time.Duration(0)
		if lost {
			ownAge = 2 * storeLostAfter
		}
		a.options.LastStoreAnswer = func() time.Duration { return a.now() - ownAge }
		for n, storeAge := range []time.Duration{storeReachableWithin, 2 * storeReachableWithin, 0} {
			address := fmt.Sprint("n", n)
			a.members[address] = &member{ping: api.OwnerPing{Address: address, CpuMillis: 800, StoreAgeMs: int(storeAge.Milliseconds())}, lastPingAt: a.now()}
		}
		want := []string{"n0", "n1", "n2"}
		if lost {
			want = []string{"n2", "n0", "n1"}
		}
		if standbys, handover := a.selectStandbys(); !slices.Equal(standbys, want) || handover != lost {
			t.Errorf("store lost %t: standbys %v, handover %t; want %v", lost, standbys, handover, want)
		}
	}
}

// Guards against a handover in an outage of the table service for all nodes.
func TestHandoverOnlyIfTheStoreAnsweredANodeLater(t *testing.T) {
	for _, tt := range []struct {
		name             string
		ownAge, otherAge time.Duration
		want             bool
	}{
		{"outage for all", 450 * time.Millisecond, 440 * time.Millisecond, false},
		{"owner alone lost the store", 450 * time.Millisecond, 100 * time.Millisecond, true},
		{"standby asked a while ago", 900 * time.Millisecond, 500 * time.Millisecond, true},
		{"long outage", 3 * time.Second, 2 * time.Second, false},
		{"owner reaches the store", 100 * time.Millisecond, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a, _ := pingedOwner(t, &countingOwner{})
			now := a.now()
			a.options.LastStoreAnswer = func() time.Duration { return now - tt.ownAge }
			a.members["m"] = newMember(api.OwnerPing{Address: "m", StoreAgeMs: int(tt.otherAge.Milliseconds())}, nil, now)
			if _, got := a.selectStandbys(); got != tt.want {
				t.Errorf("handover %v, want %v", got, tt.want)
			}
		})
	}
}

// BenchmarkPing measures a ping at an owner with 30 and 300 nodes.
func BenchmarkPing(b *testing.B) {
	for _, nodes := range []int{30, 300} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			_, ping := pingedOwner(b, &countingOwner{})
			for n := range nodes {
				ping(n)
			}
			for i := 0; b.Loop(); i++ {
				ping(i % nodes)
			}
		})
	}
}

// Guards against a stopping node that the owner sends no calls to the adviser any more, or
// still sends some after it has ended.
func TestStoppingNodeAdvisesUntilItEnds(t *testing.T) {
	owner := &countingOwner{}
	a, _ := pingedOwner(t, owner)
	ping := api.OwnerPing{Node: "n1", Incarnation: "i", Address: "n1", CpuMillis: 800, Stopping: true, AdvisesForMs: 3000}
	began := a.now()
	a.members["n1"] = newMember(ping, nil, began)
	ping.AdvisesForMs = 2900 // a later ping on its way for longer
	a.members["n1"] = newMember(ping, a.members["n1"], began+200*time.Millisecond)
	if got := a.stoppingMembers()["n1"]; got != began+3*time.Second {
		t.Errorf("advises until %v after its stop began, want 3s", got-began)
	}
	if got := a.memberAddresses(); !slices.Equal(got, []string{"n"}) {
		t.Errorf("the nodes that stay are %v", got)
	}
	a.members["n1"].lastPingAt = began - stoppingPingMaxAge - time.Second
	if got := a.stoppingMembers(); len(got) != 0 {
		t.Errorf("%v without pings", got)
	}
}
