// Package owner runs the scheduler core of a cell while this node owns the cell. It
// loads the stored records, passes reports of workers, calls of submitters and outcomes
// of commits to the core, and makes the calls that the core decides on. One control
// goroutine holds all state; calls over the network run in other goroutines.
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
	tickInterval      = 20 * time.Millisecond
	minPassSpacing    = 4 * time.Millisecond  // between the starts of two passes; one pass serves all events in between
	minCommitSpacing  = 12 * time.Millisecond // between the starts of two commits
	idleCommitSpacing = 60 * time.Millisecond // between commits that only renew the ownership
	passSpacingFactor = 4                     // passes take at most 1/4 of the time, unless maxPassSpacing is reached
	maxPassSpacing    = 50 * time.Millisecond
	maxPassStretch    = 3.0 // factor by which passes of a node that runs late are further apart
	// taskGrantLimit is how long after the start of its last successful commit the task
	// leases may last that an owner grants. A successor that can't reach a worker relies on it.
	taskGrantLimit  = 6 * time.Second
	notifyTimeout   = 150 * time.Millisecond  // to tell the successor that the ownership is released
	adviceSlack     = 1500 * time.Millisecond // time that an advice call may take beyond its expected time
	loadPageTimeout = 2 * time.Second         // to read a page of the records
	inboxSize       = 4096
	// A node that runs late sees answers late. Without more time for them it would close the
	// connections, and opening new ones costs it more than the calls.
	timeoutLagFactor = 4
	maxLagAllowance  = 600 * time.Millisecond
)

// Workers sends calls to workers. Its methods return when the context ends.
type Workers interface {
	Poll(ctx context.Context, p *cell.Poll) (*cell.Report, error)
	Start(ctx context.Context, s *cell.Start) (outcome cell.StartOutcome, clockMs int64)
	Stop(ctx context.Context, s *cell.Stop) (clockMs int64, err error)
	Throttle(ctx context.Context, throttle *cell.Throttle) error
	// CloseIdleConnections closes the idle connections.
	CloseIdleConnections()
}

// Adviser decides which workers may run a step.
type Adviser interface {
	Advise(ctx context.Context, call *api.AdviceCall) (*api.AdviceAnswer, error)
}

// Fleet watches the list of workers.
type Fleet interface {
	// Run calls onChange with the list of workers, and with those that have taken
	// themselves off it since the list before, until ctx ends.
	Run(ctx context.Context, onChange func(list []cell.WorkerInfo, departed []cell.WorkerRef))
}

// Options configures an Owner.
type Options struct {
	Settings    *settings.Cell
	Store       rows.Store
	Workers     Workers
	Adviser     Adviser // of this node
	Peers       wire.Caller
	Fleet       Fleet
	SelfAddress string // peer address of this node
	Config      func() *work.Config
	// Successor returns the address of the node that should own the cell next; empty
	// for none.
	Successor func() string
	// View returns what this node knows about the owner, and a channel that is closed when
	// that changes.
	View   func() (election.View, <-chan struct{})
	Clock  clock.Clock
	Logger log.Logger
}

// lease is the ownership of the cell by this node, see election.Lease.
type lease interface {
	Commit(ctx context.Context, tx *rows.Tx) (rows.Timestamp, error)
	Release(ctx context.Context, successor string) error
	PriorCommitAge() (time.Duration, bool)
	FirstToken() int
	ClaimedAt() time.Duration
}

// Owner runs the core of the cell during each tenure of this node.
type Owner struct {
	options       Options
	currentTenure atomic.Pointer[tenure]
	backlog       atomic.Pointer[[]api.QueueBacklog]
	stats         atomic.Pointer[cell.Stats]
	members       atomic.Pointer[memberNodes]
	publishedLag  atomic.Int64
	inherited     *inheritedAdvice
}

// New returns an owner without a tenure.
func New(o Options) *Owner {
	return &Owner{options: o, inherited: newInheritedAdvice(o.Clock)}
}

