package owner

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/internal/work"
)

// versionedStore is a table service with versions and a clock.
type versionedStore struct {
	clock bubbleClock

	mu      sync.Mutex
	version int64
	rows    map[[2]string]rows.Row // by table and key
	writes  map[string]int         // by table
}

func (s *versionedStore) Commit(_ context.Context, tx *rows.Tx) (rows.Timestamp, error) {
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range tx.Preconditions {
		if r := s.rows[[2]string{p.Table, p.Key}]; r.Version != p.Version {
			return rows.Timestamp{}, &rows.ConflictError{Rows: []rows.Row{r}}
		}
	}
	s.version++
	for _, r := range tx.Remove {
		delete(s.rows, [2]string{r.Table, r.Key})
	}
	for _, r := range tx.Put {
		r.Version = s.version
		s.rows[[2]string{r.Table, r.Key}] = r
		s.writes[r.Table]++
	}
	return rows.Timestamp{Version: s.version, Clock: time.Hour + s.clock.Boot()}, nil
}

// writesOf returns how many rows of a table were written.
func (s *versionedStore) writesOf(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes[table]
}

func (s *versionedStore) Range(_ context.Context, table, _, _ string) (rows.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rows.Page{Timestamp: rows.Timestamp{Version: s.version}}
	for _, r := range s.rows {
		if r.Table == table {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, nil
}

func (s *versionedStore) Feed(context.Context, string, int64, time.Duration) (rows.Page, error) {
	return rows.Page{}, rows.ErrUnavailable
}

// lostWorkerCell are nodes that own a cell, with a long-running task on a worker, w1, that does not
// answer, and a worker that does.
type lostWorkerCell struct {
	store   *versionedStore
	started chan string // the worker of each start

	mu    sync.Mutex
	nodes map[string]*cellNode // running processes by address
}

type cellNode struct {
	*lostWorkerCell
	address string
	agent   *election.Agent
	ended   chan struct{}
	end     context.CancelFunc
}

func newLostWorkerCell(t *testing.T) *lostWorkerCell {
	clock := bubbleClock{time.Now()}
	c := &lostWorkerCell{
		store:   &versionedStore{clock: clock, rows: map[[2]string]rows.Row{}, writes: map[string]int{}},
		started: make(chan string, 1), nodes: map[string]*cellNode{},
	}
	for table, list := range newLostWorkerStore(t) {
		for _, r := range list {
			c.store.rows[[2]string{table, r.Key}] = r
		}
	}
	return c
}

// startNode starts the process of a node.
func (c *lostWorkerCell) startNode(address string) {
	ctx, end := context.WithCancel(context.Background())
	n := &cellNode{lostWorkerCell: c, address: address, ended: make(chan struct{}), end: end}
	config := newTestTenure(memoryStore{}).options.Config
	owner := New(Options{
		Settings: &settings.Cell{MaxTaskLease: 6 * time.Second, StopTimeout: 200 * time.Millisecond, GangTimeout: 3 * time.Second, StatusRetention: time.Minute, RemoteFactor: 1.5},
		Store:    c.store, Config: config, Clock: c.store.clock, Logger: log.NewNopLogger(),
		Workers: n, Adviser: n, Peers: n, Fleet: n, SelfAddress: address, Successors: func() []string { return nil },
	})
	n.agent = election.NewAgent(election.Options{
		Holder: election.Holder{Node: address, Incarnation: address + time.Now().String(), Address: address}, Store: c.store, Caller: n, ReportUnanswered: func(string) {},
		Clock: c.store.clock, Logger: log.NewNopLogger(), Owner: owner, CPUMillis: 4000, LastStoreAnswer: c.store.clock.Boot,
		Config: func() (int, time.Duration) { return 1, c.store.clock.Boot() }, OnOwnerConfig: func(string, int, time.Duration) {},
	})
	owner.options.View = n.agent.View
	c.mu.Lock()
	c.nodes[address] = n
	c.mu.Unlock()
	go func() {
		n.agent.Run(ctx)
		close(n.ended)
	}()
}

// kill ends the process of a node.
func (c *lostWorkerCell) kill(address string) {
	c.mu.Lock()
	n := c.nodes[address]
	delete(c.nodes, address)
	c.mu.Unlock()
	n.end()
	<-n.ended
}

// Call implements wire.Caller.
func (n *cellNode) Call(ctx context.Context, address string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	n.mu.Lock()
	self, callee := n.nodes[n.address], n.nodes[address]
	n.mu.Unlock()
	if self != n || callee == nil {
		return syscall.ECONNREFUSED
	}
	var handler func(context.Context, []byte) (msgp.Marshaler, error)
	switch method {
	case api.MethodOwnerPing:
		handler = callee.agent.HandlePing
	case api.MethodTakeOver:
		handler = callee.agent.HandleTakeOver
	default:
		return errProcessEnded
	}
	payload, err := in.MarshalMsg(nil)
	if err != nil {
		return err
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

// Run implements Fleet.
func (n *cellNode) Run(ctx context.Context, _ cell.Heartbeats, onChange func([]cell.WorkerInfo, []cell.WorkerRef)) {
	var list []cell.WorkerInfo
	for _, id := range []string{"w1", "w2"} {
		ref := cell.WorkerRef{ID: id, IncarnationUnixMs: 1, Address: id}
		list = append(list, cell.WorkerInfo{WorkerRef: ref, Pool: testPool, Capacity: work.Resources{CPUMillis: 8000, MemoryMB: 8000}})
	}
	onChange(list, nil)
	<-ctx.Done()
}

// Heartbeats implements Fleet. No worker drains.
func (n *cellNode) Heartbeats() cell.Heartbeats { return cell.Heartbeats{} }

// Poll implements Workers.
func (n *cellNode) Poll(ctx context.Context, p *cell.Poll) (*cell.Report, error) {
	if p.Worker.ID == "w1" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &cell.Report{ClockMs: n.store.clock.Boot().Milliseconds(), IncarnationUnixMs: 1}, nil
}

// Start implements Workers.
func (n *cellNode) Start(_ context.Context, s *cell.Start) (cell.StartOutcome, int64) {
	select {
	case n.started <- s.Worker.ID:
	default:
	}
	return cell.StartAccepted, n.store.clock.Boot().Milliseconds()
}

// Stop implements Workers.
func (n *cellNode) Stop(context.Context, *cell.Stop) (int64, error) { return 1, nil }

// Throttle implements Workers.
func (n *cellNode) Throttle(context.Context, *cell.Throttle) error { return nil }

// CloseIdleConnections implements Workers.
func (n *cellNode) CloseIdleConnections() {}

// Advise implements Adviser.
func (n *cellNode) Advise(context.Context, *api.AdviceCall) (*api.AdviceAnswer, error) {
	return nil, errProcessEnded
}

func (c *lostWorkerCell) node(address string) *cellNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[address]
}

// view returns what a node knows about the owner.
func (c *lostWorkerCell) view(address string) election.View {
	v, _ := c.node(address).agent.View()
	return v
}

// Guards against a long-running task on a lost worker that is away for as long as owners of the cell
// are killed, or ask another node to claim it, sooner than the leases of each have ended.
func TestLostTaskReturnsWhileNodesClaimTheCellFromEachOther(t *testing.T) {
	const tenure, limit = 2500 * time.Millisecond, 16 * time.Second
	for _, asked := range []bool{true, false} {
		t.Run(fmt.Sprintf("asked %t", asked), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newLostWorkerCell(t)
				addresses := []string{"n0", "n1"}
				for _, address := range addresses {
					c.startNode(address)
				}
				began := time.Now()
				owners := map[int]bool{}
				for len(c.started) == 0 && time.Since(began) < limit {
					time.Sleep(tenure)
					v := c.view(addresses[0])
					owners[v.Epoch] = true
					other := addresses[0]
					if v.Address == other {
						other = addresses[1]
					}
					if asked {
						request := &api.OwnerPing{Address: v.Address, Epoch: v.Epoch}
						if err := c.node(v.Address).Call(t.Context(), other, api.MethodTakeOver, request, &api.Empty{}); err != nil {
							t.Error(err)
						}
					} else {
						c.kill(v.Address)
						time.Sleep(time.Second)
						c.startNode(v.Address)
					}
				}
				t.Logf("%v and %d owners; the row was written %d times", time.Since(began), len(owners), c.store.writesOf(tableLeaseEnds))
				if len(c.started) == 0 {
					t.Errorf("the task is not started after %v and %d owners", time.Since(began), len(owners))
				} else if worker := <-c.started; worker != "w2" || len(owners) < 3 {
					t.Errorf("started on %s, by owner %d", worker, len(owners))
				}
				for _, address := range addresses {
					c.kill(address)
				}
				time.Sleep(time.Minute) // the calls of all owners end
			})
		})
	}
}
