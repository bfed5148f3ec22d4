package election

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
)

// Classes of nodes for a cell of 600 workers and a peak of 30 Mbit/s, which needs 0.51 core and
// a link of 45 Mbit/s.
var (
	testLoad    = Load{Workers: 600, PeakKbps: 30_000}
	fitNode     = Size{CPUMillis: 700, LinkKbps: 100_000, MemoryMB: 600, MaxOpenFiles: 8000}
	slowLink    = Size{CPUMillis: 650, LinkKbps: 30_000, MemoryMB: 600, MaxOpenFiles: 8000}
	smallNode   = Size{CPUMillis: 320, LinkKbps: 5000, MemoryMB: 200, MaxOpenFiles: 3000}
	earlierNode = Size{CPUMillis: 700} // of a release that reports no more
)

// newOwnedCell returns an election in a bubble with the ownership row of an earlier process at
// the address slow0, as after a loss of power of all nodes.
func newOwnedCell(t *testing.T, load Load) *election {
	e := newElection(t)
	e.clock, e.load = bubbleClock{time.Now()}, load
	row := ownershipRow{record: api.CellLease{Workers: load.Workers, PeakKbps: load.PeakKbps}}
	lease, err := claim(t.Context(), e.store, e.clock, Holder{Node: "slow0", Incarnation: "earlier", Address: "slow0"}, row)
	if err != nil {
		t.Fatal(err)
	}
	if lease.Epoch() != tokensPerOwner {
		t.Fatalf("epoch %d", lease.Epoch())
	}
	return e
}

// startClass starts nodes of one class that take different times to call.
func (e *election) startClass(prefix string, nodes int, size Size) {
	for n := range nodes {
		address := fmt.Sprint(prefix, n)
		e.net.mu.Lock()
		e.net.delay[address] = time.Millisecond + time.Duration(n%5)*1300*time.Microsecond
		e.net.mu.Unlock()
		e.startSized(address, size)
		time.Sleep(time.Millisecond)
	}
}

// claims returns the number of claims after that of newOwnedCell.
func (e *election) claims() int {
	row, err := readOwnershipRow(e.t.Context(), e.store)
	if err != nil {
		e.t.Fatal(err)
	}
	return row.record.Epoch/tokensPerOwner - 1
}

// Guards against an owner with a link that can't carry the cell after all nodes lost power,
// because its processor is strong enough and it was the first to start.
func TestFitNodeClaimsTheCellAfterATotalLoss(t *testing.T) {
	for phase := range 8 {
		synctest.Test(t, func(t *testing.T) {
			e := newOwnedCell(t, testLoad)
			e.startClass("slow", 9, slowLink)
			e.startClass("small", 9, smallNode)
			time.Sleep(time.Duration(phase) * 10 * time.Millisecond)
			e.startClass("fit", 2, fitNode)
			e.waitFor(time.Second, "an owner", func() bool { return e.owner() != "" })
			time.Sleep(10 * time.Second)
			if now := e.owner(); !strings.HasPrefix(now, "fit") || e.claims() != 1 {
				t.Errorf("phase %d: %q owns the cell after %d claims", phase, now, e.claims())
			}
		})
	}
}

// Guards against an owner that isn't fit and keeps the cell for seconds after a fit node has
// started, until its link is full, and against a cell that goes back and forth.
func TestUnfitOwnerHandsOverSoon(t *testing.T) {
	for _, later := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			e := newOwnedCell(t, testLoad)
			e.startClass("slow", 5, slowLink)
			e.waitFor(2*time.Second, "an owner", func() bool { return strings.HasPrefix(e.owner(), "slow") })
			claimed := time.Now()
			time.Sleep(later)
			e.startClass("fit", 2, fitNode)
			started := time.Now()
			e.waitFor(5*time.Second, "a fit owner", func() bool { return strings.HasPrefix(e.owner(), "fit") })
			if took := min(time.Since(claimed), time.Since(started)); took > 500*time.Millisecond {
				t.Errorf("%v after the claim and started %v later, the fit node owns the cell after %v", time.Since(claimed), later, took)
			}
			if now := time.Since(claimed); now < unfitHandoverAfter {
				t.Errorf("handed over %v after the claim, when not all nodes have pinged it", now)
			}
			time.Sleep(20 * time.Second)
			if now := e.owner(); !strings.HasPrefix(now, "fit") || e.claims() != 2 {
				t.Errorf("%q owns the cell after %d claims", now, e.claims())
			}
		})
	}
}

