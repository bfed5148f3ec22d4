package election

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/rows"
)

// Guards against an owner that takes the request to take the cell over for accepted although
// the node is being stopped and never claims.
func TestStoppingNodeRejectsTheRequestToTakeOver(t *testing.T) {
	a, _ := pingedOwner(t, &countingOwner{})
	a.options.Store = &fakeStore{}
	payload, err := a.takeOverRequest(tokensPerOwner).MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := a.HandleTakeOver(t.Context(), payload); err != nil {
		t.Fatalf("a running node rejects the request: %v", err)
	}
	a.Stop(0)
	if _, err := a.HandleTakeOver(t.Context(), payload); !errkind.Is(err, errkind.ShuttingDown) {
		t.Errorf("a stopping node answers %v", err)
	}
}

// Guards against a cell that is released to a node whose stop the owner doesn't know yet.
func TestStopIsToldToTheOwnerBeforeTheNextPingIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection(t)
		first := e.startOwned()
		owner := e.net.agents[first]
		for _, address := range e.others(first) {
			e.net.agents[address].Stop(owner.now())
			time.Sleep(time.Millisecond)
			owner.mu.Lock()
			known := owner.members[address].ping.Stopping
			owner.mu.Unlock()
			if !known {
				t.Errorf("the owner doesn't know that %s is being stopped", address)
			}
		}
	})
}

// rejectedCalls rejects the first requests to take the cell over, and records the nodes that
// were asked.
type rejectedCalls struct {
	mu     sync.Mutex
	reject int
	asked  []string
}

func (c *rejectedCalls) Call(_ context.Context, addr string, _ api.Method, _ msgp.Marshaler, _ msgp.Unmarshaler) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, addr)
	if len(c.asked) <= c.reject {
		return errkind.New(errkind.ShuttingDown, "", "the node is being stopped")
	}
	return nil
}

// Guards against an owner that treats a rejected request as served, and waits before it asks
// another node, or asks the same one again.
func TestRejectedHandoverGoesToAnotherNodeAtOnce(t *testing.T) {
	for _, tt := range []struct {
		name       string
		own, other Size
		load       Load
		owned      time.Duration
	}{
		{"owner is not fit", slowLink, fitNode, testLoad, 2 * unfitHandoverAfter},
		{"other nodes have more processor", smallNode, fitNode, Load{}, 2 * minTenure},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const rejections = 2
				calls := &rejectedCalls{reject: rejections}
				a, _ := ownerOf(t, tt.own, tt.load, tt.owned, 0)
				a.options.Caller = calls
				for _, address := range []string{"n1", "n2", "n3"} {
					addMember(a, address, tt.other, nil)
				}
				for range rejections + 1 {
					a.maybeHandOver()
					synctest.Wait()
				}
				asked := map[string]bool{}
				for _, address := range calls.asked {
					asked[address] = true
				}
				if len(asked) != rejections+1 {
					t.Errorf("asked %v, want all three nodes", calls.asked)
				}
				a.maybeHandOver()
				synctest.Wait()
				if len(calls.asked) != rejections+1 {
					t.Errorf("asked %v although a node has accepted", calls.asked)
				}
				late := newMember(api.OwnerPing{Address: calls.asked[0], Incarnation: "i"}, a.members[calls.asked[0]], a.now())
				restarted := newMember(api.OwnerPing{Address: calls.asked[0], Incarnation: "next"}, a.members[calls.asked[0]], a.now())
				if a.mayTakeOver(late) || !a.mayTakeOver(restarted) {
					t.Error("a rejection doesn't count for the process that made it and no other")
				}
			})
		})
	}
}

// Guards against a much weaker node that is never asked to claim a released cell although all
// others reject it, and against asking without a bound.
func TestSuccessorsIncludeWeakNodes(t *testing.T) {
	a, _ := ownerOf(t, fitNode, testLoad, time.Second, 0)
	addMember(a, "small1", smallNode, nil)
	addMember(a, "stopping", fitNode, func(p *api.OwnerPing) { p.Stopping = true })
	addMember(a, "fit", fitNode, nil)
	if got := a.Successors(); len(got) != 2 || got[0] != "fit" || got[1] != "small1" {
		t.Errorf("successors %v", got)
	}
	for _, address := range []string{"small2", "small3", "small4", "small5"} {
		addMember(a, address, smallNode, nil)
	}
	if got := a.Successors(); len(got) != maxSuccessors || got[0] != "fit" {
		t.Errorf("successors %v", got)
	}
}