// tenure is the period in which this node owns the cell, with one epoch.
type tenure struct {
	*Owner
	lease  lease
	epoch  int
	cell   *cell.Cell
	inbox  chan func()
	ctx    context.Context
	cancel context.CancelCauseFunc
	calls  sync.WaitGroup
	loaded chan struct{} // closed when the records are loaded

	adviceResults adviceResults // to be passed to the next owner
	startTries    startTries

	// The following fields belong to the control goroutine.
	loadedAt           time.Duration
	firstContact       firstContact
	commitInFlight     bool
	ownershipRenewedAt time.Duration // send time of the last successful commit, or of the claim
	renewalWaiters     []renewalWaiter
	commitSentAt       time.Duration
	batchInFlight      *cell.Batch
	config             *work.Config
	appliedMembers     *memberNodes
	publishedAt        time.Duration
	passStartedAt      time.Duration
	tickedAt           time.Duration
	lag                time.Duration // of the ticks, exponentially smoothed
	lagLoggedAt        time.Duration
	passDuration       time.Duration // of the last pass
	handingOver        bool          // the ownership is released after one more commit
	finalCommitSent    bool          // the last commit before the release was started
}

// Run runs a tenure until the lease is lost, ctx ends, EndTenure is called or the ownership
// is released.
func (o *Owner) Run(ctx context.Context, lease *election.Lease) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &tenure{
		Owner: o, lease: lease, epoch: lease.Epoch(), ctx: ctx, cancel: cancel,
		inbox: make(chan func(), inboxSize), loaded: make(chan struct{}),
	}
	o.publishedLag.Store(0)
	o.backlog.Store(nil) // drops the backlog of an earlier tenure
	o.currentTenure.Store(t)
	t.run()
	o.currentTenure.CompareAndSwap(t, nil)
	cancel(nil)
	go t.passOn(t.adviceResults.valid(o.options.Clock.Boot()))
	t.calls.Wait()
	o.options.Workers.CloseIdleConnections() // the next owner needs the connections
}

// EndTenure ends the tenure because a higher epoch exists.
func (o *Owner) EndTenure(reason string) {
	if t := o.currentTenure.Load(); t != nil {
		t.cancel(errkind.New(errkind.Fenced, "", "%s", reason))
	}
}

// Backlog returns the number of waiting works of each queue. It reports false until
// the first pass after the records of the current tenure are loaded.
func (o *Owner) Backlog() ([]api.QueueBacklog, bool) {
	if b := o.backlog.Load(); b != nil {
		return *b, true
	}
	return nil, false
}

// Stats returns the counters that were published last, nil if none were published yet.
func (o *Owner) Stats() *cell.Stats { return o.stats.Load() }

// memberNodes are the nodes that can call the adviser.
type memberNodes struct {
	addresses []string
	stopping  map[string]time.Duration // until when stopping nodes make calls
}

// SetMembers sets the peer addresses of the live nodes, and of the stopping nodes with the
// boot time until which they make calls to the adviser.
func (o *Owner) SetMembers(addresses []string, stopping map[string]time.Duration) {
	o.members.Store(&memberNodes{addresses, stopping})
}

// run is the loop of the control goroutine.
func (t *tenure) run() {
	if !t.loadRecords() {
		return
	}
	close(t.loaded)
	t.calls.Add(1)
	go func() {
		defer t.calls.Done()
		t.options.Fleet.Run(t.ctx, func(list []cell.WorkerInfo, departed []cell.WorkerRef) {
			t.enqueue(func() { t.setWorkers(list, departed) })
		})
	}()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	t.ownershipRenewedAt = t.lease.ClaimedAt()
	passTimer := time.NewTimer(0)
	defer passTimer.Stop()
	passScheduled := true
	for {
		select {
		case <-t.ctx.Done():
			t.failPendingCalls()
			return
		case f := <-t.inbox:
			t.handle(f)
			if !passScheduled {
				passScheduled = true
				passTimer.Reset(max(0, t.passSpacing()-(t.options.Clock.Boot()-t.passStartedAt)))
			}
		case <-passTimer.C:
			passScheduled = false
			t.runPass()
		case <-tick.C:
			t.measureLag()
			if t.options.Clock.Boot()-t.passStartedAt >= t.passSpacing() {
				t.runPass()
			}
		}
	}
}

