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

// checkFor checks the invariants at each sampleInterval for d.
func (s *sim) checkFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && !s.failed; {
		time.Sleep(sampleInterval)
		s.checkInvariants()
	}
}

// waitFor checks the invariants until cond holds, and fails after limit.
func (s *sim) waitFor(what string, limit time.Duration, cond func() bool) {
	for end := time.Now().Add(limit); !cond(); {
		if time.Now().After(end) {
			s.errorf("not in time: %s", what)
		}
		if s.failed {
			return
		}
		s.checkFor(sampleInterval)
	}
}

// converged reports whether every partition has one owner that leads, and all nodes are
// fresh and agree on the owners and the head.
func (s *sim) converged() bool {
	owners := map[string]int{}
	nodes := s.running()
	var head api.Head
	for _, n := range nodes {
		head = api.Head{ConfigVersion: max(head.ConfigVersion, n.registry.Head().ConfigVersion), KeyRevision: max(head.KeyRevision, n.registry.Head().KeyRevision)}
	}
	for _, n := range nodes {
		if n.registry.CheckFresh() != nil || n.membership.CheckLead() != nil || len(n.membership.Members()) != len(nodes) || n.registry.Head() != head {
			return false
		}
		for _, l := range n.ownership.Held() {
			owners[l.Partition]++
			for _, other := range nodes {
				if seen, ok := other.ownership.Owner(l.Partition); !ok || seen.Epoch != l.Epoch {
					return false
				}
			}
		}
	}
	want := partitionsOf(nodes[0].registry.Snapshot())
	for _, p := range want {
		if owners[p] != 1 {
			return false
		}
	}
	return len(owners) == len(want)
}

// withCluster starts n nodes, waits until they converge, and calls test. All nodes are
// killed afterwards.
func withCluster(t *testing.T, seed int64, n int, test func(s *sim, nodes []*simNode)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSim(t, seed)
		var nodes []*simNode
		for i := range n {
			nodes = append(nodes, s.startNode(fmt.Sprintf("node-%d", i+1)))
		}
		s.waitFor("the nodes converge after the start", 15*time.Second, s.converged)
		s.checkFor(3 * time.Second)
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
		time.Sleep(20 * time.Second) // until late writes have been applied
	})
}

// TestRandomFaults guards against invariants that do not hold, and a cell that does not
// recover, under pauses, lost answers, late writes, cut links, outages, kills and
// restarts in any combination.
func TestRandomFaults(t *testing.T) {
	seed := *seedFlag
	if seed == 0 {
		seed = time.Now().UnixNano()
	}
	for i := range *runsFlag {
		seed := seed + int64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			withCluster(t, seed, 4, func(s *sim, nodes []*simNode) {
				for range 40 {
					s.injectFault()
					s.checkFor(s.rand.duration(3 * time.Second))
				}
				s.heal()
				s.waitFor("the cell recovers", 40*time.Second, s.converged)
			})
		})
	}
}

// injectFault starts or ends one random fault, or makes a change.
func (s *sim) injectFault() {
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
		s.loseAnswers.Store(!s.loseAnswers.Load())
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
	s.loseAnswers.Store(false)
	for _, n := range all {
		n.storeCut.Store(false)
		n.setPaused(false)
	}
}

// apply applies a configuration in the background.
func (s *sim) apply(n *simNode) {
	go func() {
		base := n.registry.Head().ConfigVersion
		doc := &api.Configuration{Cell: fmt.Sprintf("cell-%d", s.rand.intn(1000))}
		_, _ = n.registry.Apply(context.Background(), base, doc, "operator") // any result is allowed; the invariants are checked
	}()
}

