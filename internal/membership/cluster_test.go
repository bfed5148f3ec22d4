package membership_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

var (
	seedFlag = flag.Int64("seed", 0, "first seed of the random runs; 0 for a random one")
	runsFlag = flag.Int("runs", 8, "number of random runs")
)

const sampleInterval = 50 * time.Millisecond

// run checks the invariants for d.
func (s *sim) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && !s.failed; {
		time.Sleep(sampleInterval)
		s.check()
	}
}

// until runs until cond holds, and fails after limit.
func (s *sim) until(what string, limit time.Duration, cond func() bool) {
	for end := time.Now().Add(limit); !cond(); {
		if time.Now().After(end) {
			s.errorf("not in time: %s", what)
		}
		if s.failed {
			return
		}
		s.run(sampleInterval)
	}
}

// settled reports whether every partition has one owner that leads, and all nodes
// agree and are fresh.
func (s *sim) settled() bool {
	owners := map[string]int{}
	nodes := s.running()
	var head api.Head
	for _, n := range nodes {
		head = api.Head{ConfigVersion: max(head.ConfigVersion, n.r.Head().ConfigVersion), KeyRevision: max(head.KeyRevision, n.r.Head().KeyRevision)}
	}
	for _, n := range nodes {
		if n.r.Fresh() != nil || n.m.Lead() != nil || len(n.m.Members()) != len(nodes) || n.r.Head() != head {
			return false
		}
		for _, l := range n.o.Held() {
			owners[l.Partition]++
			for _, other := range nodes {
				if seen, ok := other.o.Owner(l.Partition); !ok || seen.Epoch != l.Epoch {
					return false
				}
			}
		}
	}
	want := partitionsOf(nodes[0].r.Snapshot())
	for _, p := range want {
		if owners[p] != 1 {
			return false
		}
	}
	return len(owners) == len(want)
}

// cluster starts n nodes, waits until they work together, and calls test. All
// nodes are ended afterwards.
func cluster(t *testing.T, seed int64, n int, test func(s *sim, nodes []*simNode)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, seed)
		var nodes []*simNode
		for i := range n {
			nodes = append(nodes, s.startNode(fmt.Sprintf("node-%d", i+1)))
		}
		s.until("the first nodes work together", 15*time.Second, s.settled)
		s.run(3 * time.Second)
		if !s.failed {
			test(s, nodes)
		}
		s.mu.Lock()
		var all []*simNode
		for _, n := range s.nodes {
			all = append(all, n)
		}
		s.mu.Unlock()
		for _, n := range all {
			n.kill()
		}
		time.Sleep(20 * time.Second) // late writes arrive
	})
}

// TestRandomFaults guards every invariant against pauses, lost answers, late
// writes, cut links, outages, kills and restarts in any combination, and that the
// cell recovers once they end.
func TestRandomFaults(t *testing.T) {
	seed := *seedFlag
	if seed == 0 {
		seed = time.Now().UnixNano()
	}
	for i := range *runsFlag {
		seed := seed + int64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			cluster(t, seed, 4, func(s *sim, nodes []*simNode) {
				for range 40 {
					s.fault()
					s.run(s.rand.duration(3 * time.Second))
				}
				s.heal()
				s.until("the cell recovers", 40*time.Second, s.settled)
			})
		})
	}
}

// fault does one random thing.
func (s *sim) fault() {
	n := s.nodes[fmt.Sprintf("node-%d:7000", 1+s.rand.intn(4))]
	other := s.nodes[fmt.Sprintf("node-%d:7000", 1+s.rand.intn(4))]
	switch s.rand.intn(12) {
	case 0:
		n.storeCut.Store(!n.storeCut.Load())
	case 1, 2:
		if n != other {
			s.cut(n.addr, other.addr, !s.isCut(n.addr, other.addr))
		}
	case 3:
		n.setPaused(!n.paused())
	case 4:
		if !n.dead.Load() {
			n.kill()
		}
		s.startNode(n.name)
	case 5:
		s.outage.Store(!s.outage.Load())
	case 6:
		s.lossy.Store(!s.lossy.Load())
	case 7:
		s.heal()
	case 8, 9:
		s.grantAndWithdraw(n)
	default:
		s.apply(n)
	}
}

