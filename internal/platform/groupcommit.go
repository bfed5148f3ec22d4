package platform

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/clock"
)

// Bounds of group commit (docs/design.md 5.3).
const (
	defaultBatchDelay = time.Millisecond
	// minBatchSpacing keeps 2,000 operations a second of one node below 150
	// transactions a second (docs/MEASUREMENTS.md).
	minBatchSpacing = 7 * time.Millisecond
	// cellBatches is the part of the writes that the table service promises, in
	// transactions a second, that the batches of all nodes may take together; the
	// rest is for sessions, ownership, quotas and changes.
	cellBatches          = 300
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
	Delay    time.Duration // wait of the first operation for more; 1 ms
	MaxOps   int           // operations in one transaction; 64
	MaxQueue int           // operations waiting; 4,096
	// Spacing returns the least time between the starts of two transactions, unless
	// a batch is full; nil for 7 ms.
	Spacing func() time.Duration
	Logger  log.Logger
	// Hook, if not nil, is called after each transaction of a batch with the
	// number of operations in it.
	Hook func(ops int, elapsed time.Duration, err error)
}

func (o GroupOptions) withDefaults() GroupOptions {
	if o.Delay <= 0 {
		o.Delay = defaultBatchDelay
	}
	if o.MaxOps <= 0 {
		o.MaxOps = defaultBatchOps
	}
	if o.MaxQueue <= 0 {
		o.MaxQueue = defaultQueueOps
	}
	if o.Spacing == nil {
		o.Spacing = func() time.Duration { return minBatchSpacing }
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Hook == nil {
		o.Hook = func(int, time.Duration, error) {}
	}
	return o
}

// BatchSpacing returns the Spacing for each of a number of nodes that share the
// writes of the table service. Without it the nodes together exceed what the
// service promises, and it then also refuses heartbeats.
func BatchSpacing(nodes int) time.Duration {
	return max(minBatchSpacing, time.Duration(nodes)*time.Second/cellBatches)
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

	started time.Time  // of the last transaction of a batch; of the goroutine
	carried []*pending // overlap with an earlier batch; of the goroutine
	down    bool       // the store was unavailable last; of the goroutine
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
	timer := clock.NewTimer(time.Until(g.due(b.ops[0])))
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
	return b
}

// due returns when a batch is committed that is not full. The first operation
// after a pause hardly waits; the more there are, the more go together.
func (g *GroupCommit) due(first *pending) time.Time {
	due := first.queued.Add(g.options.Delay)
	if spaced := g.started.Add(g.options.Spacing()); spaced.After(due) {
		return spaced
	}
	return due
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
