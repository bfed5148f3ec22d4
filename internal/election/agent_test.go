package election

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/rows"
)

// fakeStore is a table service with one row, the ownership.
type fakeStore struct {
	mu      sync.Mutex
	row     *rows.Row
	version int64
	down    bool
	deaf    map[string]bool // nodes that it does not answer
	lost    int             // commits that are applied and not answered
}

var errNoAnswer = errors.New("no answer")

func (s *fakeStore) Commit(_ context.Context, tx *rows.Tx) (rows.Stamp, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return rows.Stamp{}, rows.ErrUnavailable
	}
	stamp, err := s.apply(tx)
	if err == nil && s.lost > 0 {
		s.lost--
		return rows.Stamp{}, errNoAnswer
	}
	return stamp, err
}

func (s *fakeStore) apply(tx *rows.Tx) (rows.Stamp, error) {
	for _, e := range tx.Expect {
		var have int64
		if s.row != nil {
			have = s.row.Version
		}
		if e.Version != have {
			conflict := &rows.ConflictError{}
			if s.row != nil {
				conflict.Rows = []rows.Row{*s.row}
			}
			return rows.Stamp{}, conflict
		}
	}
	s.version++
	for _, p := range tx.Put {
		p.Version = s.version
		s.row = &p
	}
	return rows.Stamp{Version: s.version}, nil
}

func (s *fakeStore) Range(context.Context, string, string, string) (rows.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return rows.Page{}, rows.ErrUnavailable
	}
	page := rows.Page{Stamp: rows.Stamp{Version: s.version}}
	if s.row != nil {
		page.Rows = []rows.Row{*s.row}
	}
	return page, nil
}

func (s *fakeStore) Feed(context.Context, string, int64, time.Duration) (rows.Page, error) {
	return rows.Page{}, rows.ErrCompacted
}

// nodeStore is the table service as a node reaches it.
type nodeStore struct {
	*fakeStore
	node string
}

func (s nodeStore) cut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deaf[s.node]
}

func (s nodeStore) Commit(ctx context.Context, tx *rows.Tx) (rows.Stamp, error) {
	if s.cut() {
		<-ctx.Done()
		return rows.Stamp{}, ctx.Err()
	}
	return s.fakeStore.Commit(ctx, tx)
}

func (s nodeStore) Range(ctx context.Context, table, from, to string) (rows.Page, error) {
	if s.cut() {
		<-ctx.Done()
		return rows.Page{}, ctx.Err()
	}
	return s.fakeStore.Range(ctx, table, from, to)
}

// seenBy returns when the store could last have answered a node.
func (s *fakeStore) seenBy(node string, c clock.Clock) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deaf[node] {
		return 0
	}
	return c.Boot()
}

// fakeNet connects agents in one process.
type fakeNet struct {
	mu     sync.Mutex
	agents map[string]*Agent
	dead   map[string]bool    // refuse connections
	cut    map[[2]string]bool // lose calls from the first to the second
}

type fakeCaller struct {
	net  *fakeNet
	from string
}

func (c fakeCaller) Call(ctx context.Context, addr string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	c.net.mu.Lock()
	target, dead, cut := c.net.agents[addr], c.net.dead[addr], c.net.cut[[2]string{c.from, addr}]
	c.net.mu.Unlock()
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

// fakeOwner commits at intervals while it owns the cell.
type fakeOwner struct {
	mu      sync.Mutex
	owning  int // epoch, 0 while it does not own the cell
	stalled bool
	loading bool // its records are not loaded
	lag     time.Duration
	drop    chan struct{}
}

func (o *fakeOwner) Run(ctx context.Context, lease *Lease) {
	o.mu.Lock()
	o.owning = lease.Epoch()
	o.drop = make(chan struct{})
	drop := o.drop
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		o.owning = 0
		o.mu.Unlock()
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-drop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		o.mu.Lock()
		stalled := o.stalled
		o.mu.Unlock()
		if stalled {
			continue
		}
		if _, err := lease.Commit(ctx, &rows.Tx{}); errors.Is(err, ErrLost) {
			return
		}
	}
}

func (o *fakeOwner) epoch() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owning
}

func (o *fakeOwner) SetMembers([]string)      {}
func (o *fakeOwner) HandOver(context.Context) {}

// Backlog is one work that waits, once the records are loaded.
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

