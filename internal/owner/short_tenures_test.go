package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/internal/work"
)

// tenureSeries are nodes that own a cell one after the other, with one long-running task.
type tenureSeries struct {
	store    memoryStore
	config   *work.Config
	workers  []cell.WorkerInfo
	started  chan string  // the task of each start
	released bool         // owners hand the cell over; otherwise they are lost
	members  int          // nodes of the cell
	advised  atomic.Int64 // calls to the adviser

	mu    sync.Mutex
	nodes map[string]*seriesNode // the running processes by address
	view  election.View
	moved chan struct{} // closed when the owner changes
}

// seriesNode is a process of a node.
type seriesNode struct {
	series  *tenureSeries
	address string
	owner   *Owner
	ended   context.Context // done once the process has ended
	end     context.CancelFunc
	silent  int           // workers of this group do not answer the node
	adviser chan struct{} // one token: the adviser handles one call at a time for each node
}

const (
	seriesNodes    = 4
	seriesGroups   = 3 // of workers
	seriesWorkers  = 108
	seriesCallTime = time.Second
)

func newTenureSeries(t *testing.T) *tenureSeries {
	const id = "0000000000000001"
	s := &tenureSeries{
		store: memoryStore{}, started: make(chan string, 1), nodes: map[string]*seriesNode{}, moved: make(chan struct{}), members: seriesNodes,
		config: &work.Config{
			Version: 1,
			Queues: map[string]*work.Queue{testAdvisedQueue: {
				Name: testAdvisedQueue, Pool: testPool, MaxAttempts: 3,
				Advice: &work.Advice{CallDuration: seriesCallTime, ValidFor: 2 * time.Second},
			}},
			Teams: map[string]*work.Team{testTeam: {Name: testTeam}},
			Pools: map[string]*work.Pool{testPool: {Name: testPool}},
		},
	}
	stored := testWork(id)
	stored.Work.Queue, stored.Work.Steps[0].LongRunning = testAdvisedQueue, true
	s.store.put(t, tableWork, id, stored)
	s.store.put(t, tableProgress, id, &api.ProgressRow{State: api.WorkStateQueued, Team: testTeam, Queue: testAdvisedQueue})
	for n := range seriesWorkers {
		ref := cell.WorkerRef{ID: fmt.Sprintf("w%03d", n), IncarnationUnixMs: 1, Address: fmt.Sprint(n)}
		s.workers = append(s.workers, cell.WorkerInfo{WorkerRef: ref, Pool: testPool, Capacity: work.Resources{CPUMillis: 8000, MemoryMB: 8000}})
	}
	for n := range seriesNodes {
		s.startProcess(fmt.Sprintf("n%d", n))
	}
	return s
}

// seriesLease is the ownership after an owner that was lost or has handed the cell over.
type seriesLease struct {
	fastLease
	lost bool
}

func (l seriesLease) PriorOwnerLost() bool { return l.lost }

// startProcess starts a node, or starts it again.
func (s *tenureSeries) startProcess(address string) {
	ctx, end := context.WithCancel(context.Background())
	n := &seriesNode{series: s, address: address, ended: ctx, end: end, adviser: make(chan struct{}, 1)}
	n.owner = New(Options{
		Settings: &settings.Cell{MaxTaskLease: 6 * time.Second, StopTimeout: 200 * time.Millisecond, GangTimeout: 3 * time.Second, StatusRetention: time.Minute, RemoteFactor: 1.5},
		Store:    s.store, Config: func() *work.Config { return s.config }, Clock: bubbleClock{time.Unix(0, 0)}, Logger: log.NewNopLogger(),
		Workers: n, Adviser: n, Peers: n, Fleet: n, SelfAddress: address, View: n.currentView,
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[address] = n
}

func (s *tenureSeries) node(address string) *seriesNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[address]
}

// runTenure makes a node own the cell for some time, and the workers of a group silent to it.
func (s *tenureSeries) runTenure(address string, epoch int, length time.Duration, silent int) {
	n := s.node(address)
	n.silent = silent
	s.mu.Lock()
	s.view = election.View{Epoch: epoch, Address: address}
	close(s.moved)
	s.moved = make(chan struct{})
	s.mu.Unlock()
	var members []string
	for i := range s.members {
		members = append(members, fmt.Sprintf("n%d", i))
	}
	n.owner.SetMembers(members, nil)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	n.owner.runTenure(ctx, seriesLease{lost: !s.released}, epoch)
}

func (n *seriesNode) currentView() (election.View, <-chan struct{}) {
	n.series.mu.Lock()
	defer n.series.mu.Unlock()
	v := n.series.view
	v.Self = v.Address == n.address
	return v, n.series.moved
}

var errProcessEnded = errors.New("the process has ended")

// Call calls another node. The context of the handler ends with the process of the caller.
func (n *seriesNode) Call(ctx context.Context, address string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	callee := n.series.node(address)
	if n.ended.Err() != nil || callee.ended.Err() != nil {
		return errProcessEnded
	}
	handlerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.ended, cancel)()
	err := callHandler(handlerCtx, callee.owner, method, in, out)
	if n.ended.Err() != nil || callee.ended.Err() != nil {
		return errProcessEnded
	}
	return err
}

