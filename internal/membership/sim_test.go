package membership_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/membership"
	"github.com/endivehill/endivehill/internal/ownership"
	"github.com/endivehill/endivehill/internal/quota"
	"github.com/endivehill/endivehill/internal/registry"
	"github.com/endivehill/endivehill/internal/standin"
)

// sim runs a cell of nodes in one synctest bubble: the real packages with a table and
// a network that inject faults, in simulated time.
type sim struct {
	t           *testing.T
	rand        *simRand
	start       time.Time
	table       *standin.Table
	outage      atomic.Bool // the table is unreachable for all nodes
	loseAnswers atomic.Bool // answers of the table get lost

	mu          sync.Mutex
	nodes       map[string]*simNode  // by address, the present process
	cuts        map[[2]string]bool   // cut links between addresses, both ways
	epochs      map[string]string    // partition/epoch -> incarnation that acquired it
	withdrawnAt map[string]time.Time // by secret, when its withdrawal was confirmed
	failed      bool
}

const simTeam = "gallery"

var simLimit = api.Resources{CpuMillis: 64000, Slots: 40}

func newSim(t *testing.T, seed int64) *sim {
	t.Logf("seed %d", seed)
	return &sim{
		t: t, rand: &simRand{source: rand.New(rand.NewSource(seed))}, start: time.Now().Add(-time.Hour),
		table: standin.NewTable(), nodes: map[string]*simNode{}, cuts: map[[2]string]bool{},
		epochs: map[string]string{}, withdrawnAt: map[string]time.Time{},
	}
}

// Now and Boot implement clock.Clock for all nodes.
func (s *sim) Now() time.Time      { return time.Now() }
func (s *sim) Boot() time.Duration { return time.Since(s.start) }

func (s *sim) errorf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		return // only the first failure is reported; the others follow from it
	}
	s.failed = true
	s.t.Errorf("at %s: "+format, append([]any{s.Boot() - time.Hour}, args...)...)
}

// simNode is one process of a node; a restarted node is another simNode.
type simNode struct {
	sim        *sim
	name, addr string
	membership *membership.Membership
	ownership  *ownership.Ownership
	registry   *registry.Registry
	quota      *quota.Manager
	cancel     context.CancelFunc
	done       sync.WaitGroup

	dead, storeCut       atomic.Bool
	mu                   sync.Mutex
	resume               chan struct{} // not nil while paused
	runners              []*simRunner
	configSeen, keysSeen int64 // newest versions that were in force
}

// startNode starts a process of a node without waiting for it to join.
func (s *sim) startNode(name string) *simNode {
	n := &simNode{sim: s, name: name, addr: name + ":7000"}
	table := &simTable{node: n, shared: s.table}
	var logger log.Logger
	if testing.Verbose() {
		logger = log.LoggerFunc(func(kv ...any) error { s.t.Log(append([]any{s.Boot() - time.Hour, name}, kv...)...); return nil })
	}
	n.membership = membership.New(membership.Options{
		Self:  api.Member{Node: name, PeerAddress: n.addr},
		Table: table, Caller: n, Clock: s, Logger: logger,
	})
	var err error
	n.registry, err = registry.New(registry.Options{Table: table, Membership: n.membership, Caller: n, Clock: s, Logger: logger})
	if err != nil {
		s.t.Fatal(err)
	}
	n.ownership = ownership.New(ownership.Options{
		Table: table, Membership: n.membership, Clock: s, Logger: logger, NewRunner: n.newRunner,
		Partitions: func() ([]string, bool) { return partitionsOf(n.registry.Snapshot()), true },
	})
	n.quota = quota.NewManager(quota.Options{
		Table: table, Clock: s, Logger: logger, Unowned: n.ownership.Unowned,
		Limit: func(string) api.Resources { return simLimit },
	})
	n.membership.SetPingSources(n.registry, n)
	n.membership.AddPingObserver(n.registry)
	n.membership.AddPingObserver(n.ownership)
	n.membership.OnLost(n.ownership.DropAll)
	n.membership.OnChange(n.ownership.Wake)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	s.mu.Lock()
	s.nodes[n.addr] = n
	s.mu.Unlock()
	for _, run := range []func(context.Context){n.membership.Run, n.registry.Run, n.ownership.Run, n.quota.Run, n.useAllotments} {
		n.done.Add(1)
		go func() { defer n.done.Done(); run(ctx) }()
	}
	return n
}

var simPartitions = []string{"bench-executors-1", "desk-executors-1", "desk-executors-2", "desk-executors-3", "desk-workers"}

// partitionsOf returns the partitions of a configuration. Odd versions lack the first, so
// that each new version removes or adds a partition.
func partitionsOf(s *registry.Snapshot) []string {
	return simPartitions[s.ConfigVersion%2:]
}

// kill ends the process at once.
func (n *simNode) kill() {
	n.setPaused(false)
	n.dead.Store(true)
	n.cancel()
	n.done.Wait()
	n.ownership.DropAll() // ends the goroutines; the table no longer accepts writes of this process
}

