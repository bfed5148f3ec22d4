package election

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// Planned stops of the few nodes of a cell, which overlap.
const (
	fewNodes     = 3
	fewNodesTime = 40 * time.Second
)

// fewNodesCell stops nodes of which none is fit, and measures how long the cell has no commit while
// one of them runs.
type fewNodesCell struct {
	*election
	gaps   commitGaps
	random *rand.Rand

	mu           sync.Mutex
	running      map[string]func() // stops of the nodes that are not being stopped
	runningSince time.Time         // at least one of them
	longest      time.Duration
}

func (c *fewNodesCell) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.random.Int64N(int64(high-low)))
}

func (c *fewNodesCell) startNode(address string) {
	stop := c.startReleasing(address, smallNode, fitLoadTime, &c.gaps)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.running) == 0 {
		c.runningSince = time.Now()
	}
	c.running[address] = stop
}

// stopNode stops a node that runs, and starts it again later.
func (c *fewNodesCell) stopNode(address string, down time.Duration) {
	c.mu.Lock()
	stop := c.running[address]
	delete(c.running, address)
	c.mu.Unlock()
	if stop == nil {
		return
	}
	stop()
	time.Sleep(down)
	c.startNode(address)
}

// measure updates longest.
func (c *fewNodesCell) measure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gaps.mu.Lock()
	defer c.gaps.mu.Unlock()
	since := c.runningSince
	if c.gaps.last.After(since) {
		since = c.gaps.last
	}
	if len(c.running) > 0 {
		c.longest = max(c.longest, time.Since(since))
	}
}

// stopFewInTurn stops the nodes one after the other with pauses drawn from a seed, and returns the
// longest time without a commit while a node ran.
func stopFewInTurn(t *testing.T, seed uint64) time.Duration {
	c := &fewNodesCell{election: newOwnedCell(t, testLoad), random: rand.New(rand.NewPCG(seed, 2)), running: map[string]func(){}}
	c.store.clock = c.clock
	var nodes sync.WaitGroup
	for n := range fewNodes {
		c.startNode(fmt.Sprint("n", n))
	}
	time.Sleep(4 * time.Second) // until the cell has an owner
	measured := make(chan struct{})
	go func() {
		defer close(measured)
		for ; c.clock.Boot() < fewNodesTime; time.Sleep(5 * time.Millisecond) {
			c.measure()
		}
	}()
	for n := 0; c.clock.Boot() < fewNodesTime; n++ {
		address, down := fmt.Sprint("n", n%fewNodes), c.between(300*time.Millisecond, time.Second)
		nodes.Go(func() { c.stopNode(address, down) })
		time.Sleep(c.between(50*time.Millisecond, 2500*time.Millisecond))
	}
	nodes.Wait()
	for address := range c.running {
		nodes.Go(c.running[address])
	}
	nodes.Wait()
	<-measured
	return c.longest
}

// Guards against a cell that stays without an owner although a node runs, because that one waits
// for fitter nodes which do not run.
func TestFewNodesStoppedOneAfterTheOtherCommit(t *testing.T) {
	const longestGap = 1050 * time.Millisecond // the delay of such a node after a release, a ping and a load
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gap := stopFewInTurn(t, seed)
				t.Logf("no commit for up to %v", gap)
				if gap > longestGap {
					t.Errorf("no commit for %v", gap)
				}
			})
		})
	}
}

// timeToClaim returns how long nodes that start some time after the release of the cell take to
// claim it, and which of them does.
func timeToClaim(t *testing.T, released time.Duration, nodes map[string]Size) (took time.Duration, owner string) {
	e := newOwnedCell(t, testLoad)
	e.store.clock = e.clock
	row, err := readOwnershipRow(t.Context(), e.store)
	if err != nil {
		t.Fatal(err)
	}
	lease, err := claim(t.Context(), e.store, e.clock, Holder{Node: "gone", Incarnation: "gone", Address: "gone"}, row)
	if err != nil {
		t.Fatal(err)
	}
	if err := lease.Release(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	time.Sleep(released)
	began := time.Now()
	for address, size := range nodes {
		e.startSized(address, size)
	}
	for e.owner() == "" {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began), e.owner()
}

// Guards against a node that waits before it claims a cell without an owner, for fitter nodes that
// would have claimed it long ago; and against one that precedes a fit node.
func TestNodeThatStartsLongAfterTheReleaseClaimsSoon(t *testing.T) {
	const soon = 2*claimRankDelay + 2*standbyPingInterval // the shortest delays and the time between two checks
	for _, tt := range []struct {
		name     string
		released time.Duration // before the nodes start
		nodes    map[string]Size
		fast     bool
		owner    string
	}{
		{"alone", 2 * time.Second, map[string]Size{"small": smallNode}, true, "small"},
		{"just released", 0, map[string]Size{"small": smallNode}, false, "small"},
		{"with a fit node", 2 * time.Second, map[string]Size{"small": smallNode, "fit": fitNode}, true, "fit"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for range 20 {
				synctest.Test(t, func(t *testing.T) {
					took, owner := timeToClaim(t, tt.released, tt.nodes)
					if fast := took <= soon; fast != tt.fast || owner != tt.owner {
						t.Errorf("%s claims after %v, want %s, soon: %t", owner, took, tt.owner, tt.fast)
					}
				})
			}
		})
	}
}

// Guards against a node that does not wait for the successor of a released cell, because the table
// service is slow and the release was sent long before it was stored.
func TestRowAgeExcludesTheTimeOfASlowCommit(t *testing.T) {
	for _, tt := range []struct {
		name              string
		sentAt, read, age time.Duration
		took              time.Duration
	}{
		{"fast service", time.Hour, time.Hour + time.Second, 990 * time.Millisecond, 5 * time.Millisecond},
		{"slow service", time.Hour, time.Hour + time.Second, 0, 600 * time.Millisecond},
		{"time of the commit not known", 0, time.Hour, 0, time.Millisecond},
		{"clock of the service not known", time.Hour, 0, 0, time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			row := ownershipRow{record: api.CellLease{SentAtMs: int(tt.sentAt.Milliseconds())}}
			if got := rowAge(row, tt.read, tt.took); got != tt.age {
				t.Errorf("age %v, want %v", got, tt.age)
			}
		})
	}
}