// Advise implements Adviser.
func (n *seriesNode) Advise(ctx context.Context, call *api.AdviceCall) (*api.AdviceAnswer, error) {
	n.series.advised.Add(1)
	select {
	case n.adviser <- struct{}{}:
		defer func() { <-n.adviser }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case <-time.After(seriesCallTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	out := &api.AdviceAnswer{ValidMs: 2000}
	for _, worker := range call.Workers {
		out.Tickets = append(out.Tickets, api.WorkerTicket{Worker: worker, Ticket: "ticket"})
	}
	return out, nil
}

// Run implements Fleet.
func (n *seriesNode) Run(ctx context.Context, _ cell.Heartbeats, onChange func([]cell.WorkerInfo, []cell.WorkerRef)) {
	onChange(n.series.workers, nil)
	<-ctx.Done()
}

// Heartbeats implements Fleet.
func (n *seriesNode) Heartbeats() cell.Heartbeats { return cell.Heartbeats{} }

// Poll implements Workers.
func (n *seriesNode) Poll(ctx context.Context, p *cell.Poll) (*cell.Report, error) {
	var number int
	if _, err := fmt.Sscan(p.Worker.Address, &number); err != nil {
		return nil, err
	}
	if number%seriesGroups == n.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(10 * time.Millisecond):
		return &cell.Report{ClockMs: bubbleClock{time.Unix(0, 0)}.Boot().Milliseconds(), IncarnationUnixMs: 1}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Start implements Workers.
func (n *seriesNode) Start(_ context.Context, s *cell.Start) (cell.StartOutcome, int64) {
	if n.ended.Err() == nil {
		select {
		case n.series.started <- s.Task.String():
		default:
		}
	}
	return cell.StartAccepted, 1
}

// Stop implements Workers.
func (n *seriesNode) Stop(context.Context, *cell.Stop) (int64, error) { return 1, nil }

// Throttle implements Workers.
func (n *seriesNode) Throttle(context.Context, *cell.Throttle) error { return nil }

// CloseIdleConnections implements Workers.
func (n *seriesNode) CloseIdleConnections() {}

// Guards against a long-running task that waits for as long as owners follow each other faster
// than the adviser answers, because each one can use few of the workers that the last one could.
func TestLongRunningTaskIsPlacedByOwnersShorterThanACallForAdvice(t *testing.T) {
	const waitLimit = 9 * time.Second
	for _, tt := range []struct {
		name   string
		tenure time.Duration
		ends   bool // the process of an owner ends with its tenure
	}{
		{"released", 600 * time.Millisecond, false},
		{"released soon", 250 * time.Millisecond, false},
		{"killed", 600 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTenureSeries(t)
				s.released = !tt.ends
				defer time.Sleep(time.Minute) // the calls of all owners end
				began := time.Now()
				for epoch := 1; ; epoch++ {
					address := fmt.Sprintf("n%d", epoch%seriesNodes)
					s.runTenure(address, epoch<<20, tt.tenure, epoch%seriesGroups)
					if len(s.started) > 0 {
						break
					}
					if waited := time.Since(began); waited > waitLimit {
						t.Fatalf("the task is not started after %v and %d owners", waited, epoch)
					}
					if tt.ends {
						s.node(address).end()
						s.startProcess(address)
					}
				}
			})
		})
	}
}
