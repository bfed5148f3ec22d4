// Package owner runs the decision core of a cell while this node owns it: it
// loads the records, feeds the core with what workers, callers and the table
// service say, and carries out its decisions. One goroutine holds the control
// state; others do the calls.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/internal/work"
)

// Timing of the owner.
const (
	tickInterval  = 20 * time.Millisecond
	stepInterval  = 4 * time.Millisecond   // between two passes; events in between are served together
	commitSpacing = 12 * time.Millisecond  // between the starts of two commits
	renewInterval = 150 * time.Millisecond // between commits when there is nothing to write
	stepShare     = 4                      // a pass takes at most one part in so many of the time
	maxStepPause  = 50 * time.Millisecond
	// unrenewedLimit is how long an owner extends task leases without a commit. A
	// successor counts on it when it can't reach a worker.
	unrenewedLimit = 4 * time.Second
	orderTimeout   = 150 * time.Millisecond // first try of an order
	repeatTimeout  = 400 * time.Millisecond // later tries
	paceTimeout    = 300 * time.Millisecond
	holdSlack      = 350 * time.Millisecond // a hold may take so long beyond its wait
	askSlack       = 1500 * time.Millisecond
	loadTimeout    = 2 * time.Second
	inboxSize      = 4096
)

// Workers orders workers around. Its methods return within the context.
type Workers interface {
	Hold(ctx context.Context, epoch int, h *cell.Hold) (*cell.Report, error)
	Start(ctx context.Context, epoch int, s *cell.Start) (outcome cell.StartOutcome, clockMs int64)
	Stop(ctx context.Context, epoch int, s *cell.Stop) (clockMs int64, err error)
	Pace(ctx context.Context, epoch int, p *cell.Pace) error
	// Disconnect closes the connections that are not in use.
	Disconnect()
}

// Adviser tells which workers may run a step.
type Adviser interface {
	Advise(ctx context.Context, call *api.AdviceCall) (*api.AdviceAnswer, error)
}

// Fleet lists the workers.
type Fleet interface {
	// Run calls onChange with the list until ctx ends.
	Run(ctx context.Context, onChange func([]cell.WorkerInfo))
}

// Options configures an Owner.
type Options struct {
	Settings *settings.Cell
	Store    rows.Store
	Workers  Workers
	Adviser  Adviser // of this node
	Peers    wire.Caller
	Fleet    Fleet
	Self     string // peer address of this node
	Config   func() *work.Config
	// Successor returns the node that should take the cell over; empty for none.
	Successor func() string
	Clock     clock.Clock
	Logger    log.Logger
}

// Owner owns the cell from time to time.
type Owner struct {
	options      Options
	current      atomic.Pointer[tenure]
	backlog      atomic.Pointer[[]api.QueueBacklog]
	stats        atomic.Pointer[cell.Stats]
	members      atomic.Pointer[[]string]
	publishedLag atomic.Int64
}

// New returns an owner that owns nothing yet.
func New(o Options) *Owner { return &Owner{options: o} }

// tenure is the time for which this node owns the cell in one epoch.
type tenure struct {
	*Owner
	lease  *election.Lease
	epoch  int
	cell   *cell.Cell
	inbox  chan func()
	ctx    context.Context
	cancel context.CancelCauseFunc
	calls  sync.WaitGroup
	ready  chan struct{} // closed when the records are loaded

	// Of the control goroutine.
	committing   bool
	committedAt  time.Duration // when the last successful commit was sent
	commitSent   time.Duration
	batch        *cell.Batch
	config       *work.Config
	membersSeen  *[]string
	backlogAt    time.Duration
	steppedAt    time.Duration
	tickedAt     time.Duration
	lag          time.Duration // of the ticks, smoothed
	lateLoggedAt time.Duration
	stepTook     time.Duration // duration of the last pass
	leaving      bool          // the cell is given up after one more commit
	lastCommit   bool          // that commit has been sent
}

// Run owns the cell until the lease is lost, ctx ends or Drop is called.
func (o *Owner) Run(ctx context.Context, lease *election.Lease) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &tenure{
		Owner: o, lease: lease, epoch: lease.Epoch(), ctx: ctx, cancel: cancel,
		inbox: make(chan func(), inboxSize), ready: make(chan struct{}),
	}
	o.publishedLag.Store(0)
	o.backlog.Store(nil) // of an earlier tenure
	o.current.Store(t)
	t.run()
	o.current.CompareAndSwap(t, nil)
	cancel(nil)
	t.calls.Wait()
	o.options.Workers.Disconnect() // the next owner needs the connections
}

// Drop ends the tenure because a higher epoch exists.
func (o *Owner) Drop(reason string) {
	if t := o.current.Load(); t != nil {
		t.cancel(errkind.New(errkind.Fenced, "", "%s", reason))
	}
}

// Backlog counts the waiting works of each queue. It reports false until the records
// of the present tenure are loaded.
func (o *Owner) Backlog() ([]api.QueueBacklog, bool) {
	if b := o.backlog.Load(); b != nil {
		return *b, true
	}
	return nil, false
}

// Stats returns the counters of the present tenure, nil if there is none.
func (o *Owner) Stats() *cell.Stats { return o.stats.Load() }

// SetMembers tells the addresses of the live nodes.
func (o *Owner) SetMembers(addresses []string) { o.members.Store(&addresses) }

