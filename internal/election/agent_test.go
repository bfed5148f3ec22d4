package election

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/rows"
)

// Guards against a cell with no owner, or with two, after its start.
func TestOneNodeOwnsTheCell(t *testing.T) {
	t.Parallel()
	e := newElection(t)
	for n := range 4 {
		e.start(fmt.Sprint("n", n), 400)
	}
	e.until(3*time.Second, "one owner", func() bool { return e.owner() != "" })
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

// Guards against a slow takeover when the process of the owner is gone.
func TestTakeoverAfterAKill(t *testing.T) {
	t.Parallel()
	e := formElection(t, 4)
	time.Sleep(400 * time.Millisecond)
	first := e.owner()
	e.kill(first)
	e.until(1500*time.Millisecond, "another owner", func() bool { return e.owner() != "" && e.owner() != first })
}

// Guards against callers that a node which reaches nobody keeps for as long as they
// wait, while another node could serve them.
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
	e.until(1500*time.Millisecond, "the owner is isolated", func() bool { return isolated(first) })
	e.until(2*time.Second, "another owner", func() bool { now := e.owner(); return now != first })
	e.cutOff(other)
	e.until(2*time.Second, "a cut-off node is isolated", func() bool { return isolated(other) })
	for address := range e.owners {
		if address != first && address != other && isolated(address) {
			t.Errorf("%s is isolated", address)
		}
	}
	e.reconnect(first)
	e.until(2*time.Second, "the first one is back", func() bool { return !isolated(first) })
}

// Guards against a node that reaches its peers but not the store, and so never learns
// of a new owner although its peers know it.
func TestNodeWithoutTheStoreLearnsOfANewOwner(t *testing.T) {
	t.Parallel()
	e := formElection(t, 8)
	time.Sleep(700 * time.Millisecond)
	first := e.owner()
	standby, _ := e.net.agents[first].standbys()
	deaf := ""
	for address := range e.owners {
		if address != first && !slices.Contains(standby, address) {
			deaf = address
		}
	}
	e.store.mu.Lock()
	e.store.deaf[deaf] = true
	e.store.mu.Unlock()
	e.kill(first)
	e.until(1500*time.Millisecond, "another owner", func() bool { return e.owner() != "" && e.owner() != first })
	e.until(1500*time.Millisecond, "the node without the store knows it", func() bool {
		v, _ := e.net.agents[deaf].View()
		return v.Address == e.owner() && !v.Isolated
	})
}

// Guards against an owner that tells an empty backlog because its records are not
// loaded yet: the other nodes keep what the earlier one told.
func TestBacklogOfALoadingOwnerIsNotTold(t *testing.T) {
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
	e.until(1500*time.Millisecond, "another owner", func() bool { return e.owner() != "" && e.owner() != first })
	time.Sleep(400 * time.Millisecond)
	for address := range e.owners {
		v, _ := e.net.agents[address].View()
		if address != first && (len(v.Backlog) != 1 || v.BacklogAt == 0) {
			t.Errorf("%s: backlog %v as of %v", address, v.Backlog, v.BacklogAt)
		}
		if age := e.net.agents[address].now() - v.BacklogAt; address != first && age < 300*time.Millisecond {
			t.Errorf("%s: the backlog counts as told %v ago", address, age)
		}
	}
}

// Guards against a node that is cut off from the owner alone and replaces it.
func TestNodeThatAloneDoesNotHearTheOwnerLeavesIt(t *testing.T) {
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
	e.owners[first].stalled = true // its row does not change, as with a slow store
	e.owners[first].mu.Unlock()
	time.Sleep(1200 * time.Millisecond)
	if now := e.owner(); now != first {
		t.Errorf("%s was replaced by %s", first, now)
	}
}

// Guards against weak nodes that own the cell while strong ones live.
func TestStrongNodeOwnsTheCell(t *testing.T) {
	t.Parallel()
	e := newElection(t)
	for n := range 6 {
		e.start(fmt.Sprint("weak", n), 192)
	}
	for n := range 2 {
		e.start(fmt.Sprint("strong", n), 800)
	}
	e.until(3*time.Second, "an owner", func() bool { return e.owner() != "" })
	time.Sleep(700 * time.Millisecond)
	first := e.owner()
	e.kill(first)
	e.until(3*time.Second, "another owner", func() bool { return e.owner() != "" && e.owner() != first })
	if now := e.owner(); now[:6] != "strong" {
		t.Errorf("%s owns the cell after %s", now, first)
	}
}

// Guards against an owner that is too slow for its work and keeps it.
func TestLateOwnerHandsOver(t *testing.T) {
	t.Parallel()
	e := formElection(t, 3)
	first := e.owner()
	e.owners[first].mu.Lock()
	e.owners[first].lag = 100 * time.Millisecond
	e.owners[first].mu.Unlock()
	e.until(settleTime+2*time.Second, "another owner", func() bool { return e.owner() != "" && e.owner() != first })
}

// Guards against a commit whose answer was lost and that is taken for a rival's, or
// applied twice.
func TestCommitWithALostAnswerIsRecognized(t *testing.T) {
	store := &fakeStore{}
	h := Holder{Node: "n", Incarnation: "i", Address: "a"}
	lease, err := claim(t.Context(), store, h, ownerRow{})
	if err != nil {
		t.Fatal(err)
	}
	store.lost = 1
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

// Guards against an owner that goes on to commit after another one has claimed the
// cell.
func TestCommitOfAnEarlierOwnerFails(t *testing.T) {
	store := &fakeStore{}
	old, err := claim(t.Context(), store, Holder{Node: "n1", Incarnation: "1", Address: "a1"}, ownerRow{})
	if err != nil {
		t.Fatal(err)
	}
	row, err := readOwner(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	next, err := claim(t.Context(), store, Holder{Node: "n2", Incarnation: "2", Address: "a2"}, row)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := old.Commit(t.Context(), &rows.Tx{}); !errors.Is(err, ErrLost) {
		t.Errorf("commit of the earlier owner: %v", err)
	}
	if next.Epoch() != old.Epoch()+1 {
		t.Errorf("epochs %d and %d", old.Epoch(), next.Epoch())
	}
}

// Guards against a cell that stands still for a second because its owner was lost
// without a word.
func TestTakeoverOfASilentOwner(t *testing.T) {
	const target = 900 * time.Millisecond
	for phase := range 10 {
		synctest.Test(t, func(t *testing.T) {
			e := newElection(t)
			e.clock = bubbleClock{time.Now()}
			for n := range 5 {
				e.start(fmt.Sprint("n", n), 400)
			}
			e.until(3*time.Second, "an owner", func() bool { return e.owner() != "" })
			time.Sleep(500*time.Millisecond + time.Duration(phase)*10*time.Millisecond)
			first := e.owner()
			e.cutOff(first)
			began := time.Now()
			e.until(3*time.Second, "another owner", func() bool { now := e.owner(); return now != "" && now != first })
			took := time.Since(began)
			t.Logf("phase %d: replaced after %v", phase, took)
			if took > target {
				t.Errorf("phase %d: a silent owner was replaced after %v", phase, took)
			}
		})
	}
}