// Guards against a cell without a fit node that is handed on again and again, or has no owner.
func TestFittestNodeOwnsACellWithoutAFitNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newOwnedCell(t, testLoad)
		e.startClass("small", 9, smallNode)
		e.startClass("slow", 2, slowLink)
		e.waitFor(2*time.Second, "an owner", func() bool { return e.owner() != "" })
		time.Sleep(20 * time.Second)
		if now := e.owner(); !strings.HasPrefix(now, "slow") || e.claims() > 2 {
			t.Errorf("%q owns the cell after %d claims", now, e.claims())
		}
	})
}

// Guards against a fit node that can't reach the table service and is asked to take the cell
// over, so that the owner asks again and again while another fit node could.
func TestFitNodeWithoutTheStoreDoesNotTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newOwnedCell(t, testLoad)
		e.startClass("slow", 5, slowLink)
		e.waitFor(2*time.Second, "an owner", func() bool { return e.owner() != "" })
		e.setStoreCut("fit0", true)
		e.startClass("fit", 1, fitNode)
		time.Sleep(10 * time.Second)
		if now := e.owner(); !strings.HasPrefix(now, "slow") || e.claims() != 1 {
			t.Errorf("%q owns the cell after %d claims", now, e.claims())
		}
		e.setStoreCut("fit0", false)
		e.waitFor(5*time.Second, "the fit node, once it reaches the store", func() bool { return e.owner() == "fit0" })
	})
}

// ownerOf returns an agent of a size that has owned a cell for some time, and the addresses
// that it asks to take over.
func ownerOf(t *testing.T, size Size, load Load, owned time.Duration, lag time.Duration) (*Agent, takeOverCalls) {
	owner := &countingOwner{}
	owner.lag = lag
	a, _ := pingedOwner(t, owner)
	a.options.CPUMillis, a.options.LinkKbps, a.options.MemoryMB, a.options.MaxOpenFiles = size.CPUMillis, size.LinkKbps, size.MemoryMB, size.MaxOpenFiles
	a.ownerSince, a.load = a.now()-owned, newLoadRecord(load, a.now(), nil)
	return a, a.options.Caller.(takeOverCalls)
}

// addMember adds a node that has pinged the owner just now.
func addMember(a *Agent, address string, size Size, change func(*api.OwnerPing)) {
	ping := api.OwnerPing{
		Node: address, Address: address, Incarnation: "i", UptimeMs: 2000, StoreAgeMs: 50,
		CpuMillis: size.CPUMillis, LinkKbps: size.LinkKbps, MemoryMb: size.MemoryMB, MaxOpenFiles: size.MaxOpenFiles,
	}
	if change != nil {
		change(&ping)
	}
	a.members[address] = newMember(ping, nil, a.now())
}

// Guards against a handover to a node that can't take over or is no better, against one that
// comes too early, and against the rules for processor and lag that lead to a node that would
// hand the cell back.
func TestHandoverByFitness(t *testing.T) {
	const soon, long = 2 * unfitHandoverAfter, 2 * minTenure
	strongSlow := slowLink
	strongSlow.CPUMillis = 4000
	for _, tt := range []struct {
		name      string
		own       Size
		load      Load
		owned     time.Duration
		lag       time.Duration
		other     Size
		otherPing func(*api.OwnerPing)
		want      bool
	}{
		{name: "fit node", own: slowLink, load: testLoad, owned: soon, other: fitNode, want: true},
		{name: "not all nodes have pinged", own: slowLink, load: testLoad, owned: unfitHandoverAfter / 2, other: fitNode},
		{name: "much fitter node", own: smallNode, load: testLoad, owned: soon, other: slowLink, want: true},
		{name: "equal node", own: slowLink, load: testLoad, owned: long, other: slowLink},
		{name: "worse node", own: slowLink, load: testLoad, owned: long, other: smallNode},
		{name: "owner is fit", own: fitNode, load: testLoad, owned: soon, other: Size{CPUMillis: 8000, LinkKbps: 10_000_000}},
		{name: "need unknown", own: slowLink, owned: soon, other: fitNode},
		{name: "node of an earlier release", own: smallNode, load: testLoad, owned: soon, other: earlierNode, want: true},
		{name: "owner knows no sizes of its own but the processor", own: earlierNode, load: testLoad, owned: soon, other: fitNode},
		{name: "stopping node", own: slowLink, load: testLoad, owned: soon, other: fitNode, otherPing: func(p *api.OwnerPing) { p.Stopping = true }},
		{name: "node lost the store", own: slowLink, load: testLoad, owned: soon, other: fitNode, otherPing: func(p *api.OwnerPing) { p.UptimeMs, p.StoreAgeMs = 60_000, 3600 }},
		{name: "node never reached the store", own: slowLink, load: testLoad, owned: soon, other: fitNode, otherPing: func(p *api.OwnerPing) { p.UptimeMs, p.StoreAgeMs = 800, 800 }},
		{name: "stronger but less fit", own: fitNode, load: testLoad, owned: long, other: strongSlow},
		{name: "stronger and as fit", own: fitNode, load: testLoad, owned: long, other: Size{CPUMillis: 4000}, want: true},
		{name: "stronger, before the minimum tenure", own: fitNode, load: testLoad, owned: soon, other: Size{CPUMillis: 4000}},
		{name: "lagging, node as fit", own: fitNode, load: testLoad, owned: long, lag: 2 * maxOwnerLag, other: fitNode, want: true},
		{name: "lagging, node less fit", own: fitNode, load: testLoad, owned: long, lag: 2 * maxOwnerLag, other: slowLink},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a, calls := ownerOf(t, tt.own, tt.load, tt.owned, tt.lag)
			addMember(a, "other", tt.other, tt.otherPing)
			a.maybeHandOver()
			select {
			case <-calls:
				if !tt.want {
					t.Error("handed over")
				}
			case <-time.After(50 * time.Millisecond):
				if tt.want {
					t.Error("not handed over")
				}
			}
		})
	}
}

