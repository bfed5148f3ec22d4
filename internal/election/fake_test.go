package election

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/rows"
)

// fakeStore is a table service that stores only the ownership row.
type fakeStore struct {
	clock             clock.Clock // the monotonic clock of the service; nil for none
	mu                sync.Mutex
	row               *rows.Row
	version           int64
	down              bool
	failing           bool                     // calls fail, and whether a commit was applied is unknown
	failingSince      time.Duration            // boot time
	failedCalls       int                      // in outages
	unreachableFrom   map[string]bool          // nodes that get no answer
	cutAt             map[string]time.Duration // boot time since which a node gets no answer
	unansweredCommits int                      // number of commits to apply without an answer
}

// failedCallTime is the time after which a call fails in an outage.
const failedCallTime = 5 * time.Millisecond

var errNoAnswer = errors.New("no answer")

func (s *fakeStore) Commit(_ context.Context, tx *rows.Tx) (rows.Timestamp, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return rows.Timestamp{}, rows.ErrUnavailable
	}
	timestamp, err := s.apply(tx)
	if err == nil && s.unansweredCommits > 0 {
		s.unansweredCommits--
		return rows.Timestamp{}, errNoAnswer
	}
	return timestamp, err
}

func (s *fakeStore) apply(tx *rows.Tx) (rows.Timestamp, error) {
	for _, e := range tx.Preconditions {
		var have int64
		if s.row != nil {
			have = s.row.Version
		}
		if e.Version != have {
			conflict := &rows.ConflictError{}
			if s.row != nil {
				conflict.Rows = []rows.Row{*s.row}
			}
			return rows.Timestamp{}, conflict
		}
	}
	s.version++
	for _, p := range tx.Put {
		p.Version = s.version
		s.row = &p
	}
	return s.timestamp(), nil
}

// timestamp returns the version and the time now. mu is held.
func (s *fakeStore) timestamp() rows.Timestamp {
	out := rows.Timestamp{Version: s.version}
	if s.clock != nil {
		out.Clock = time.Hour + s.clock.Boot()
	}
	return out
}

func (s *fakeStore) Range(context.Context, string, string, string) (rows.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return rows.Page{}, rows.ErrUnavailable
	}
	page := rows.Page{Timestamp: s.timestamp()}
	if s.row != nil {
		page.Rows = []rows.Row{*s.row}
	}
	return page, nil
}

func (s *fakeStore) Feed(context.Context, string, int64, time.Duration) (rows.Page, error) {
	return rows.Page{}, rows.ErrCompacted
}

// nodeStore is the connection of one node to the table service.
type nodeStore struct {
	*fakeStore
	node string
}

func (s nodeStore) cut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreachableFrom[s.node]
}

func (s nodeStore) Commit(ctx context.Context, tx *rows.Tx) (rows.Timestamp, error) {
	if s.cut() {
		<-ctx.Done()
		return rows.Timestamp{}, ctx.Err()
	}
	if s.fails() {
		return rows.Timestamp{}, errNoAnswer
	}
	return s.fakeStore.Commit(ctx, tx)
}

func (s nodeStore) Range(ctx context.Context, table, from, to string) (rows.Page, error) {
	if s.cut() {
		<-ctx.Done()
		return rows.Page{}, ctx.Err()
	}
	if s.fails() {
		return rows.Page{}, errNoAnswer
	}
	return s.fakeStore.Range(ctx, table, from, to)
}

// setFailing starts or ends an outage of the store for all nodes.
func (s *fakeStore) setFailing(failing bool, c clock.Clock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing, s.failingSince = failing, c.Boot()
}

// fails reports whether there is an outage, after the time that a failed call takes.
func (s *fakeStore) fails() bool {
	s.mu.Lock()
	failing := s.failing
	if failing {
		s.failedCalls++
	}
	s.mu.Unlock()
	if failing {
		time.Sleep(failedCallTime)
	}
	return failing
}

// lastAnswerTo returns the boot time of the last answer of the store to a node; 0 if it is
// not known.
func (s *fakeStore) lastAnswerTo(node string, c clock.Clock) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachableFrom[node] {
		return s.cutAt[node]
	}
	if s.failing {
		return s.failingSince
	}
	return c.Boot()
}

// fakeNet connects agents in one process.
type fakeNet struct {
	mu     sync.Mutex
	agents map[string]*Agent
	dead   map[string]bool          // nodes that refuse connections
	cut    map[[2]string]bool       // calls from the first to the second node get lost
	silent map[[2]string]bool       // the same, until the first node reports an unanswered ping
	delay  map[string]time.Duration // of the calls of a node
	// refused holds the pairs of live nodes between which connections are refused.
	refused map[[2]string]bool
}

