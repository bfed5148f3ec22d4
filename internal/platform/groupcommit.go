package platform

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/clock"
)

// Limits of group commit (docs/design.md 5.3).
const (
	defaultBatchDelay = time.Millisecond
	// minBatchSpacing keeps 2,000 operations per second of one node below 150
	// transactions per second (docs/MEASUREMENTS.md).
	minBatchSpacing = 7 * time.Millisecond
	// maxBatchesPerSecond limits the batches of all nodes together. It is a part of
	// the transactions per second that the table service guarantees; the rest is
	// reserved for sessions, ownership, quotas and configuration and key changes.
	maxBatchesPerSecond = 300
	defaultBatchOps     = 64
	defaultQueueOps     = 4096
	maxBatchBytes       = 1 << 20 // a larger operation is a batch of its own
	maxSingleCommits    = 8       // concurrent commits of single operations of a batch
	maxBatchConflicts   = 8       // conflicts of a batch until the rest is committed one by one
	closedReason        = "the group commit is closed"
	queueFullReason     = "the operation queue is full"
	notSentReason       = "the context ended before the operation was sent"
	resultUnknownReason = "the context ended before the result was known"
	entryOverheadBytes  = 64 // added per check and write to the size of a batch
)

// GroupOptions configures a GroupCommit. Zero values select the defaults.
type GroupOptions struct {
	Delay    time.Duration // how long the first operation of a batch waits for others; default 1 ms
	MaxOps   int           // operations in one transaction; default 64
	MaxQueue int           // queued operations; default 4,096
	// Spacing returns the minimum time between the starts of two transactions, which
	// a full batch ignores; nil for 7 ms.
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

// BatchSpacing returns the Spacing for each of a number of nodes that share the write
// rate of the table service. Without it the nodes together exceed the rate that the
// service guarantees, and the service then also rejects heartbeats.
func BatchSpacing(nodes int) time.Duration {
	return max(minBatchSpacing, time.Duration(nodes)*time.Second/maxBatchesPerSecond)
}

// GroupCommit is a Batcher. One goroutine collects operations and commits them in one
// transaction. Until the context of an operation ends, unavailability is retried and
// ambiguous results are resolved as by CommitStamped.
type GroupCommit struct {
	table   Table
	options GroupOptions
	queue   chan *pendingOp
	ctx     context.Context // canceled by Close
	cancel  context.CancelFunc
	done    chan struct{} // closed when the goroutine has ended

	mu     sync.Mutex // guards closed and sends to queue
	closed bool

	lastStarted time.Time    // start of the last transaction; owned by the goroutine
	deferred    []*pendingOp // operations that did not join an earlier batch; owned by the goroutine
	unavailable bool         // the last transaction ended in ErrUnavailable; owned by the goroutine
}

// NewGroupCommit starts a group commit on table, which may be a StampedTable.
func NewGroupCommit(table Table, o GroupOptions) *GroupCommit {
	o = o.withDefaults()
	g := &GroupCommit{
		table:   rawTable(table),
		options: o,
		queue:   make(chan *pendingOp, o.MaxQueue),
		done:    make(chan struct{}),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	go g.run()
	return g
}

// Commit commits an operation like Do, with a generated stamp.
func (g *GroupCommit) Commit(ctx context.Context, checks []Check, writes []Write) (int64, error) {
	return g.Do(ctx, Operation{Checks: checks, Writes: writes})
}

// Do commits an operation and returns its version. If the queue is full, it returns
// ErrUnavailable immediately. If ctx ends first, the error is ErrUnavailable if the
// operation was never sent, and ErrAmbiguous otherwise.
func (g *GroupCommit) Do(ctx context.Context, op Operation) (int64, error) {
	p := newPendingOp(ctx, g.table, op)
	if err := g.enqueue(p); err != nil {
		return 0, err
	}
	select {
	case r := <-p.result:
		return r.version, r.err
	case <-ctx.Done():
	}
	if err := p.abandon(); err != nil {
		return 0, withCause(err, context.Cause(ctx))
	}
	r := <-p.result // the single commit uses ctx as well and ends soon
	return r.version, r.err
}

func (g *GroupCommit) enqueue(p *pendingOp) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return unavailableError(closedReason)
	}
	select {
	case g.queue <- p:
		return nil
	default:
		return unavailableError(queueFullReason)
	}
}

// Close rejects new operations and commits the queued ones. When ctx ends, it aborts
// those without a result.
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

// run commits batches until the queue is closed and empty.
func (g *GroupCommit) run() {
	defer close(g.done)
	for {
		b := g.nextBatch()
		if b == nil {
			return
		}
		g.commit(b.ops)
	}
}

// nextBatch returns the next batch, or nil when the queue is closed and empty.
func (g *GroupCommit) nextBatch() *batch {
	b := newBatch(g.options.MaxOps)
	g.deferred = b.addAll(g.deferred)
	if len(b.ops) == 0 {
		p, ok := <-g.queue
		if !ok {
			return nil
		}
		b.add(p)
	}
	timer := clock.NewTimer(time.Until(g.dueTime(b.ops[0])))
	defer timer.Stop()
	for !b.full() && len(g.deferred) < g.options.MaxOps {
		p, ok := g.nextOp(timer.C)
		if !ok {
			break
		}
		if !b.add(p) {
			g.deferred = append(g.deferred, p)
		}
	}
	return b
}

// dueTime returns when a batch is committed if it does not fill up before. After an
// idle period the first operation waits only for Delay. Under load the spacing decides,
// so that batches grow with the rate of operations.
func (g *GroupCommit) dueTime(first *pendingOp) time.Time {
	due := first.queued.Add(g.options.Delay)
	if spaced := g.lastStarted.Add(g.options.Spacing()); spaced.After(due) {
		return spaced
	}
	return due
}

// nextOp returns the next operation that is queued before the timer fires. It returns
// an operation that is already queued even if the timer has fired.
func (g *GroupCommit) nextOp(expired <-chan time.Time) (*pendingOp, bool) {
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