// measureLag measures how late ticks are handled.
func (t *tenure) measureLag() {
	now := t.options.Clock.Boot()
	if t.tickedAt != 0 {
		late := max(0, now-t.tickedAt-tickInterval)
		t.lag += (late - t.lag) / lagSmoothingTicks
		t.publishedLag.Store(int64(t.lag))
		if t.lag > lagWarningThreshold && now-t.lagLoggedAt > lagWarningInterval {
			t.lagLoggedAt = now
			event.OwnerLate.Log(t.options.Logger, "lag_ms", t.lag.Milliseconds(), "pass_us", t.passDuration.Microseconds(), "inbox", len(t.inbox))
		}
	}
	t.tickedAt = now
}

// Warnings about the lag of the control goroutine.
const (
	lagWarningThreshold = 5 * time.Millisecond
	lagWarningInterval  = time.Second
)

// lagSmoothingTicks is the number of ticks over which the lag is smoothed.
const lagSmoothingTicks = 32

// Lag returns how late the control goroutine handles its ticks, smoothed over about a
// second.
func (o *Owner) Lag() time.Duration { return time.Duration(o.publishedLag.Load()) }

// passSpacing returns the time between the starts of two passes. Passes take a bounded
// share of the time, so that a slow node still serves calls and pings. The share falls
// while the node runs late: what the calls and pings lack, the passes take, and one pass
// over all that has happened meanwhile costs less than several.
func (t *tenure) passSpacing() time.Duration {
	stretch := min(1+float64(t.lag)/float64(lagWarningThreshold), maxPassStretch)
	spacing := min(passSpacingFactor*t.passDuration, maxPassSpacing)
	return max(minPassSpacing, time.Duration(stretch*float64(spacing)))
}

// handle runs f and the queued functions, and makes the calls that result from them. These
// do not wait for the next pass, as the starts of tasks that have been recorded.
func (t *tenure) handle(f func()) {
	t.advanceClock()
	f()
	t.drainInbox()
	t.dispatch(t.cell.DrainEffects())
}

// drainInbox runs the queued functions, so that one pass serves many events. Each runs at a
// time that was read after it was queued: the process may be paused in between, and a report
// taken for older than it is would put the clock of its worker ahead.
func (t *tenure) drainInbox() {
	for range inboxSize {
		select {
		case f := <-t.inbox:
			t.advanceClock()
			f()
		default:
			return
		}
	}
}

func (t *tenure) advanceClock() { t.cell.Advance(t.options.Clock.Boot(), t.options.Clock.Now()) }

// enqueue queues f for the control goroutine, unless the tenure has ended.
func (t *tenure) enqueue(f func()) {
	select {
	case t.inbox <- f:
	case <-t.ctx.Done():
	}
}

// runPass runs one scheduling pass of the core and starts the commit and the calls
// that result from it.
func (t *tenure) runPass() {
	t.advanceClock()
	t.applyConfig()
	now := t.options.Clock.Boot()
	t.passStartedAt = now
	t.cell.SetLeaseLimit(t.ownershipRenewedAt + taskGrantLimit)
	t.cell.SetCallAllowance(t.lagAllowance())
	t.cell.Schedule()
	t.startCommit(now)
	t.dispatch(t.cell.DrainEffects())
	t.applyMembers(now)
	t.writeLogLines()
	t.publishStats(now)
	t.handingOver = t.handingOver || t.cell.TokensRunOut()
	t.passDuration = t.options.Clock.Boot() - now
}