// failingCalls counts the calls to each address, which all fail.
type failingCalls map[string]int

func (c failingCalls) Call(_ context.Context, addr string, _ api.Method, _ msgp.Marshaler, _ msgp.Unmarshaler) error {
	c[addr]++
	return errors.New("no answer")
}

// Guards against an owner that asks for a handover in a loop while it fails, or always asks the
// same node.
func TestFailedHandoverIsRetriedAtIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := failingCalls{}
		a, _ := ownerOf(t, slowLink, testLoad, 0, 0)
		a.options.Caller, a.options.Clock = calls, bubbleClock{time.Now()}
		a.options.LastStoreAnswer = a.options.Clock.Boot
		a.ownerSince, a.load = 0, newLoadRecord(testLoad, 0, nil)
		for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
			addMember(a, "fit0", fitNode, nil)
			addMember(a, "fit1", fitNode, nil)
			a.maybeHandOver()
			synctest.Wait()
		}
		if first, second := calls["fit0"], calls["fit1"]; first+second < 5 || first+second > 8 || max(first, second)-min(first, second) > 1 {
			t.Errorf("%v in 20 s", calls)
		}
	})
}

// Guards against a standby that takes the cell over first although it can't carry it, and a
// change of the order in cells whose nodes are all fit.
func TestStandbysAreOrderedByFitness(t *testing.T) {
	strongSlow := slowLink
	strongSlow.CPUMillis = 4000
	for _, tt := range []struct {
		name string
		load Load
		want []string
	}{
		{"need known", testLoad, []string{"fit", "strongslow"}},
		{"need unknown", Load{}, []string{"strongslow"}},
		{"all fit", Load{Workers: 40}, []string{"strongslow"}},
	} {
		a, _ := ownerOf(t, fitNode, tt.load, time.Second, 0)
		addMember(a, "strongslow", strongSlow, nil)
		addMember(a, "fit", fitNode, nil)
		addMember(a, "small", smallNode, nil)
		want := tt.want
		if got, _ := a.selectStandbys(); !slices.Equal(got, want) {
			t.Errorf("%s: standbys %v, want %v", tt.name, got, want)
		}
	}
	a, _ := ownerOf(t, fitNode, testLoad, time.Second, 0)
	addMember(a, "fit", fitNode, func(p *api.OwnerPing) { p.StoreAgeMs = 5000 })
	addMember(a, "slow", slowLink, nil)
	if got := a.Successors(); !slices.Equal(got, []string{"slow", "fit"}) {
		t.Errorf("the successors are %q although only the second one reaches the store", got)
	}
}

// Guards against a cell whose first start takes longer, or whose nodes of an earlier release
// never own it, because no row tells its need.
func TestFirstStartAsBefore(t *testing.T) {
	a := NewAgent(Options{Clock: clock.System{}, CPUMillis: smallNode.CPUMillis, LinkKbps: 1})
	if delay := a.weaknessDelay(ownershipRow{}); delay != 0 {
		t.Errorf("a node waits %v on the first start", delay)
	}
	a.options.CPUMillis = weakCPUMillis - 1
	if delay := a.weaknessDelay(ownershipRow{}); delay != weakNodeClaimDelay {
		t.Errorf("a weak node waits %v on the first start", delay)
	}
}