// grantAndWithdraw grants a key and withdraws it at once. Once the withdrawal is
// confirmed, no node may accept the key.
func (s *sim) grantAndWithdraw(n *simNode) {
	go func() {
		ctx := context.Background()
		k, secret, _, err := n.registry.Grant(ctx, api.RoleCaller, simTeam)
		if err != nil {
			return
		}
		res, err := n.registry.Withdraw(ctx, k.Id)
		if err != nil || !res.Confirmed {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.withdrawnAt[secret] = time.Now()
	}()
}

// TestIsolatedNode guards against a node that still serves or leads although it reaches
// neither the table nor a peer: it stops within 4 s, its partitions move, and it
// rejoins with a new incarnation once it is connected again.
func TestIsolatedNode(t *testing.T) {
	withCluster(t, 1, 3, func(s *sim, nodes []*simNode) {
		n := nodes[0]
		old := n.membership.Self().Incarnation
		n.storeCut.Store(true)
		s.cut(n.addr, nodes[1].addr, true)
		s.cut(n.addr, nodes[2].addr, true)
		s.checkFor(4 * time.Second)
		if !errkind.Is(n.registry.CheckFresh(), errkind.NodeNotFresh) || n.membership.CheckLead() == nil {
			s.errorf("isolated for 4 s: CheckFresh: %v, CheckLead: %v", n.registry.CheckFresh(), n.membership.CheckLead())
		}
		s.waitFor("the others exclude the isolated node", 10*time.Second, func() bool {
			return nodes[1].membership.CannotLead(old) && nodes[2].membership.CannotLead(old)
		})
		s.heal()
		s.waitFor("the node rejoins", 15*time.Second, s.converged)
		if n.membership.Self().Incarnation == old {
			s.errorf("the incarnation %s is still in use after its session expired", old)
		}
	})
}

// TestCellWideOutage guards against a cell-wide outage of the table that stops work:
// every node stays fresh and leads during the outage, and no session is lost after it.
func TestCellWideOutage(t *testing.T) {
	withCluster(t, 2, 4, func(s *sim, nodes []*simNode) {
		epochs := len(s.epochs)
		killed := nodes[3]
		s.outage.Store(true)
		requireLeadFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end) && !s.failed; {
				for _, n := range s.running() {
					if n.registry.CheckFresh() != nil || n.membership.CheckLead() != nil {
						s.errorf("%s: CheckFresh: %v, CheckLead: %v", n.name, n.registry.CheckFresh(), n.membership.CheckLead())
					}
				}
				s.checkFor(sampleInterval)
			}
		}
		requireLeadFor(30 * time.Second)
		killed.kill() // its address refuses connections, so no node waits for it
		requireLeadFor(30 * time.Second)
		s.outage.Store(false)
		requireLeadFor(3 * time.Second)
		if got := len(s.epochs); got != epochs {
			s.errorf("%d partitions were claimed anew after the outage", got-epochs)
		}
	})
}

// TestStoreUnreachableForOneNode guards against a node that still leads although only
// this node cannot reach the table, and against a node whose view becomes stale although
// its peers can read the table.
func TestStoreUnreachableForOneNode(t *testing.T) {
	withCluster(t, 3, 3, func(s *sim, nodes []*simNode) {
		n := nodes[0]
		n.storeCut.Store(true)
		s.checkFor(4 * time.Second)
		if n.membership.CheckLead() == nil {
			s.errorf("leads without the table")
		}
		for range 100 {
			if err := n.registry.CheckFresh(); err != nil {
				s.errorf("stale although peers are fresh: %v", err)
			}
			s.checkFor(100 * time.Millisecond)
		}
		s.waitFor("its partitions move", time.Second, func() bool { return len(n.ownership.Held()) == 0 })
	})
}

// TestPausedOwner guards against an owner that keeps its old incarnation when it
// resumes after its session was marked as expired.
func TestPausedOwner(t *testing.T) {
	withCluster(t, 4, 3, func(s *sim, nodes []*simNode) {
		n := nodes[0]
		old := n.membership.Self().Incarnation
		n.setPaused(true)
		s.checkFor(10 * time.Second)
		n.setPaused(false)
		if n.membership.CheckLead() == nil {
			s.errorf("leads right after a pause of 10 s")
		}
		s.waitFor("the node rejoins with a new incarnation", 10*time.Second, func() bool {
			return n.membership.Self().Incarnation != old && s.converged()
		})
	})
}