// refuse makes calls between two live nodes fail as if no process listened.
func (n *fakeNet) refuse(one, other string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[[2]string{one, other}] = true
	n.refused[[2]string{other, one}] = true
}

type fakeCaller struct {
	net  *fakeNet
	from string
}

func (c fakeCaller) Call(ctx context.Context, addr string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	c.net.mu.Lock()
	link := [2]string{c.from, addr}
	target, dead, cut := c.net.agents[addr], c.net.dead[addr] || c.net.refused[link], c.net.cut[link] || c.net.silent[link]
	delay := c.net.delay[c.from]
	c.net.mu.Unlock()
	time.Sleep(delay)
	switch {
	case cut || target == nil && !dead:
		<-ctx.Done()
		return ctx.Err()
	case dead:
		return errors.Wrap(syscall.ECONNREFUSED, "dial")
	}
	payload, err := in.MarshalMsg(nil)
	if err != nil {
		return err
	}
	handler := target.HandlePing
	if method == api.MethodTakeOver {
		handler = target.HandleTakeOver
	}
	answer, err := handler(ctx, payload)
	if err != nil {
		return err
	}
	data, err := answer.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = out.UnmarshalMsg(data)
	return err
}

// reportUnanswered replaces a silent connection.
func (c fakeCaller) reportUnanswered(addr string) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	delete(c.net.silent, [2]string{c.from, addr})
}

// silenceAll makes all open connections between nodes silent.
func (e *election) silenceAll() {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	for from := range e.owners {
		for to := range e.owners {
			e.net.silent[[2]string{from, to}] = true
		}
	}
}

// fakeOwner commits at intervals while it owns the cell.
type fakeOwner struct {
	mu         sync.Mutex
	ownedEpoch int // 0 while the node does not own the cell
	stalled    bool
	idle       bool // commits are as rare as those of an owner without works
	loading    bool // the records are not loaded
	lag        time.Duration
	ended      chan struct{}
}

func (o *fakeOwner) Run(ctx context.Context, lease *Lease) {
	o.mu.Lock()
	o.ownedEpoch = lease.Epoch()
	o.ended = make(chan struct{})
	ended := o.ended
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		o.ownedEpoch = 0
		o.mu.Unlock()
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		o.mu.Lock()
		stalled, idle := o.stalled, o.idle
		o.mu.Unlock()
		if stalled {
			continue
		}
		if idle {
			time.Sleep(130 * time.Millisecond)
		}
		commitCtx, cancel := context.WithTimeout(ctx, fakeCommitTimeout)
		_, err := lease.Commit(commitCtx, &rows.Tx{})
		cancel()
		if errors.Is(err, ErrLost) {
			return
		}
	}
}

// fakeCommitTimeout bounds a try of a commit, so that an owner that was cut off from the store
// finds out that the cell was claimed.
const fakeCommitTimeout = 400 * time.Millisecond

func (o *fakeOwner) epoch() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ownedEpoch
}

func (o *fakeOwner) SetMembers([]string, map[string]time.Duration) {}
func (o *fakeOwner) HandOver(context.Context)                      {}

// Backlog returns one waiting work, once the records are loaded.
func (o *fakeOwner) Backlog() ([]api.QueueBacklog, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.loading {
		return nil, false
	}
	return []api.QueueBacklog{{Queue: "q", Waiting: 1}}, true
}

func (o *fakeOwner) Lag() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lag
}

func (o *fakeOwner) EndTenure(string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended != nil {
		close(o.ended)
		o.ended = nil
	}
}

// election runs several agents in one process.
type election struct {
	t      *testing.T
	clock  clock.Clock
	store  *fakeStore
	net    *fakeNet
	owners map[string]*fakeOwner
	stops  map[string]context.CancelFunc
	done   sync.WaitGroup
	output output
	load   Load // that each owner measures
}

func newElection(t *testing.T) *election {
	e := &election{
		t: t, clock: clock.System{}, store: &fakeStore{unreachableFrom: map[string]bool{}, cutAt: map[string]time.Duration{}}, owners: map[string]*fakeOwner{}, stops: map[string]context.CancelFunc{},
		net: &fakeNet{agents: map[string]*Agent{}, dead: map[string]bool{}, cut: map[[2]string]bool{}, silent: map[[2]string]bool{}, delay: map[string]time.Duration{}, refused: map[[2]string]bool{}},
	}
	t.Cleanup(func() {
		for _, stop := range e.stops {
			stop()
		}
		e.done.Wait()
		e.output.printIfFailed(t)
	})
	return e
}

