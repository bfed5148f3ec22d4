package election

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/rows"
)

// Guards against a cell with no owner, or with two owners, after its start.
func TestOneNodeOwnsTheCell(t *testing.T) {
	t.Parallel()
	e := newElection(t)
	for n := range 4 {
		e.start(fmt.Sprint("n", n), 400)
	}
	e.waitFor(3*time.Second, "one owner", func() bool { return e.owner() != "" })
	time.Sleep(500 * time.Millisecond)
	owning := 0
	for _, o := range e.owners {
		if o.epoch() > 0 {
			owning++
		}
	}
	if owning != 1 {
		t.Errorf("%d nodes own the cell", owning)
	}
}

// Guards against a slow takeover after the process of the owner has ended.
func TestTakeoverAfterAKill(t *testing.T) {
	t.Parallel()
	e := formElection(t, 4)
	time.Sleep(400 * time.Millisecond)
	first := e.owner()
	e.kill(first)
	e.waitForNewOwner(1500*time.Millisecond, first)
}

// Guards against callers that wait until their deadline at a node that reaches neither
// the owner nor the table service, while another node could serve them.
func TestCutOffNodeKnowsThatItIsIsolated(t *testing.T) {
	t.Parallel()
	e := formElection(t, 4)
	time.Sleep(400 * time.Millisecond)
	first := e.owner()
	other := "n0"
	if first == other {
		other = "n1"
	}
	isolated := func(address string) bool {
		v, _ := e.net.agents[address].View()
		return v.Isolated
	}
	e.cutOff(first)
	e.waitFor(1500*time.Millisecond, "the owner is isolated", func() bool { return isolated(first) })
	e.waitForNewOwner(2*time.Second, first)
	e.cutOff(other)
	e.waitFor(2*time.Second, "a cut-off node is isolated", func() bool { return isolated(other) })
	for address := range e.owners {
		if address != first && address != other && isolated(address) {
			t.Errorf("%s is isolated", address)
		}
	}
	e.reconnect(first)
	e.waitFor(2*time.Second, "the first owner is no longer isolated", func() bool { return !isolated(first) })
}

// Guards against a node that reaches its peers but not the store and never learns of a
// new owner that its peers know.
func TestNodeWithoutTheStoreLearnsOfANewOwner(t *testing.T) {
	t.Parallel()
	e := formElection(t, 8)
	time.Sleep(700 * time.Millisecond)
	first := e.owner()
	standby, _ := e.net.agents[first].selectStandbys()
	withoutStore := ""
	for address := range e.owners {
		if address != first && !slices.Contains(standby, address) {
			withoutStore = address
		}
	}
	e.store.mu.Lock()
	e.store.unreachableFrom[withoutStore] = true
	e.store.mu.Unlock()
	e.kill(first)
	e.waitForNewOwner(1500*time.Millisecond, first)
	e.waitFor(1500*time.Millisecond, "the node without the store knows the new owner", func() bool {
		v, _ := e.net.agents[withoutStore].View()
		return v.Address == e.owner() && !v.Isolated
	})
}

// Guards against an owner that reports an empty backlog before its records are loaded:
// the other nodes keep the backlog that the earlier owner reported.
func TestBacklogOfALoadingOwnerIsIgnored(t *testing.T) {
	t.Parallel()
	e := formElection(t, 3)
	time.Sleep(400 * time.Millisecond)
	first := e.owner()
	for _, o := range e.owners {
		o.mu.Lock()
		o.loading = true
		o.mu.Unlock()
	}
	e.kill(first)
	e.waitForNewOwner(1500*time.Millisecond, first)
	time.Sleep(400 * time.Millisecond)
	for address := range e.owners {
		v, _ := e.net.agents[address].View()
		if address != first && (len(v.Backlog) != 1 || v.BacklogAt == 0) {
			t.Errorf("%s: backlog %v as of %v", address, v.Backlog, v.BacklogAt)
		}
		if age := e.net.agents[address].now() - v.BacklogAt; address != first && age < 300*time.Millisecond {
			t.Errorf("%s: the backlog counts as reported %v ago", address, age)
		}
	}
}

// Guards against a node that replaces the owner although only this node cannot reach it.
func TestNodeCutOffFromTheOwnerAloneDoesNotReplaceIt(t *testing.T) {
	t.Parallel()
	e := formElection(t, 4)
	time.Sleep(400 * time.Millisecond)
	first := e.owner()
	for address := range e.owners {
		if address != first {
			e.net.mu.Lock()
			e.net.cut[[2]string{address, first}] = true
			e.net.mu.Unlock()
			break
		}
	}
	e.owners[first].mu.Lock()
	e.owners[first].stalled = true // the ownership row does not change, as with a slow store
	e.owners[first].mu.Unlock()
	time.Sleep(1200 * time.Millisecond)
	if now := e.owner(); now != first {
		t.Errorf("%s was replaced by %s", first, now)
	}
}