// heal ends all faults.
func (s *sim) heal() {
	s.mu.Lock()
	clear(s.cuts)
	var all []*simNode
	for _, n := range s.nodes {
		all = append(all, n)
	}
	s.mu.Unlock()
	s.outage.Store(false)
	s.lossy.Store(false)
	for _, n := range all {
		n.storeCut.Store(false)
		n.setPaused(false)
	}
}

// apply makes a change of the configuration in the background.
func (s *sim) apply(n *simNode) {
	go func() {
		base := n.r.Head().ConfigVersion
		doc := &api.Configuration{Cell: fmt.Sprintf("cell-%d", s.rand.intn(1000))}
		_, _ = n.r.Apply(context.Background(), base, doc, "operator") // any result; the invariants are checked
	}()
}

// grantAndWithdraw grants a key and withdraws it at once. From the accepted
// withdrawal on nobody may honour it.
func (s *sim) grantAndWithdraw(n *simNode) {
	go func() {
		ctx := context.Background()
		k, secret, _, err := n.r.Grant(ctx, api.RoleCaller, simTeam)
		if err != nil {
			return
		}
		res, err := n.r.Withdraw(ctx, k.Id)
		if err != nil || !res.Confirmed {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.limits[secret] = time.Now()
	}()
}

// TestIsolatedNode guards against an isolated node that goes on serving or
// leading: it stops within 4 s, its partitions move, and it rejoins with a new
// incarnation once it is connected again.
func TestIsolatedNode(t *testing.T) {
	cluster(t, 1, 3, func(s *sim, nodes []*simNode) {
		n := nodes[0]
		old := n.m.Self().Incarnation
		n.storeCut.Store(true)
		s.cut(n.addr, nodes[1].addr, true)
		s.cut(n.addr, nodes[2].addr, true)
		s.run(4 * time.Second)
		if !errkind.Is(n.r.Fresh(), errkind.NodeNotFresh) || n.m.Lead() == nil {
			s.errorf("isolated for 4 s: fresh %v, lead %v", n.r.Fresh(), n.m.Lead())
		}
		s.until("the others exclude the isolated node", 10*time.Second, func() bool {
			return nodes[1].m.Excluded(old) && nodes[2].m.Excluded(old)
		})
		s.heal()
		s.until("the node rejoins", 15*time.Second, s.settled)
		if n.m.Self().Incarnation == old {
			s.errorf("the incarnation %s goes on after its session expired", old)
		}
	})
}

// TestOutageForAll guards against a table outage for all that stops work: every
// node stays fresh and leads through it, and no session is lost after it.
func TestOutageForAll(t *testing.T) {
	cluster(t, 2, 4, func(s *sim, nodes []*simNode) {
		epochs := len(s.epochs)
		gone := nodes[3]
		s.outage.Store(true)
		always := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end) && !s.failed; {
				for _, n := range s.running() {
					if n.r.Fresh() != nil || n.m.Lead() != nil {
						s.errorf("%s: fresh %v, lead %v", n.name, n.r.Fresh(), n.m.Lead())
					}
				}
				s.run(sampleInterval)
			}
		}
		always(30 * time.Second)
		gone.kill() // its address refuses connections, so nobody waits for it
		always(30 * time.Second)
		s.outage.Store(false)
		always(3 * time.Second)
		if got := len(s.epochs); got != epochs {
			s.errorf("%d partitions were claimed anew after the outage", got-epochs)
		}
	})
}

// TestStoreCutForOne guards against a node without the table that leads on, and
// against one that turns stale although its peers can read the table.
func TestStoreCutForOne(t *testing.T) {
	cluster(t, 3, 3, func(s *sim, nodes []*simNode) {
		n := nodes[0]
		n.storeCut.Store(true)
		s.run(4 * time.Second)
		if n.m.Lead() == nil {
			s.errorf("leads without the table")
		}
		for range 100 {
			if err := n.r.Fresh(); err != nil {
				s.errorf("stale although peers are fresh: %v", err)
			}
			s.run(100 * time.Millisecond)
		}
		s.until("its partitions move", time.Second, func() bool { return len(n.o.Held()) == 0 })
	})
}

// TestPausedOwner guards against an owner that resumes after its row was expired
// and goes on with the old incarnation.
func TestPausedOwner(t *testing.T) {
	cluster(t, 4, 3, func(s *sim, nodes []*simNode) {
		n := nodes[0]
		old := n.m.Self().Incarnation
		n.setPaused(true)
		s.run(10 * time.Second)
		n.setPaused(false)
		if n.m.Lead() == nil {
			s.errorf("leads right after a pause of 10 s")
		}
		s.until("the node gives up and rejoins", 10*time.Second, func() bool {
			return n.m.Self().Incarnation != old && s.settled()
		})
	})
}

