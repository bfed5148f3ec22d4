package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/entry"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/internal/work"
)

// simulatedCell is a cell of several nodes with their elections and entries, in a
// testing/synctest bubble.
type simulatedCell struct {
	t           *testing.T
	store       *simulatedStore
	pool        *simulatedPool
	config      *work.Config
	maxRowBytes int

	mu        sync.Mutex
	rand      *rand.Rand
	processes map[string]*simulatedProcess // the latest one of each node, by address
	started   int                          // processes so far
	tenures   int                          // owners so far
	ending    sync.WaitGroup               // processes that have not ended
}

// simulatedProcess is one process of a node.
type simulatedProcess struct {
	cell        *simulatedCell
	address     string
	incarnation string
	agent       *election.Agent
	owner       *Owner
	forwarder   *entry.Forwarder
	ended       context.Context // done once the process has ended
	end         context.CancelFunc

	mu       sync.Mutex
	stopping bool
	cutTill  time.Duration // neither other nodes nor the table service nor workers are reached before
	answerAt time.Duration // last answer of the table service
}

const (
	simulatedNodes = 4
	peerDelay      = time.Millisecond
	slowPassShare  = 0.2
	longestPass    = 60 * time.Millisecond
)

func newSimulatedCell(t *testing.T, seed uint64) *simulatedCell {
	c := &simulatedCell{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), store: newSimulatedStore(seed), pool: newSimulatedPool(seed), processes: map[string]*simulatedProcess{}, maxRowBytes: 64 << 10,
		config: &work.Config{
			Version: 1,
			Queues:  map[string]*work.Queue{testQueue: {Name: testQueue, Pool: testPool, MaxAttempts: simulatedMaxAttempts}},
			Teams:   map[string]*work.Team{testTeam: {Name: testTeam}},
			Pools:   map[string]*work.Pool{testPool: {Name: testPool}},
		},
	}
	for n := range simulatedNodes {
		c.startProcess(fmt.Sprintf("n%d", n))
	}
	return c
}

// startProcess starts the process of a node.
func (c *simulatedCell) startProcess(address string) {
	ctx, end := context.WithCancel(context.Background())
	p := &simulatedProcess{cell: c, address: address, ended: ctx, end: end, answerAt: bubbleNow()}
	c.mu.Lock()
	c.started++
	p.incarnation = fmt.Sprint(c.started)
	c.mu.Unlock()
	clock, logger := bubbleClock{time.Unix(0, 0)}, log.NewNopLogger()
	p.owner = New(Options{
		Settings: &settings.Cell{
			MaxTaskLease: 6 * time.Second, StopTimeout: 200 * time.Millisecond, GangTimeout: 3 * time.Second,
			StatusRetention: time.Hour, RemoteFactor: 1.5, MaxRowBytes: c.maxRowBytes,
		},
		Store: p, Workers: cutWorkers{c.pool, p}, Peers: p, Fleet: c.pool, SelfAddress: address, Clock: clock, Logger: logger,
		Config:     c.slowConfig,
		Successors: func() []string { return p.agent.Successors() },
		View:       func() (election.View, <-chan struct{}) { return p.agent.View() },
	})
	p.agent = election.NewAgent(election.Options{
		Holder: election.Holder{Node: address, Incarnation: p.incarnation, Address: address},
		Store:  p, Caller: p, ReportUnanswered: func(string) {}, Clock: clock, Logger: logger, Owner: countedOwner{p.owner, c}, CPUMillis: 2000,
		Config:          func() (int, time.Duration) { return 1, bubbleNow() },
		OnOwnerConfig:   func(string, int, time.Duration) {},
		LastStoreAnswer: p.lastStoreAnswer,
	})
	p.forwarder = entry.NewForwarder(entry.Options{View: p.agent.View, Owner: p.owner, Peers: p, Clock: clock})
	c.mu.Lock()
	c.processes[address] = p
	c.mu.Unlock()
	c.ending.Add(1)
	go func() {
		defer c.ending.Done()
		p.agent.Run(ctx)
	}()
}

// cutWorkers are the workers as a process reaches them, which may be cut off from them.
type cutWorkers struct {
	*simulatedPool
	process *simulatedProcess
}

// Poll implements Workers.
func (w cutWorkers) Poll(ctx context.Context, in *cell.Poll) (*cell.Report, error) {
	if w.process.isCut() {
		<-ctx.Done()
		return nil, errWorkerSilent
	}
	return w.simulatedPool.Poll(ctx, in)
}

// Start implements Workers.
func (w cutWorkers) Start(ctx context.Context, s *cell.Start) (cell.StartOutcome, int64) {
	if w.process.isCut() {
		<-ctx.Done()
		return cell.StartUnanswered, 0
	}
	return w.simulatedPool.Start(ctx, s)
}

// Stop implements Workers.
func (w cutWorkers) Stop(ctx context.Context, s *cell.Stop) (int64, error) {
	if w.process.isCut() {
		<-ctx.Done()
		return 0, errWorkerSilent
	}
	return w.simulatedPool.Stop(ctx, s)
}