// Guards against weak nodes that own the cell while strong nodes are live.
func TestStrongNodeOwnsTheCell(t *testing.T) {
	t.Parallel()
	e := newElection(t)
	for n := range 6 {
		e.start(fmt.Sprint("weak", n), 192)
	}
	for n := range 2 {
		e.start(fmt.Sprint("strong", n), 800)
	}
	e.waitFor(3*time.Second, "an owner", func() bool { return e.owner() != "" })
	time.Sleep(700 * time.Millisecond)
	first := e.owner()
	e.kill(first)
	e.waitForNewOwner(3*time.Second, first)
	if now := e.owner(); !strings.HasPrefix(now, "strong") {
		t.Errorf("%q owns the cell after %s", now, first)
	}
}

// Guards against an owner that keeps the cell although its lag is too high.
func TestLaggingOwnerHandsOver(t *testing.T) {
	t.Parallel()
	e := formElection(t, 3)
	first := e.owner()
	e.owners[first].mu.Lock()
	e.owners[first].lag = 100 * time.Millisecond
	e.owners[first].mu.Unlock()
	e.waitForNewOwner(minTenure+2*time.Second, first)
}

// Guards against a commit with a lost answer that is treated as a commit of another
// owner, or applied twice.
func TestCommitWithALostAnswerIsRecognized(t *testing.T) {
	store := &fakeStore{}
	h := Holder{Node: "n", Incarnation: "i", Address: "a"}
	lease, err := claim(t.Context(), store, clock.System{}, h, ownershipRow{})
	if err != nil {
		t.Fatal(err)
	}
	store.unansweredCommits = 1
	if _, err := lease.Commit(t.Context(), &rows.Tx{}); !errors.Is(err, errNoAnswer) {
		t.Fatalf("first try: %v", err)
	}
	before := store.version
	if _, err := lease.Commit(t.Context(), &rows.Tx{}); err != nil {
		t.Fatalf("second try: %v", err)
	}
	if store.version != before {
		t.Error("the commit was applied twice")
	}
	if _, err := lease.Commit(t.Context(), &rows.Tx{}); err != nil {
		t.Errorf("next commit: %v", err)
	}
}

// Guards against an owner that still commits after another node has claimed the cell.
func TestCommitOfAnEarlierOwnerFails(t *testing.T) {
	store := &fakeStore{}
	old, err := claim(t.Context(), store, clock.System{}, Holder{Node: "n1", Incarnation: "1", Address: "a1"}, ownershipRow{})
	if err != nil {
		t.Fatal(err)
	}
	row, err := readOwnershipRow(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	next, err := claim(t.Context(), store, clock.System{}, Holder{Node: "n2", Incarnation: "2", Address: "a2"}, row)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := old.Commit(t.Context(), &rows.Tx{}); !errors.Is(err, ErrLost) {
		t.Errorf("commit of the earlier owner: %v", err)
	}
	if next.Epoch() != nextEpoch(old.Epoch()) {
		t.Errorf("epochs %d and %d", old.Epoch(), next.Epoch())
	}
}

// Guards against a cell without an owner for a second after its owner was cut off from
// all nodes and the store, at different times relative to its last commit and ping.
func TestTakeoverOfASilentOwner(t *testing.T) {
	const target = 900 * time.Millisecond
	for phase := range 10 {
		synctest.Test(t, func(t *testing.T) {
			e := newElection(t)
			e.clock = bubbleClock{time.Now()}
			for n := range 5 {
				e.start(fmt.Sprint("n", n), 400)
			}
			e.waitFor(3*time.Second, "an owner", func() bool { return e.owner() != "" })
			time.Sleep(500*time.Millisecond + time.Duration(phase)*10*time.Millisecond)
			first := e.owner()
			e.cutOff(first)
			began := time.Now()
			e.waitForNewOwner(3*time.Second, first)
			took := time.Since(began)
			t.Logf("phase %d: replaced after %v", phase, took)
			if took > target {
				t.Errorf("phase %d: a silent owner was replaced after %v", phase, took)
			}
		})
	}
}

// startOwned starts seven nodes in a synctest bubble and returns the owner.
func (e *election) startOwned() string {
	e.clock = bubbleClock{time.Now()}
	for n := range 7 {
		e.start(fmt.Sprint("n", n), 400)
	}
	e.waitFor(3*time.Second, "an owner", func() bool { return e.owner() != "" })
	time.Sleep(time.Second)
	return e.owner()
}

// allKnow checks for d that no node is isolated and each knows the owner.
func (e *election) allKnow(owner string, d time.Duration, phase int) {
	e.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for address, agent := range e.net.agents {
			if v, _ := agent.View(); v.Isolated || v.Address != owner {
				e.t.Fatalf("phase %d: %s: isolated %v, owner %q, want %q", phase, address, v.Isolated, v.Address, owner)
			}
		}
	}
}