func (n *simNode) setPaused(p bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case p && n.resume == nil:
		n.resume = make(chan struct{})
	case !p && n.resume != nil:
		close(n.resume)
		n.resume = nil
	}
}

func (n *simNode) paused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resume != nil
}

// waitWhilePaused blocks while the process is paused.
func (n *simNode) waitWhilePaused() {
	n.mu.Lock()
	resume := n.resume
	n.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

func (s *sim) cut(a, b string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[[2]string{a, b}], s.cuts[[2]string{b, a}] = on, on
}

func (s *sim) isCut(a, b string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts[[2]string{a, b}]
}

// Call implements wire.Caller.
func (n *simNode) Call(ctx context.Context, addr string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	s := n.sim
	n.waitWhilePaused()
	payload, err := in.MarshalMsg(nil)
	if err != nil {
		return err
	}
	s.mu.Lock()
	to := s.nodes[addr]
	s.mu.Unlock()
	lost := func() error { <-ctx.Done(); return errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "", "lost") }
	if s.isCut(n.addr, addr) || n.dead.Load() {
		return lost()
	}
	if to == nil || to.dead.Load() {
		return errkind.Wrap(syscall.ECONNREFUSED, errkind.OwnerUnavailable, "", "connect to %s", addr)
	}
	answers := make(chan msgp.Marshaler, 1)
	go func() { // runs at the other node, also after the caller has timed out
		time.Sleep(s.rand.duration(3 * time.Millisecond))
		to.waitWhilePaused()
		handler := to.membership.HandlePing
		if method == api.MethodRegistryUpdate {
			handler = to.registry.HandleUpdate
		}
		answer, err := handler(context.Background(), payload)
		if err == nil && !to.dead.Load() {
			answers <- answer
		}
	}()
	select {
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "", "no answer")
	case answer := <-answers:
		time.Sleep(s.rand.duration(3 * time.Millisecond))
		n.waitWhilePaused()
		if s.isCut(n.addr, addr) {
			return lost()
		}
		body, err := answer.MarshalMsg(nil)
		if err != nil {
			return err
		}
		_, err = out.UnmarshalMsg(body)
		return err
	}
}

// Loads implements membership.LoadSource.
func (n *simNode) Loads() []api.PartitionLoad {
	var out []api.PartitionLoad
	for _, l := range n.ownership.Held() {
		out = append(out, api.PartitionLoad{Partition: l.Partition, Epoch: l.Epoch})
	}
	return out
}

// simRunner uses allotments and records the leases that it acquires.
type simRunner struct {
	node   *simNode
	mu     sync.Mutex
	lease  api.PartitionLease
	active bool
	ledger quota.Ledger
	used   api.Resources
}

func (n *simNode) newRunner(string) ownership.PartitionRunner {
	r := &simRunner{node: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runners = append(n.runners, r)
	return r
}

// Acquire checks that no epoch of a partition is acquired twice.
func (r *simRunner) Acquire(lease api.PartitionLease) {
	s := r.node.sim
	key := fmt.Sprintf("%s/%d", lease.Partition, lease.Epoch)
	s.mu.Lock()
	other, taken := s.epochs[key]
	s.epochs[key] = lease.Incarnation
	s.mu.Unlock()
	if taken {
		s.errorf("epoch %s acquired by %s and %s", key, other, lease.Incarnation)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.active = lease, true
	r.ledger = r.node.quota.OpenLedger(lease)
	r.used = api.Resources{}
}

func (r *simRunner) Release(ctx context.Context) {
	_ = wait(ctx, r.node.sim.rand.duration(500*time.Millisecond))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active = false
	r.node.quota.CloseLedger(r.lease.Partition, r.lease.Epoch)
}

// state returns the lease and whether the runner holds it.
func (r *simRunner) state() (api.PartitionLease, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease, r.active
}

// useAllotment uses a random part of the allotment and demands a random amount.
func (r *simRunner) useAllotment() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.active {
		return
	}
	random := r.node.sim.rand
	held := r.ledger.Allotment(simTeam)
	r.used = api.Resources{CpuMillis: random.intn(held.CpuMillis + 1), Slots: random.intn(held.Slots + 1)}
	r.ledger.ReportDemand(simTeam, r.used, api.Resources{CpuMillis: random.intn(40000), Slots: random.intn(25)})
}

func (n *simNode) allRunners() []*simRunner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*simRunner(nil), n.runners...)
}

// useAllotments makes the runners use their allotments until ctx ends.
func (n *simNode) useAllotments(ctx context.Context) {
	for wait(ctx, 150*time.Millisecond) == nil {
		n.waitWhilePaused()
		for _, r := range n.allRunners() {
			r.useAllotment()
		}
	}
}

// running returns the processes that are neither killed nor paused.
func (s *sim) running() []*simNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*simNode
	for _, n := range s.nodes {
		if !n.dead.Load() && !n.paused() {
			out = append(out, n)
		}
	}
	return out
}