// applyConfig passes the configuration of this node to the core if it has changed.
func (t *tenure) applyConfig() {
	if config := t.options.Config(); config != t.config && config != nil {
		t.config = config
		t.cell.Configure(config)
	}
}

// applyMembers passes the nodes that can call the adviser to the core if they have
// changed. Before the workers have had time to answer, a long advice call would name only
// the few that have.
func (t *tenure) applyMembers(now time.Duration) {
	if !t.firstContact.complete() && now-t.loadedAt < firstContactTimeout {
		return
	}
	if m := t.members.Load(); m != t.appliedMembers {
		t.appliedMembers = m
		t.cell.SetStoppingNodes(m.stopping)
		t.cell.SetAdviceNodes(m.addresses)
	}
}

func (t *tenure) setWorkers(list []cell.WorkerInfo, departed []cell.WorkerRef) {
	if t.firstContact.listed == 0 {
		t.firstContact.listed = len(list)
	}
	t.cell.WorkersDeparted(departed)
	t.cell.SetWorkers(list)
}

// publishStats publishes the backlog and the counters for other goroutines.
func (t *tenure) publishStats(now time.Duration) {
	if now-t.publishedAt < publishInterval {
		return
	}
	t.publishedAt = now
	backlog := t.cell.Backlog()
	t.backlog.Store(&backlog)
	stats := t.cell.Stats()
	t.stats.Store(&stats)
}

// publishInterval is the time between two publications, and so the age that the
// published backlog may reach.
const publishInterval = 200 * time.Millisecond

func (t *tenure) writeLogLines() {
	for _, l := range t.cell.DrainLogLines() {
		l.Event.Log(t.options.Logger, l.Fields...)
	}
}

// failPendingCalls answers all pending calls with an error when the tenure ends.
func (t *tenure) failPendingCalls() {
	notStored := errkind.New(errkind.OwnerUnavailable, "", "the owner of the cell has changed")
	unknown := errkind.New(errkind.OutcomeUnknown, "", "the owner of the cell has changed")
	t.cell.FailPendingAnswers(t.batchInFlight, notStored, unknown)
	for {
		select {
		case f := <-t.inbox:
			f()
			t.cell.FailPendingAnswers(nil, notStored, unknown)
		default:
			return
		}
	}
}

// HandOver commits the pending changes and releases the ownership, so that another node
// can take over the cell at once. It returns when the tenure or ctx has ended.
func (o *Owner) HandOver(ctx context.Context) {
	t := o.currentTenure.Load()
	if t == nil {
		return
	}
	select {
	case <-t.loaded:
	case <-t.ctx.Done():
		return
	case <-ctx.Done():
		return
	}
	t.enqueue(func() { t.handingOver = true })
	select {
	case <-t.ctx.Done():
	case <-ctx.Done():
	}
}

// notifySuccessor tells the successor that the ownership is released. Without the call
// the successor would find out at its next ping.
func (t *tenure) notifySuccessor(address string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), notifyTimeout)
	defer cancel()
	if err := t.options.Peers.Call(ctx, address, api.MethodTakeOver, &api.Empty{}, &api.Empty{}); err != nil {
		event.SuccessorCallFailed.Log(t.options.Logger, "to", address, "err", err)
	}
}

// releaseOwnership releases the ownership and ends the tenure. It is called once all
// changes are committed.
func (t *tenure) releaseOwnership() {
	t.commitInFlight = true
	t.runAsync(func() {
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
		defer cancel()
		successor := t.options.Successor()
		if err := t.lease.Release(ctx, successor); err != nil {
			event.ReleaseFailed.Log(t.options.Logger, "err", err)
		}
		t.cancel(errkind.New(errkind.ShuttingDown, "", "the ownership of the cell was released"))
		if successor != "" {
			t.notifySuccessor(successor)
		}
	})
}