// slowConfig returns the configuration. The control goroutine asks for it in each pass, so it makes
// some passes slow: events queue up, and several are due at once.
func (c *simulatedCell) slowConfig() *work.Config {
	c.mu.Lock()
	slow := c.rand.Float64() < slowPassShare
	d := time.Duration(c.rand.Int64N(int64(longestPass)))
	c.mu.Unlock()
	if slow {
		time.Sleep(d)
	}
	return c.config
}

// countedOwner counts the tenures.
type countedOwner struct {
	*Owner
	cell *simulatedCell
}

func (o countedOwner) Run(ctx context.Context, lease *election.Lease) {
	o.cell.mu.Lock()
	o.cell.tenures++
	o.cell.mu.Unlock()
	o.Owner.Run(ctx, lease)
}

func (c *simulatedCell) process(address string) *simulatedProcess {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[address]
}

// serving returns the processes that take calls of clients.
func (c *simulatedCell) serving() []*simulatedProcess {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*simulatedProcess
	for n := range simulatedNodes {
		if p := c.processes[fmt.Sprintf("n%d", n)]; p.ended.Err() == nil && !p.isStopping() {
			out = append(out, p)
		}
	}
	return out
}

func (p *simulatedProcess) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopping
}

// stop ends the process as planned.
func (p *simulatedProcess) stop() {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.agent.Stop(bubbleNow())
	ctx, cancel := context.WithTimeout(p.ended, 4*time.Second)
	defer cancel()
	keep, cancelKeep := context.WithTimeout(ctx, 2*time.Second)
	defer cancelKeep()
	p.agent.AwaitLoss(keep)
	p.agent.AwaitFitSuccessor(keep)
	for p.agent.OwnsCell() && ctx.Err() == nil {
		p.owner.HandOver(ctx)
		time.Sleep(10 * time.Millisecond)
	}
	p.end()
}

// cut makes the process reach neither other nodes nor the table service nor workers for d.
func (p *simulatedProcess) cut(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutTill = bubbleNow() + d
}

func (p *simulatedProcess) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bubbleNow() < p.cutTill
}

func (p *simulatedProcess) lastStoreAnswer() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answerAt
}

// reachesStore waits until ctx ends and returns false if the process does not reach the table
// service.
func (p *simulatedProcess) reachesStore(ctx context.Context) bool {
	if p.ended.Err() != nil || p.isCut() {
		<-ctx.Done()
		return false
	}
	return true
}

func (p *simulatedProcess) storeAnswered(err error) {
	if err == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.answerAt = bubbleNow()
	}
}

// Commit implements rows.Store.
func (p *simulatedProcess) Commit(ctx context.Context, tx *rows.Tx) (rows.Timestamp, error) {
	if !p.reachesStore(ctx) {
		return rows.Timestamp{}, errNoAnswer
	}
	timestamp, err := p.cell.store.Commit(ctx, tx)
	p.storeAnswered(err)
	return timestamp, err
}

// Range implements rows.Store.
func (p *simulatedProcess) Range(ctx context.Context, table, part, from string) (rows.Page, error) {
	if !p.reachesStore(ctx) {
		return rows.Page{}, errNoAnswer
	}
	page, err := p.cell.store.Range(ctx, table, part, from)
	p.storeAnswered(err)
	return page, err
}

// Feed implements rows.Store.
func (p *simulatedProcess) Feed(ctx context.Context, table string, after int64, wait time.Duration) (rows.Page, error) {
	return p.cell.store.Feed(ctx, table, after, wait)
}

// Call implements wire.Caller.
func (p *simulatedProcess) Call(ctx context.Context, address string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	callee := p.cell.process(address)
	switch {
	case ctx.Err() != nil:
		return errkind.Wrap(ctx.Err(), errkind.Canceled, "", "the call was not sent")
	case p.isCut() || callee.isCut() || p.ended.Err() != nil:
		<-ctx.Done()
		return errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "", "no response")
	case callee.ended.Err() != nil:
		return errkind.Wrap(syscall.ECONNREFUSED, errkind.OwnerUnavailable, "", "connect")
	}
	answer := make(chan error, 1)
	go func() {
		time.Sleep(peerDelay)
		answer <- callee.serve(ctx, method, in, out)
	}()
	select {
	case err := <-answer:
		if p.isCut() || callee.isCut() {
			<-ctx.Done()
			return errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "", "no response")
		}
		return err
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.OutcomeUnknown, "", "no response in time")
	case <-callee.ended.Done():
	case <-p.ended.Done():
	}
	return errkind.New(errkind.OutcomeUnknown, "", "the connection ended during the call")
}

// serve handles a call of another node.
func (p *simulatedProcess) serve(ctx context.Context, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.ended, cancel)()
	handlers := p.owner.Handlers()
	handlers[api.MethodOwnerPing], handlers[api.MethodTakeOver] = p.agent.HandlePing, p.agent.HandleTakeOver
	payload, err := in.MarshalMsg(nil)
	if err != nil {
		return err
	}
	answer, err := handlers[method](ctx, payload)
	if err != nil {
		return err
	}
	data, err := answer.MarshalMsg(nil)
	if err != nil {
		return err
	}
	return wire.Decode(data, out)
}
