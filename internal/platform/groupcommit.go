package platform

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Bounds of group commit (docs/design.md 5.3).
const (
	defaultBatchInterval = 5 * time.Millisecond
	defaultBatchOps      = 64
	defaultQueueOps      = 4096
	maxBatchBytes        = 1 << 20 // a larger operation is committed alone
	maxSingleCommits     = 8       // operations of a conflicting batch committed at once
	closedReason         = "the batcher is closed"
	queueFullReason      = "the queue of operations is full"
	notSentReason        = "the context ended before the operation was sent"
	resultUnknownReason  = "the context ended before the result was known"
	writeOverheadInBytes = 64 // per check and write, for the size of a batch
)

// GroupOptions of a GroupCommit. Zero values have defaults.
type GroupOptions struct {
	// Interval returns the shortest time between the starts of two batches; nil
	// for 5 ms. An operation that finds no batch started within it is committed at
	// once.
	Interval func() time.Duration
	MaxOps   int // operations in one transaction; 64
	MaxQueue int // operations waiting; 4,096
	Logger   log.Logger
	// Hook, if not nil, is called after each transaction of a batch with the
	// number of operations in it.
	Hook func(ops int, elapsed time.Duration, err error)
}

func (o GroupOptions) withDefaults() GroupOptions {
	if o.Interval == nil {
		o.Interval = func() time.Duration { return defaultBatchInterval }
	}
	if o.MaxOps <= 0 {
		o.MaxOps = defaultBatchOps
	}
	if o.MaxQueue <= 0 {
		o.MaxQueue = defaultQueueOps
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Hook == nil {
		o.Hook = func(int, time.Duration, error) {}
	}
	return o
}

// GroupCommit is a Batcher. One goroutine gathers operations and commits them as
// one transaction. Unavailability is retried and ambiguous results are settled
// as by CommitStamped until the context of the operation ends.
type GroupCommit struct {
	table   Table
	options GroupOptions
	queue   chan *pending
	ctx     context.Context // ends when Close gives up
	cancel  context.CancelFunc
	done    chan struct{} // closed when the goroutine ended

	mu     sync.Mutex // guards closed and sends to queue
	closed bool

	carried []*pending // overlap with an earlier batch; of the goroutine
	down    bool       // the store was unavailable last; of the goroutine
	started time.Time  // of the last batch; of the goroutine
}

// NewGroupCommit starts group commit on table, which may be a StampedTable.
func NewGroupCommit(table Table, o GroupOptions) *GroupCommit {
	o = o.withDefaults()
	g := &GroupCommit{
		table:   rawTable(table),
		options: o,
		queue:   make(chan *pending, o.MaxQueue),
		done:    make(chan struct{}),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	go g.loop()
	return g
}

// Commit commits an operation with a stamp of its own, as Do.
func (g *GroupCommit) Commit(ctx context.Context, checks []Check, writes []Write) (int64, error) {
	return g.Do(ctx, Op{Checks: checks, Writes: writes})
}

// Do commits an operation and returns its version. A full queue is
// ErrUnavailable at once. If ctx ends first, the error is ErrUnavailable if the
// operation was never sent, and ErrAmbiguous otherwise.
func (g *GroupCommit) Do(ctx context.Context, op Op) (int64, error) {
	p := newPending(ctx, g.table, op)
	if err := g.enqueue(p); err != nil {
		return 0, err
	}
	select {
	case r := <-p.done:
		return r.version, r.err
	case <-ctx.Done():
	}
	if err := p.abandon(); err != nil {
		return 0, joined(err, context.Cause(ctx))
	}
	r := <-p.done // it is committed alone, under ctx, and ends soon
	return r.version, r.err
}

func (g *GroupCommit) enqueue(p *pending) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return unavailable(closedReason)
	}
	select {
	case g.queue <- p:
		return nil
	default:
		return unavailable(queueFullReason)
	}
}

// Close refuses new operations and commits those waiting. When ctx ends, it
// gives them up.
func (g *GroupCommit) Close(ctx context.Context) {
	g.mu.Lock()
	if !g.closed {
		g.closed = true
		close(g.queue)
	}
	g.mu.Unlock()
	select {
	case <-g.done:
	case <-ctx.Done():
	}
	g.cancel()
	<-g.done
}

// loop commits batches until the queue is closed and empty.
func (g *GroupCommit) loop() {
	defer close(g.done)
	for {
		b := g.gather()
		if b == nil {
			return
		}
		g.commit(b.ops)
	}
}

// gather returns the next batch, or nil at the end.
func (g *GroupCommit) gather() *batch {
	b := newBatch(g.options.MaxOps)
	g.carried = b.addAll(g.carried)
	if len(b.ops) == 0 {
		p, ok := <-g.queue
		if !ok {
			return nil
		}
		b.add(p)
	}
	timer := time.NewTimer(time.Until(g.started.Add(g.options.Interval())))
	defer timer.Stop()
	for !b.full() && len(g.carried) < g.options.MaxOps {
		p, ok := g.next(timer.C)
		if !ok {
			break
		}
		if !b.add(p) {
			g.carried = append(g.carried, p)
		}
	}
	g.started = time.Now()
	return b
}

// next returns an operation that is queued before the timer fires. Those that
// are queued already are taken even after that.
func (g *GroupCommit) next(expired <-chan time.Time) (*pending, bool) {
	select {
	case p, ok := <-g.queue:
		return p, ok
	default:
	}
	select {
	case p, ok := <-g.queue:
		return p, ok
	case <-expired:
		return nil, false
	}
}