// TestPlannedStop guards against a planned stop that leaves partitions without an
// owner until a session expires.
func TestPlannedStop(t *testing.T) {
	cluster(t, 5, 3, func(s *sim, nodes []*simNode) {
		n := nodes[0]
		stopped := time.Now()
		n.m.Leave(context.Background())
		n.o.Stop(context.Background())
		if err := n.m.Release(context.Background()); err != nil {
			s.errorf("release: %v", err)
		}
		n.kill()
		s.until("the partitions move", 3*time.Second, s.settled)
		t.Logf("moved within %s", time.Since(stopped))
	})
}

// TestUnconfirmedChange guards against a change that is reported as confirmed
// while a node that may still serve callers has not got it.
func TestUnconfirmedChange(t *testing.T) {
	cluster(t, 6, 3, func(s *sim, nodes []*simNode) {
		nodes[2].setPaused(true) // resumes with a view that is out of date
		start := time.Now()
		res, err := nodes[0].r.Apply(context.Background(), 0, &api.Configuration{Cell: "a"}, "operator")
		if err != nil || !res.Confirmed {
			s.errorf("apply: %+v, %v", res, err)
		}
		if d := time.Since(start); d < 4*time.Second || d > 7*time.Second {
			s.errorf("confirmed after %s without the paused node", d)
		}
		if _, err := nodes[1].r.Apply(context.Background(), 0, &api.Configuration{Cell: "b"}, "operator"); !errkind.Is(err, errkind.VersionConflict) {
			s.errorf("second apply from the same base: %v", err)
		}
		if res, err := nodes[1].r.Apply(context.Background(), 0, &api.Configuration{Cell: "a"}, "operator"); err != nil || res.Version != 1 {
			s.errorf("repeated apply: %+v, %v", res, err)
		}
		nodes[2].setPaused(false)
		if nodes[2].r.Fresh() == nil {
			s.errorf("fresh right after the pause")
		}
		s.until("the node catches up", 10*time.Second, s.settled)
	})
}

// TestPeersCutForOne guards against partitions that stay with an owner that no
// other node reaches, because it still writes its session: each request handed in
// at another node would wait for its deadline.
func TestPeersCutForOne(t *testing.T) {
	cluster(t, 7, 3, func(s *sim, nodes []*simNode) {
		n := nodes[0]
		s.cut(n.addr, nodes[1].addr, true)
		s.cut(n.addr, nodes[2].addr, true)
		moved := func() bool {
			return len(n.o.Held()) == 0 && len(nodes[1].o.Held())+len(nodes[2].o.Held()) == len(partitionsOf(n.r.Snapshot()))
		}
		s.until("its partitions move", 6*time.Second, moved)
		epochs := len(s.epochs)
		s.run(30 * time.Second)
		if !moved() || len(s.epochs) != epochs {
			s.errorf("%d partitions moved again during the cut", len(s.epochs)-epochs)
		}
		s.heal()
		s.until("the node takes part again", 5*time.Second, s.settled)
	})
}

// TestCutBetweenTwo guards against partitions that move to and fro between two
// nodes that do not hear each other.
func TestCutBetweenTwo(t *testing.T) {
	cluster(t, 8, 2, func(s *sim, nodes []*simNode) {
		s.cut(nodes[0].addr, nodes[1].addr, true)
		s.run(10 * time.Second)
		epochs := len(s.epochs)
		s.run(30 * time.Second)
		if got := len(s.epochs) - epochs; got > 0 {
			s.errorf("%d partitions were claimed anew during the cut", got)
		}
		s.heal()
		s.until("the nodes work together again", 10*time.Second, s.settled)
	})
}

// TestSurvivorOfTwo guards against a survivor that counts as isolated and leaves
// its partitions to a node that was killed.
func TestSurvivorOfTwo(t *testing.T) {
	for seed := range int64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			cluster(t, seed, 2, func(s *sim, nodes []*simNode) {
				s.run(time.Duration(seed) * sampleInterval)
				nodes[1].setPaused(true)
				for range 200 {
					if len(nodes[0].o.Held()) == 0 {
						s.errorf("the survivor gave its partitions up")
						return
					}
					s.run(sampleInterval)
				}
			})
		})
	}
}