func (o *fakeOwner) Drop(string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.drop != nil {
		close(o.drop)
		o.drop = nil
	}
}

// election is some nodes in one process.
type election struct {
	t      *testing.T
	clock  clock.Clock
	store  *fakeStore
	net    *fakeNet
	owners map[string]*fakeOwner
	stops  map[string]context.CancelFunc
	done   sync.WaitGroup
}

func newElection(t *testing.T) *election {
	e := &election{
		t: t, clock: clock.System{}, store: &fakeStore{deaf: map[string]bool{}}, owners: map[string]*fakeOwner{}, stops: map[string]context.CancelFunc{},
		net: &fakeNet{agents: map[string]*Agent{}, dead: map[string]bool{}, cut: map[[2]string]bool{}},
	}
	t.Cleanup(func() {
		for _, stop := range e.stops {
			stop()
		}
		e.done.Wait()
	})
	return e
}

func (e *election) start(address string, cpuMillis int) *Agent {
	c := e.clock
	owner := &fakeOwner{}
	a := NewAgent(Options{
		Holder: Holder{Node: address, Incarnation: fmt.Sprint(address, time.Now().UnixNano()), Address: address},
		Store:  nodeStore{e.store, address}, Caller: fakeCaller{e.net, address}, Drop: func(string) {}, Clock: c, Logger: log.NewNopLogger(),
		Owner: owner, CPUMilli: cpuMillis, Config: func() (int, time.Duration) { return 1, c.Boot() },
		OnOwnerConfig: func(string, int, time.Duration) {}, StoreSeen: func() time.Duration { return e.store.seenBy(address, c) },
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

// kill ends a node without a word; its address refuses connections.
func (e *election) kill(address string) {
	e.net.mu.Lock()
	e.net.dead[address] = true
	e.net.mu.Unlock()
	e.stops[address]()
}

// cutOff keeps a node from all others and from the store.
func (e *election) cutOff(address string) { e.setCut(address, true) }

func (e *election) reconnect(address string) { e.setCut(address, false) }

func (e *election) setCut(address string, cut bool) {
	e.net.mu.Lock()
	for other := range e.owners {
		e.net.cut[[2]string{address, other}] = cut
		e.net.cut[[2]string{other, address}] = cut
	}
	e.net.mu.Unlock()
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.store.deaf[address] = cut
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

func (e *election) until(limit time.Duration, what string, cond func() bool) {
	e.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	if !cond() {
		e.t.Fatalf("after %v: not %s", limit, what)
	}
}

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
	e := newElection(t)
	for n := range 4 {
		e.start(fmt.Sprint("n", n), 400)
	}
	e.until(3*time.Second, "an owner", func() bool { return e.owner() != "" })
	time.Sleep(400 * time.Millisecond)
	first := e.owner()
	e.kill(first)
	e.until(1500*time.Millisecond, "another owner", func() bool { return e.owner() != "" && e.owner() != first })
}

// Guards against callers that a node which reaches nobody keeps for as long as they
// wait, while another node could serve them.
func TestCutOffNodeKnowsThatItIsIsolated(t *testing.T) {
	t.Parallel()
	e := newElection(t)
	for n := range 4 {
		e.start(fmt.Sprint("n", n), 400)
	}
	e.until(3*time.Second, "an owner", func() bool { return e.owner() != "" })
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
	e := newElection(t)
	for n := range 8 {
		e.start(fmt.Sprint("n", n), 400)
	}
	e.until(3*time.Second, "an owner", func() bool { return e.owner() != "" })
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
	e := newElection(t)
	for n := range 3 {
		e.start(fmt.Sprint("n", n), 400)
	}
	e.until(3*time.Second, "an owner", func() bool { return e.owner() != "" })
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
	e := newElection(t)
	for n := range 4 {
		e.start(fmt.Sprint("n", n), 400)
	}
	e.until(3*time.Second, "an owner", func() bool { return e.owner() != "" })
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
	e := newElection(t)
	for n := range 3 {
		e.start(fmt.Sprint("n", n), 400)
	}
	e.until(3*time.Second, "an owner", func() bool { return e.owner() != "" })
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

// bubbleClock follows the time of a bubble of testing/synctest.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Boot() time.Duration { return time.Since(c.began) }
func (c bubbleClock) Now() time.Time      { return time.Now() }

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
