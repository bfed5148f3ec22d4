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
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/settings"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/internal/work"
)

// Timing of the control goroutine.
const (
	tickInterval = 20 * time.Millisecond
	inboxSize    = 4096
)

// taskGrantLimit is how long after the start of its last successful commit the task leases
// may last that an owner grants. A successor that can't reach a worker relies on it.
const taskGrantLimit = 6 * time.Second

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
	// themselves off it since the list before, until ctx ends. The list before the first one
	// is that of an earlier owner, as far as its heartbeats are known.
	Run(ctx context.Context, earlier cell.Heartbeats, onChange func(list []cell.WorkerInfo, departed []cell.WorkerRef))
	// Heartbeats returns those of the last list.
	Heartbeats() cell.Heartbeats
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
	// Evacuations returns the evacuated failure domains, sorted, and the boot time as of which
	// the table service has confirmed them to this node, see entry.Evacuations. Nil if the
	// platform evacuates none; the evacuate time of the settings is then of no effect.
	Evacuations func() (domains []string, confirmedAt time.Duration)
	// Successors returns the addresses of the nodes that should own the cell next, the
	// preferred first.
	Successors func() []string
	// View returns what this node knows about the owner, and a channel that is closed when
	// that changes.
	View   func() (election.View, <-chan struct{})
	Clock  clock.Clock
	Logger log.Logger
}

// lease is the ownership of the cell by this node, see election.Lease.
type lease interface {
	Commit(ctx context.Context, tx *rows.Tx) (rows.Timestamp, error)
	Release(ctx context.Context, successor string, put ...rows.Row) error
	ReleaseUnused(ctx context.Context) error
	PriorCommitAge() (time.Duration, bool)
	PriorOwnerLost() bool
	LeaseEndsEpoch() int
	MaxStoreClockAt(boot time.Duration) int
	WhenStoreClockReaches(readingMs int) (time.Duration, bool)
	MinStoreClockAt(boot time.Duration) int
	BootBeforeStoreClock(readingMs int) (time.Duration, bool)
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
	relay         *adviceRelay
	unsent        atomic.Int64 // see AwaitSent
}

// New returns an owner without a tenure.
func New(o Options) *Owner {
	owner := &Owner{options: o}
	owner.relay = &adviceRelay{options: &owner.options, unsent: &owner.unsent}
	return owner
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
	ended  chan struct{} // closed when the next owner is being sent what it needs

	adviceResults resultBuffer // to be passed to the next owner
	adviceUse     adviceUse
	earlierCalls  earlierCalls
	startTries    startTries

	// The following fields belong to the control goroutine.
	loadedAt           time.Duration
	firstContact       firstContact
	commitInFlight     bool
	ownershipRenewedAt time.Duration // send time of the last successful commit, or of the claim
	renewalWaiters     []renewalWaiter
	commitSentAt       time.Duration
	batchInFlight      *cell.Batch
	savedRunTimes      savedRunTimes
	config             *work.Config
	appliedMembers     *memberNodes
	publishedAt        time.Duration
	passStartedAt      time.Duration
	tickedAt           time.Duration
	lag                time.Duration // of the ticks, exponentially smoothed
	lagLoggedAt        time.Duration
	passDuration       time.Duration    // of the last pass
	handingOver        bool             // the ownership is released after one more commit
	finalCommitSent    bool             // the last commit before the release was started
	releasing          bool             // the release was started; no call that carries a lease is made any more
	recordedReadings   leaseEndReadings // of the stored row that holds
	readingsInFlight   leaseEndReadings // of the row in the last commit that has one
}

// adviceUse counts the advice calls of a tenure and the results of earlier owners.
type adviceUse struct{ callsMade, callsEnded, inherited atomic.Int64 }

// Run runs a tenure until the lease is lost, ctx ends, EndTenure is called or the ownership
// is released.
func (o *Owner) Run(ctx context.Context, lease *election.Lease) {
	o.runTenure(ctx, lease, lease.Epoch())
}

func (o *Owner) runTenure(ctx context.Context, lease lease, epoch int) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &tenure{
		Owner: o, lease: lease, epoch: epoch, ctx: ctx, cancel: cancel,
		inbox: make(chan func(), inboxSize), loaded: make(chan struct{}), ended: make(chan struct{}),
	}
	o.publishedLag.Store(0)
	o.backlog.Store(nil) // drops the backlog of an earlier tenure
	o.currentTenure.Store(t)
	o.relay.begin(t)
	t.run()
	cancel(nil)
	o.relay.end(t)
	o.relay.startPassingCalls(t.callsInFlight(), t.epoch)
	o.currentTenure.CompareAndSwap(t, nil)
	close(t.ended)
	t.calls.Wait()
	o.options.Workers.CloseIdleConnections() // the next owner needs the connections
}

// EndTenure ends the tenure because a higher epoch exists.
func (o *Owner) EndTenure(reason string) {
	if t := o.currentTenure.Load(); t != nil {
		t.cancel(errkind.New(errkind.Fenced, "", "%s", reason))
	}
}

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
	t.runAsync(t.watchWorkers)
	if !t.loadRecords() {
		return
	}
	close(t.loaded)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	t.ownershipRenewedAt = t.lease.ClaimedAt()
	passTimer := time.NewTimer(0)
	defer passTimer.Stop()
	passScheduled := true
	for {
		select {
		case <-t.ctx.Done():
			t.logEnd()
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

// handle runs f and the queued functions, and makes the calls that result from them. These
// do not wait for the next pass, as the starts of tasks that have been recorded.
func (t *tenure) handle(f func()) {
	t.advanceClock()
	t.applyEvacuations()
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

// watchWorkers follows the list of workers. It begins before the records are loaded, so that
// little time passes between the last list of the earlier owner and the first one of this owner.
func (t *tenure) watchWorkers() {
	earlier := t.readHeartbeats(t.ctx)
	t.enqueue(func() { t.cell.WorkersDraining(workersOf(earlier)) })
	t.options.Fleet.Run(t.ctx, earlier, func(list []cell.WorkerInfo, departed []cell.WorkerRef) {
		t.enqueue(func() { t.setWorkers(list, departed) })
	})
}

func (t *tenure) setWorkers(list []cell.WorkerInfo, departed []cell.WorkerRef) {
	if t.firstContact.listed == 0 {
		t.firstContact.listed = len(list)
	}
	t.cell.WorkersDeparted(departed)
	t.cell.SetWorkers(list)
}

// logEnd logs what is left to do when the tenure ends.
func (t *tenure) logEnd() {
	t.cell.LogWaitingTasks()
	t.writeLogLines()
	t.logAdvice()
}

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