// Guards against a node that takes the cell from the one that was asked before it and has
// claimed the cell without an answer in time.
func TestNodeAskedSecondLeavesTheCellToTheFirst(t *testing.T) {
	e := newElection(t)
	holder := func(node string) Holder { return Holder{Node: node, Incarnation: node, Address: node} }
	released, err := claim(t.Context(), e.store, e.clock, holder("released"), ownershipRow{})
	if err != nil {
		t.Fatal(err)
	}
	if err := released.Release(t.Context(), "first"); err != nil {
		t.Fatal(err)
	}
	payload, err := (&api.OwnerPing{Epoch: released.Epoch()}).MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		node   string
		claims bool
	}{{"first", true}, {"second", false}} {
		a := NewAgent(Options{Holder: holder(tt.node), Store: e.store, Clock: e.clock, Logger: e.output.logger(tt.node, e.clock)})
		if _, err := a.HandleTakeOver(t.Context(), payload); err != nil {
			t.Fatal(err)
		}
		if claimed := a.claimOnRequest(t.Context()) != nil; claimed != tt.claims {
			t.Errorf("the node asked %s claims the cell: %t", tt.node, claimed)
		}
	}
}

// Guards against an owner that keeps the cell until its process ends because its stop began
// while the claim was on its way.
func TestCellClaimedDuringAStopIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection(t)
		e.clock = bubbleClock{time.Now()}
		holder := Holder{Node: "n", Incarnation: "n", Address: "n"}
		a := NewAgent(Options{
			Holder: holder, Store: e.store, Clock: e.clock, Logger: e.output.logger("n", e.clock), Owner: &fakeOwner{},
			LastStoreAnswer: e.clock.Boot,
		})
		lease := a.claim(t.Context(), ownershipRow{})
		a.Stop(0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		a.runOwner(ctx, lease)
		row, err := readOwnershipRow(t.Context(), e.store)
		if err != nil {
			t.Fatal(err)
		}
		if v, _ := a.View(); ctx.Err() != nil || !row.record.Released || a.OwnsCell() || v.Self {
			t.Errorf("a stopping node runs the cell (%v), released: %t", ctx.Err(), row.record.Released)
		}
	})
}

// viewedStore notes whether the node counts itself as the owner during each commit.
type viewedStore struct {
	*fakeStore
	agent *Agent
	self  []bool
}

func (s *viewedStore) Commit(ctx context.Context, tx *rows.Tx) (rows.Timestamp, error) {
	v, _ := s.agent.View()
	s.self = append(s.self, v.Self)
	return s.fakeStore.Commit(ctx, tx)
}

// Guards against a stopping node that keeps results of advice calls for a tenure of its own that
// does not begin.
func TestCellClaimedDuringAStopIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection(t)
		e.clock = bubbleClock{time.Now()}
		store := &viewedStore{fakeStore: e.store}
		a := NewAgent(Options{
			Holder: Holder{Node: "n", Incarnation: "n", Address: "n"}, Store: store, Clock: e.clock,
			Logger: e.output.logger("n", e.clock), Owner: &fakeOwner{}, LastStoreAnswer: e.clock.Boot,
		})
		store.agent = a
		lease := a.claim(t.Context(), ownershipRow{})
		a.Stop(0)
		a.runOwner(t.Context(), lease)
		if !slices.Equal(store.self, []bool{false, false}) {
			t.Errorf("owns the cell at the claim and at the release: %v", store.self)
		}
		if v, _ := a.View(); v.Epoch != lease.Epoch() {
			t.Errorf("knows epoch %d, want %d", v.Epoch, lease.Epoch())
		}
	})
}