// run is the control goroutine of a tenure.
func (t *tenure) run() {
	if !t.load() {
		return
	}
	close(t.ready)
	t.calls.Add(1)
	go func() {
		defer t.calls.Done()
		t.options.Fleet.Run(t.ctx, func(list []cell.WorkerInfo) {
			t.post(func() { t.cell.SetWorkers(list) })
		})
	}()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	t.committedAt = t.options.Clock.Boot()
	due := time.NewTimer(0)
	defer due.Stop()
	armed := true
	for {
		select {
		case <-t.ctx.Done():
			t.abandon()
			return
		case f := <-t.inbox:
			t.advance()
			f()
			t.drain()
			if !armed {
				armed = true
				due.Reset(max(0, t.stepPause()-(t.options.Clock.Boot()-t.steppedAt)))
			}
		case <-due.C:
			armed = false
			t.step()
		case <-tick.C:
			t.noteLag()
			if t.options.Clock.Boot()-t.steppedAt >= t.stepPause() {
				t.step()
			}
		}
	}
}

// noteLag measures how late the ticks are.
func (t *tenure) noteLag() {
	now := t.options.Clock.Boot()
	if t.tickedAt != 0 {
		late := max(0, now-t.tickedAt-tickInterval)
		t.lag += (late - t.lag) / lagMemory
		t.publishedLag.Store(int64(t.lag))
		if t.lag > lateWarning && now-t.lateLoggedAt > lateInterval {
			t.lateLoggedAt = now
			event.OwnerLate.Log(t.options.Logger, "lag_ms", t.lag.Milliseconds(), "pass_us", t.stepTook.Microseconds(), "inbox", len(t.inbox))
		}
	}
	t.tickedAt = now
}

// Warnings of an owner that is late.
const (
	lateWarning  = 5 * time.Millisecond
	lateInterval = time.Second
)

// lagMemory is over how many ticks the lag is smoothed.
const lagMemory = 32

// Lag returns how late the control goroutine is, smoothed over a second or so.
func (o *Owner) Lag() time.Duration { return time.Duration(o.publishedLag.Load()) }

// stepPause returns the time from one pass to the next. Passes take a bounded part
// of the time, so that a slow node still serves calls and pings.
func (t *tenure) stepPause() time.Duration {
	return min(max(stepInterval, stepShare*t.stepTook), maxStepPause)
}

// drain runs what waits in the inbox, so that one pass serves many events.
func (t *tenure) drain() {
	for range inboxSize {
		select {
		case f := <-t.inbox:
			f()
		default:
			return
		}
	}
}

func (t *tenure) advance() { t.cell.Advance(t.options.Clock.Boot(), t.options.Clock.Now()) }

// post runs f on the control goroutine, unless the tenure has ended.
func (t *tenure) post(f func()) {
	select {
	case t.inbox <- f:
	case <-t.ctx.Done():
	}
}

// step lets the core decide and carries its decisions out.
func (t *tenure) step() {
	t.advance()
	t.configure()
	if m := t.members.Load(); m != t.membersSeen {
		t.membersSeen = m
		t.cell.SetAskers(*m)
	}
	now := t.options.Clock.Boot()
	t.steppedAt = now
	t.cell.SetRenewing(now-t.committedAt < unrenewedLimit)
	t.cell.Schedule()
	t.commit(now)
	t.dispatch(t.cell.TakeEffects())
	t.writeLines()
	t.publish(now)
	t.stepTook = t.options.Clock.Boot() - now
}

// configure brings the core to the configuration of this node.
func (t *tenure) configure() {
	if config := t.options.Config(); config != t.config && config != nil {
		t.config = config
		t.cell.Configure(config)
	}
}

// publish makes the backlog and the counters visible to other goroutines.
func (t *tenure) publish(now time.Duration) {
	if now-t.backlogAt < publishInterval {
		return
	}
	t.backlogAt = now
	backlog := t.cell.Backlog()
	t.backlog.Store(&backlog)
	stats := t.cell.Stats()
	t.stats.Store(&stats)
}

// publishInterval is how old the published backlog may be.
const publishInterval = 200 * time.Millisecond

func (t *tenure) writeLines() {
	for _, l := range t.cell.TakeLines() {
		l.Event.Log(t.options.Logger, l.Fields...)
	}
}

// abandon answers everything that waits when the tenure ends.
func (t *tenure) abandon() {
	notRun := errkind.New(errkind.OwnerUnavailable, "", "the owner of the cell has changed")
	unknown := errkind.New(errkind.OutcomeUnknown, "", "the owner of the cell has changed")
	t.cell.Abandon(t.batch, notRun, unknown)
	for {
		select {
		case f := <-t.inbox:
			f()
			t.cell.Abandon(nil, notRun, unknown)
		default:
			return
		}
	}
}

// HandOver writes what waits to be written and gives the cell up, so that another
// node takes it over at once. It returns when that is done or ctx ends.
func (o *Owner) HandOver(ctx context.Context) {
	t := o.current.Load()
	if t == nil {
		return
	}
	select {
	case <-t.ready:
	case <-t.ctx.Done():
		return
	case <-ctx.Done():
		return
	}
	t.post(func() { t.leaving = true })
	select {
	case <-t.ctx.Done():
	case <-ctx.Done():
	}
}

// callSuccessor tells a node that the cell is released. The node would find out by
// itself at its next ping.
func (t *tenure) callSuccessor(address string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), orderTimeout)
	defer cancel()
	if err := t.options.Peers.Call(ctx, address, api.MethodTakeOver, &api.Empty{}, &api.Empty{}); err != nil {
		event.SuccessorNotCalled.Log(t.options.Logger, "to", address, "err", err)
	}
}

// release gives the cell up once nothing waits to be written.
func (t *tenure) release() {
	t.committing = true
	t.goCall(func() {
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
		defer cancel()
		successor := t.options.Successor()
		if err := t.lease.Release(ctx, successor); err != nil {
			event.ReleaseFailed.Log(t.options.Logger, "err", err)
		}
		t.cancel(errkind.New(errkind.ShuttingDown, "", "the cell was given up"))
		if successor != "" {
			t.callSuccessor(successor)
		}
	})
}