// Guards against nodes that refuse callers because the connection to a live owner went silent
// while the store was down, at different times relative to the last ping.
func TestSilentConnectionInAnOutageOfTheStoreIsolatesNoNode(t *testing.T) {
	for phase := range 10 {
		synctest.Test(t, func(t *testing.T) {
			e := newElection(t)
			first := e.startOwned()
			for address := range e.owners {
				e.setStoreCut(address, true)
			}
			time.Sleep(time.Second + time.Duration(phase)*30*time.Millisecond)
			e.silenceAll()
			e.allKnow(first, 3*time.Second, phase)
		})
	}
}

// Guards against nodes that stop pinging a live owner and refuse callers because the owner
// asked for a handover just before the store went down for all, and connections went silent
// meanwhile.
func TestHandoverInAnOutageOfTheStoreIsolatesNoNode(t *testing.T) {
	for phase := range 10 {
		synctest.Test(t, func(t *testing.T) {
			e := newElection(t)
			first := e.startOwned()
			e.setStoreCut(first, true)
			time.Sleep(storeLostAfter / 2)
			for address := range e.owners {
				e.setStoreCut(address, true)
			}
			time.Sleep(storeLostAfter + time.Duration(phase)*50*time.Millisecond)
			e.silenceAll()
			e.allKnow(first, 3*time.Second, phase)
		})
	}
}

// Guards against a silent owner that is replaced only after the time for which a node waits
// that is no standby, because no node counts itself as one.
func TestNodesCountAsStandbysWhenTheOwnerIsLost(t *testing.T) {
	const target = 900 * time.Millisecond
	for phase := range 10 {
		synctest.Test(t, func(t *testing.T) {
			e := newElection(t)
			e.clock = bubbleClock{time.Now()}
			e.startWithDelays("strong", 15, 800)
			time.Sleep(170 * time.Millisecond)
			e.startWithDelays("weak", 80, 192)
			time.Sleep(5*time.Second + time.Duration(phase)*230*time.Millisecond)
			first := e.owner()
			if got := e.standbys(); got != maxStandbys {
				t.Errorf("phase %d: %d nodes count themselves as standbys, want %d", phase, got, maxStandbys)
			}
			e.cutOff(first)
			began := time.Now()
			e.waitForNewOwner(5*time.Second, first)
			took := time.Since(began)
			t.Logf("phase %d: replaced after %v", phase, took)
			if took > target {
				t.Errorf("phase %d: a silent owner was replaced after %v", phase, took)
			}
		})
	}
}

// Guards against a live owner, still without a commit, that loses the cell when the table
// service answers again after an outage for all nodes.
func TestOutageOfTheStoreDoesNotReplaceALiveOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection(t)
		e.clock = bubbleClock{time.Now()}
		e.startWithDelays("n", 8, 400)
		for _, o := range e.owners {
			o.mu.Lock()
			o.stalled = true
			o.mu.Unlock()
		}
		time.Sleep(2 * time.Second)
		first, epoch := e.owner(), e.owners[e.owner()].epoch()
		e.store.setFailing(true, e.clock)
		time.Sleep(4 * time.Second)
		e.store.setFailing(false, e.clock)
		time.Sleep(2 * time.Second)
		if now := e.owner(); now != first || e.owners[first].epoch() != epoch {
			t.Errorf("%s replaced %s, which was live", now, first)
		}
	})
}

// Guards against an owner that keeps the cell although only it has lost the table service.
func TestOwnerThatAloneLostTheStoreIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection(t)
		e.clock = bubbleClock{time.Now()}
		e.startWithDelays("n", 8, 400)
		time.Sleep(2 * time.Second)
		first := e.owner()
		e.store.mu.Lock()
		e.store.unreachableFrom[first] = true
		e.store.mu.Unlock()
		e.waitForNewOwner(time.Second, first)
	})
}

// Guards against a node that fills the table service with claims for as long as an outage of
// it lasts, and does not ping the owner meanwhile.
func TestClaimIsNotRepeatedForAWholeOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = int(claimRetryLimit/claimRetryDelay) + 1
		e := newElection(t)
		e.clock = bubbleClock{time.Now()}
		a := NewAgent(Options{
			Holder: Holder{Node: "n", Incarnation: "n", Address: "n"}, Store: nodeStore{e.store, "n"},
			Clock: e.clock, Logger: log.NewNopLogger(),
		})
		e.store.setFailing(true, e.clock)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if a.claim(ctx, ownershipRow{}) != nil || ctx.Err() != nil {
			t.Error("the claim did not end")
		}
		if e.store.failedCalls > most {
			t.Errorf("%d calls of the table service, want at most %d", e.store.failedCalls, most)
		}
	})
}