// TestPlannedStop guards against a planned stop that leaves partitions without an
// owner until a session expires.
func TestPlannedStop(t *testing.T) {
	withCluster(t, 5, 3, func(s *sim, nodes []*simNode) {
		n := nodes[0]
		stopped := time.Now()
		n.membership.Leave(context.Background())
		n.ownership.Stop(context.Background())
		if err := n.membership.Release(context.Background()); err != nil {
			s.errorf("release: %v", err)
		}
		n.kill()
		s.waitFor("the partitions move", 3*time.Second, s.converged)
		t.Logf("moved within %s", time.Since(stopped))
	})
}

// TestUnconfirmedChange guards against a change that is reported as confirmed while a
// node that may still serve callers does not have the change.
func TestUnconfirmedChange(t *testing.T) {
	withCluster(t, 6, 3, func(s *sim, nodes []*simNode) {
		nodes[2].setPaused(true) // resumes with a stale view
		start := time.Now()
		res, err := nodes[0].registry.Apply(context.Background(), 0, &api.Configuration{Cell: "a"}, "operator")
		if err != nil || !res.Confirmed {
			s.errorf("apply: %+v, %v", res, err)
		}
		if d := time.Since(start); d < 4*time.Second || d > 7*time.Second {
			s.errorf("confirmed after %s without the paused node", d)
		}
		if _, err := nodes[1].registry.Apply(context.Background(), 0, &api.Configuration{Cell: "b"}, "operator"); !errkind.Is(err, errkind.VersionConflict) {
			s.errorf("second apply from the same base: %v", err)
		}
		if res, err := nodes[1].registry.Apply(context.Background(), 0, &api.Configuration{Cell: "a"}, "operator"); err != nil || res.Version != 1 {
			s.errorf("repeated apply: %+v, %v", res, err)
		}
		nodes[2].setPaused(false)
		if nodes[2].registry.CheckFresh() == nil {
			s.errorf("fresh right after the pause")
		}
		s.waitFor("the node catches up", 10*time.Second, s.converged)
	})
}

// TestPeersUnreachableForOneNode guards against partitions that stay with an owner that
// no other node reaches but that still writes its session: a request submitted at
// another node would wait until its deadline.
func TestPeersUnreachableForOneNode(t *testing.T) {
	withCluster(t, 7, 3, func(s *sim, nodes []*simNode) {
		n := nodes[0]
		s.cut(n.addr, nodes[1].addr, true)
		s.cut(n.addr, nodes[2].addr, true)
		moved := func() bool {
			return len(n.ownership.Held()) == 0 && len(nodes[1].ownership.Held())+len(nodes[2].ownership.Held()) == len(partitionsOf(n.registry.Snapshot()))
		}
		s.waitFor("its partitions move", 6*time.Second, moved)
		epochs := len(s.epochs)
		s.checkFor(30 * time.Second)
		if !moved() || len(s.epochs) != epochs {
			s.errorf("%d partitions moved again during the cut", len(s.epochs)-epochs)
		}
		s.heal()
		s.waitFor("the node rejoins the others", 5*time.Second, s.converged)
	})
}

// TestCutBetweenTwo guards against partitions that move back and forth between two
// nodes that cannot reach each other.
func TestCutBetweenTwo(t *testing.T) {
	withCluster(t, 8, 2, func(s *sim, nodes []*simNode) {
		s.cut(nodes[0].addr, nodes[1].addr, true)
		s.checkFor(10 * time.Second)
		epochs := len(s.epochs)
		s.checkFor(30 * time.Second)
		if got := len(s.epochs) - epochs; got > 0 {
			s.errorf("%d partitions were claimed anew during the cut", got)
		}
		s.heal()
		s.waitFor("the nodes converge again", 10*time.Second, s.converged)
	})
}

// TestSurvivorOfTwo guards against a node that counts as isolated, and releases its
// partitions, because the only other node has stopped running. The other node stops at
// different times relative to its last heartbeat and ping.
func TestSurvivorOfTwo(t *testing.T) {
	for seed := range int64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			withCluster(t, seed, 2, func(s *sim, nodes []*simNode) {
				s.checkFor(time.Duration(seed) * sampleInterval)
				nodes[1].setPaused(true)
				for range 200 {
					if len(nodes[0].ownership.Held()) == 0 {
						s.errorf("the survivor released its partitions")
						return
					}
					s.checkFor(sampleInterval)
				}
			})
		})
	}
}