// formElection returns an election of equal nodes, one of which owns the cell.
func formElection(t *testing.T, nodes int) *election {
	t.Helper()
	e := newElection(t)
	for n := range nodes {
		e.start(fmt.Sprint("n", n), 400)
	}
	e.waitFor(3*time.Second, "an owner", func() bool { return e.owner() != "" })
	return e
}

func (e *election) start(address string, cpuMillis int) *Agent {
	return e.startSized(address, Size{CPUMillis: cpuMillis})
}

func (e *election) startSized(address string, size Size) *Agent {
	c := e.clock
	owner := &fakeOwner{}
	a := NewAgent(Options{
		Holder: Holder{Node: address, Incarnation: fmt.Sprint(address, time.Now().UnixNano()), Address: address},
		Store:  nodeStore{e.store, address}, Caller: fakeCaller{e.net, address}, ReportUnanswered: fakeCaller{e.net, address}.reportUnanswered, Clock: c, Logger: e.output.logger(address, c),
		Owner: owner, CPUMillis: size.CPUMillis, LinkKbps: size.LinkKbps, MemoryMB: size.MemoryMB, MaxOpenFiles: size.MaxOpenFiles,
		Load: func() Load { return e.load }, Config: func() (int, time.Duration) { return 1, c.Boot() },
		OnOwnerConfig: func(string, int, time.Duration) {}, LastStoreAnswer: func() time.Duration { return e.store.lastAnswerTo(address, c) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	e.net.mu.Lock()
	e.net.agents[address], e.owners[address] = a, owner
	e.net.dead[address] = false
	e.net.mu.Unlock()
	e.stops[address] = cancel
	e.done.Add(1)
	go func() {
		defer e.done.Done()
		a.Run(ctx)
	}()
	return a
}

// startWithDelays starts nodes, one a millisecond, whose calls take different times to arrive.
func (e *election) startWithDelays(prefix string, nodes, cpuMillis int) {
	for n := range nodes {
		address := fmt.Sprint(prefix, n)
		e.net.mu.Lock()
		e.net.delay[address] = time.Millisecond + time.Duration(n%7)*1300*time.Microsecond
		e.net.mu.Unlock()
		e.start(address, cpuMillis)
		time.Sleep(time.Millisecond)
	}
}

// kill ends a node without a release; its address refuses connections.
func (e *election) kill(address string) {
	e.net.mu.Lock()
	e.net.dead[address] = true
	e.net.mu.Unlock()
	e.stops[address]()
}

// cutOff cuts a node off from all others and from the store.
func (e *election) cutOff(address string) { e.setCut(address, true) }

func (e *election) reconnect(address string) { e.setCut(address, false) }

func (e *election) setCut(address string, cut bool) {
	e.net.mu.Lock()
	for other := range e.owners {
		e.net.cut[[2]string{address, other}] = cut
		e.net.cut[[2]string{other, address}] = cut
	}
	e.net.mu.Unlock()
	e.setStoreCut(address, cut)
}

func (e *election) setStoreCut(address string, cut bool) {
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.store.unreachableFrom[address], e.store.cutAt[address] = cut, e.clock.Boot()
}

// others returns the addresses of the nodes except one, in order.
func (e *election) others(except string) []string {
	all := slices.Sorted(maps.Keys(e.owners))
	return slices.DeleteFunc(all, func(address string) bool { return address == except })
}

// owner returns the address of the node that owns the cell; empty for none.
func (e *election) owner() string {
	best, epoch := "", 0
	for address, o := range e.owners {
		if n := o.epoch(); n > epoch {
			best, epoch = address, n
		}
	}
	return best
}

// standbys returns the number of nodes that count themselves as standbys.
func (e *election) standbys() int {
	n := 0
	for _, a := range e.net.agents {
		a.mu.Lock()
		if a.standbyRank() > 0 {
			n++
		}
		a.mu.Unlock()
	}
	return n
}

func (e *election) waitFor(limit time.Duration, what string, cond func() bool) {
	e.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); e.output.poll() {
		if cond() {
			return
		}
	}
	if !cond() {
		e.t.Fatalf("condition not met after %v: %s", limit, what)
	}
}

// waitForNewOwner waits until a node other than first owns the cell.
func (e *election) waitForNewOwner(limit time.Duration, first string) {
	e.t.Helper()
	e.waitFor(limit, "another owner", func() bool {
		// The owner is read once: it may change between two reads.
		now := e.owner()
		return now != "" && now != first
	})
}

// bubbleClock is the simulated clock of a testing/synctest bubble.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Boot() time.Duration { return time.Since(c.began) }
func (c bubbleClock) Now() time.Time      { return time.Now() }