// Guards against a cell that goes back and forth several times a second: the only fit node hands
// it over because its path to the table service fails for a moment, and the new owner hands it
// back at once.
func TestCellDoesNotReturnAtOnceToANodeThatLosesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newOwnedCell(t, testLoad)
		e.startClass("fit", 1, fitNode)
		e.startClass("slow", 5, slowLink)
		e.waitFor(2*time.Second, "the fit node", func() bool { return e.owner() == "fit0" })
		time.Sleep(2 * time.Second)
		before := e.claims()
		const period, outage, duration = 1500 * time.Millisecond, 700 * time.Millisecond, 24 * time.Second
		for began := time.Now(); time.Since(began) < duration; {
			e.setStoreCut("fit0", true)
			time.Sleep(outage)
			e.setStoreCut("fit0", false)
			time.Sleep(period - outage)
		}
		if claims, most := e.claims()-before, 2*int(duration/minTenure)+2; claims > most {
			t.Errorf("%d claims in %v, want at most %d", claims, duration, most)
		}
	})
}

// pausingClock is a clock of a process that is paused between all its reads.
type pausingClock struct{ boot *atomic.Int64 }

func (c pausingClock) Boot() time.Duration {
	return time.Duration(c.boot.Add(int64(30 * time.Millisecond)))
}
func (c pausingClock) Now() time.Time { return time.Time{}.Add(c.Boot()) }

// sentPings receives the pings that an agent sends.
type sentPings chan api.OwnerPing

func (c sentPings) Call(_ context.Context, _ string, _ api.Method, in msgp.Marshaler, _ msgp.Unmarshaler) error {
	c <- *in.(*api.OwnerPing)
	return errors.New("no answer")
}

// Guards against a handover to a node that has never reached the table service, because the
// node was paused while it wrote its ping and reports an answer later than its start.
func TestPauseDuringAPingShowsNoUseOfTheStore(t *testing.T) {
	pings, c := make(sentPings, 1), pausingClock{new(atomic.Int64)}
	assembled := c.Boot() // as Node counts the time of its assembly as an answer
	a := NewAgent(Options{Clock: c, Caller: pings, LastStoreAnswer: func() time.Duration { return assembled }})
	a.started = assembled
	_, _ = a.ping(t.Context(), "owner")
	if ping := <-pings; hasUsedStore(&member{ping: ping}) {
		t.Errorf("store answered %d ms ago, up for %d ms", ping.StoreAgeMs, ping.UptimeMs)
	}
}

// lastCall holds the payload of the last call.
type lastCall struct{ payload chan []byte }

func (c lastCall) Call(_ context.Context, _ string, _ api.Method, in msgp.Marshaler, _ msgp.Unmarshaler) error {
	payload, err := in.MarshalMsg(nil)
	c.payload <- payload
	return err
}

// Guards against a node that was paused when it was asked to take the cell over, and takes it
// from the next owner when it goes on.
func TestLateRequestTakesTheCellFromNoLaterOwner(t *testing.T) {
	e := newElection(t)
	holder := func(node string) Holder { return Holder{Node: node, Incarnation: node, Address: node} }
	claimAs := func(node string) *Lease {
		row, err := readOwnershipRow(t.Context(), e.store)
		if err != nil {
			t.Fatal(err)
		}
		lease, err := claim(t.Context(), e.store, e.clock, holder(node), row)
		if err != nil {
			t.Fatal(err)
		}
		return lease
	}
	calls := lastCall{make(chan []byte, 1)}
	owner := NewAgent(Options{Holder: holder("unfit"), Caller: calls, Clock: e.clock})
	asked := NewAgent(Options{Holder: holder("paused"), Store: e.store, Clock: e.clock, Logger: e.output.logger("paused", e.clock)})
	request := func(lease *Lease, delayed bool) *Lease {
		owner.setView(View{Epoch: lease.Epoch(), Self: true})
		owner.mu.Lock()
		owner.askToTakeOver(&member{ping: api.OwnerPing{Address: "paused"}})
		owner.mu.Unlock()
		payload := <-calls.payload
		if delayed {
			claimAs("next")
		}
		if _, err := asked.HandleTakeOver(t.Context(), payload); err != nil {
			t.Fatal(err)
		}
		return asked.claimOnRequest(t.Context())
	}
	if request(claimAs("unfit"), true) != nil {
		t.Error("the cell was taken from a later owner than the one that asked")
	}
	if asked.askedToTakeOver {
		t.Error("a later claim of this node counts as requested")
	}
	if request(claimAs("unfit"), false) == nil {
		t.Error("the cell was not taken from the owner that asked")
	}
	earlier, err := (&api.Empty{}).MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	claimAs("unfit")
	if _, err := asked.HandleTakeOver(t.Context(), earlier); err != nil || asked.claimOnRequest(t.Context()) == nil {
		t.Errorf("the request of an owner of an earlier release was not served: %v", err)
	}
}
