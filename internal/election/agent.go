package election

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/wire"
)

// Intervals, timeouts and thresholds of the election.
const (
	standbyPingInterval    = 100 * time.Millisecond // of a standby node
	nonStandbyPingInterval = 300 * time.Millisecond // of a node that is no standby
	pingTimeout            = 250 * time.Millisecond
	// slowPingAfter is how long a ping may be pending before the ownership row is checked.
	slowPingAfter = 120 * time.Millisecond
	// ownerSuspectAfter is how long an owner may give no answer before it is suspected.
	ownerSuspectAfter = 240 * time.Millisecond
	// noAnswerBackoff is the delay before an owner that did not answer a ping is pinged
	// again.
	noAnswerBackoff = 500 * time.Millisecond
	// commitStaleAfter is the time without a change of its row after which an owner may be
	// replaced.
	commitStaleAfter = 300 * time.Millisecond
	// refusedStaleAfter replaces commitStaleAfter for an owner whose address refuses
	// connections. It leaves an owner without work the time for a commit.
	refusedStaleAfter = 110 * time.Millisecond
	// staleAfterPings is the time without a change of its row after which an owner may be
	// replaced, in multiples of the slowest of its recent pings, if that is longer than
	// commitStaleAfter. An overloaded owner answers late, and another node would not carry
	// the same load better.
	staleAfterPings   = 4
	slowestPingDecay  = 32                     // the slowest recent ping loses this part with each ping
	readTimeout       = 700 * time.Millisecond // to read the ownership row
	staleCheckTimeout = 350 * time.Millisecond // to read the ownership row after a late or failed ping
	// claimRankDelay is the claim delay for each rank in the list of standbys, and the
	// range of the random delays of other nodes.
	claimRankDelay       = 120 * time.Millisecond
	nonStandbyClaimDelay = 400 * time.Millisecond // claim delay of a node that is no standby
	// storeLostAfter is the time without an answer of the table service after which an
	// owner hands over.
	storeLostAfter = 400 * time.Millisecond
	// storeReachableWithin is the greatest age of the last answer of the table service at
	// which a node can take over from an owner that has lost the table service.
	storeReachableWithin = 550 * time.Millisecond
	// storeAnsweredLater is how much later than the owner that node must have had its last
	// answer. In an outage of the table service all last answers are of the same time.
	storeAnsweredLater = 100 * time.Millisecond
	memberExpiry       = 2 * time.Second // a node that has not pinged the owner for this long is removed
	maxStandbys        = 4
	// successorWait is the claim delay of other nodes while a released cell has a named
	// successor.
	successorWait = 500 * time.Millisecond
	// weakNodeClaimDelay is the additional claim delay of a weak node that is not in the
	// list of standbys.
	weakNodeClaimDelay = 500 * time.Millisecond
	// minRelativeCPU is the least CPU of an owner relative to any other node, and of a
	// standby relative to the strongest node. An owner with less hands over to a stronger
	// node.
	minRelativeCPU = 0.6
	weakCPUMillis  = 300                  // CPU, in thousandths of a core, below which a node is weak
	maxOwnerLag    = 8 * time.Millisecond // an owner with a higher lag hands over to another node
	// isolatedCommitStaleAfter replaces commitStaleAfter at a node that is no standby or
	// that no peer answers.
	isolatedCommitStaleAfter = 2 * time.Second
	minTenure                = 4 * time.Second  // minimum time between a claim and a voluntary handover
	laggingTenure            = 30 * time.Second // the same because of lag, for an owner that was asked to take over
)

// Owner runs the cell while this node owns it.
type Owner interface {
	// Run owns the cell until it is lost, released or ctx ends.
	Run(ctx context.Context, lease *Lease)
	// Backlog returns the number of waiting works of each queue, and false until
	// the records are loaded.
	Backlog() ([]api.QueueBacklog, bool)
	// SetMembers sets the addresses of the live nodes, this one included, and of the stopping
	// nodes with the boot time until which they make calls to the adviser.
	SetMembers(addresses []string, stopping map[string]time.Duration)
	// Lag returns the delay with which the control goroutine of the owner runs.
	Lag() time.Duration
	// HandOver makes Run finish its commits and release the cell.
	HandOver(ctx context.Context)
	// EndTenure makes Run return at once because a higher epoch exists.
	EndTenure(reason string)
}

// Options configures an Agent.
type Options struct {
	Holder           Holder
	Store            rows.Store
	Caller           wire.Caller
	ReportUnanswered func(address string) // tells the caller that a node did not answer a ping
	Clock            clock.Clock
	Logger           log.Logger
	Owner            Owner
	CPUMillis        int
	// LinkKbps, MemoryMB and MaxOpenFiles are the further sizes of this node; 0 if not known.
	LinkKbps, MemoryMB, MaxOpenFiles int
	// Load returns the load that the owner on this node knows, all zero for none. It is called
	// for each commit and must not block. Nil if nothing is known.
	Load func() Load
	// Config returns the configuration version of this node and the last boot time at
	// which that version was known to be the newest.
	Config func() (version int, seen time.Duration)
	// OnOwnerConfig is called with the address and configuration version of the owner
	// and the boot time as of which the owner knew that version to be the newest.
	OnOwnerConfig func(address string, version int, asOf time.Duration)
	// LastStoreAnswer returns the boot time of the last answer of the table service.
	LastStoreAnswer func() time.Duration
}

// View is what a node knows about the owner.
type View struct {
	Epoch        int
	Address      string // of the last known owner, also while it does not answer; empty if none is known
	Self         bool
	LastAnswerAt time.Duration // boot time of the last answer of the owner
	// Isolated is set if neither the owner nor the table service has answered this
	// node within isolatedAfter; at the owner, if neither another node has pinged it
	// nor the table service has answered within that time.
	Isolated bool
	// Backlog is the backlog last reported by an owner, at the boot time BacklogAt; 0 for never.
	Backlog   []api.QueueBacklog
	BacklogAt time.Duration
}

// Agent monitors the owner of the cell by pings and claims the cell when the owner
// is lost.
type Agent struct {
	options Options
	started time.Duration

	mu                  sync.Mutex
	view                View
	lastRow             ownershipRow  // ownership row as last read
	rowChangedAt        time.Duration // when a read first returned lastRow; 0 if the row must be read again
	rowAge              time.Duration // least age of lastRow at rowChangedAt, see rowAge
	standbyAddresses    []string
	receivedMembers     []string // live nodes as last reported by the owner
	receivedMembersAt   time.Duration
	receivedMembersFrom string        // address of the owner that reported receivedMembers
	takeOverRequestedAt time.Duration // when the owner asked this node to take the cell over; 0 if there is no request
	takeOverFrom        int           // epoch of that owner; 0 if it did not tell
	wake                chan struct{} // starts the next ping at once
	changed             chan struct{} // closed when the view changes
	members             map[string]*member
	publishedMembers    atomic.Pointer[memberList] // nil before the first ping of a tenure
	isOwner             bool
	load                *loadRecord // of the tenure of this node; nil for none
	handovers           handoverRequests
	unfitReported       bool // in this tenure
	ownerSince          time.Duration
	askedToTakeOver     bool // this owner claimed the cell because the previous one asked it to
	handingOver         bool // another node has been asked to take the cell over
	stopping            bool
	advisesUntil        time.Duration // see Stop
	suspicion           ownerSuspicion
	unresponsiveAddress string // of the node that last failed to answer a ping, at unresponsiveAt
	unresponsiveAt      time.Duration
	slowestPing         time.Duration // slowest of the recent answered pings of the owner
	// lastContact is the time of the last answer of the owner or of the table service; at
	// the owner it is also updated by the pings of other nodes.
	lastContact time.Duration
	isolated    bool
}

// member is a node that has pinged this one.
type member struct {
	ping       api.OwnerPing
	lastPingAt time.Duration
	advisesTo  time.Duration // until when a stopping node makes calls to the adviser
	startedAt  time.Duration // when the process of the node started, by its first ping
	// rejectsTakeOver is set once the process has rejected a request to take the cell over.
	rejectsTakeOver bool
}

// ownerSuspicion tells since when the owner is suspected to be lost.
type ownerSuspicion struct {
	since     time.Duration // 0 if the owner is not suspected
	confirmed bool          // the owner has ended, released the cell or requested a handover
	refused   bool          // the address of the owner refuses connections
}

// NewAgent returns an agent; Run starts it.
func NewAgent(o Options) *Agent {
	now := o.Clock.Boot()
	return &Agent{options: o, started: now, lastContact: now, changed: make(chan struct{}), wake: make(chan struct{}, 1), members: map[string]*member{}}
}

// View returns what is known about the owner, and a channel that is closed when
// the owner, its epoch or the isolation of this node changes.
func (a *Agent) View() (View, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.view
	v.Isolated = a.isolated
	return v, a.changed
}

// Run takes part in the election until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if lease := a.followOwner(ctx); lease != nil {
			a.runOwner(ctx, lease)
		}
	}
}

// Stop prevents further claims by this node, which makes calls to the adviser until the boot
// time advisesUntil. It tells the owner at once, so that the owner names another successor, and
// passes an unserved request to take the cell over to another node.
func (a *Agent) Stop(advisesUntil time.Duration) {
	a.mu.Lock()
	a.stopping, a.advisesUntil = true, advisesUntil
	a.mu.Unlock()
	a.pingAtOnce()
	if from := a.takeUnservedRequest(); from != 0 {
		go a.passRequestOn(from)
	}
}

// runOwner runs the cell under the lease until the cell is lost or released. A cell that was
// claimed after the stop of this node began is released at once.
func (a *Agent) runOwner(ctx context.Context, lease *Lease) {
	a.logClaim(lease.Epoch())
	if a.beginTenure(lease) {
		a.runTenure(ctx, lease)
	} else {
		a.releaseUnused(ctx, lease)
	}
	a.mu.Lock()
	a.isOwner, a.handingOver = false, false
	a.suspicion = ownerSuspicion{}
	a.mu.Unlock()
	a.setView(View{Epoch: lease.Epoch()})
	event.CellLost.Log(a.options.Logger, "epoch", lease.Epoch())
}

// beginTenure makes this node the owner, unless it is being stopped.
func (a *Agent) beginTenure(lease *Lease) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		return false
	}
	a.updateView(View{Epoch: lease.Epoch(), Address: a.options.Holder.Address, Self: true, LastAnswerAt: a.now()})
	a.isOwner, a.ownerSince = true, a.now()
	a.load, a.unfitReported = lease.measureLoad(a.options.Load), false
	a.handovers = handoverRequests{priorIncarnation: lease.priorIncarnation, priorFrom: a.ownerSince + minTenure}
	return true
}

// runTenure runs the owner until the cell is lost or released.
func (a *Agent) runTenure(ctx context.Context, lease *Lease) {
	a.publishedMembers.Store(nil) // the list of an earlier tenure is not in use any more
	a.options.Owner.SetMembers(a.memberAddresses(), a.stoppingMembers())
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go a.watchContact(watchCtx)
	a.options.Owner.Run(ctx, lease)
}

// releaseUnused releases a cell that this node does not run. It names no successor, because
// the other nodes have not pinged this one.
func (a *Agent) releaseUnused(ctx context.Context, lease *Lease) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := lease.Release(ctx, ""); err != nil {
		event.ReleaseFailed.Log(a.options.Logger, "err", err)
	}
}

// OwnsCell reports whether this node owns the cell, from the claim until the tenure has ended.
func (a *Agent) OwnsCell() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isOwner
}

// logClaim logs a claim and what it waited for.
func (a *Agent) logClaim(epoch int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var suspected, unchanged time.Duration // 0 for an owner that is not suspected and a row that was not read
	if a.suspicion.since != 0 {
		suspected = a.now() - a.suspicion.since
	}
	if a.rowChangedAt != 0 {
		unchanged = a.now() - a.rowChangedAt
	}
	event.CellClaimed.Log(a.options.Logger, "epoch", epoch, "rank", a.standbyRank(), "standbys", len(a.standbyAddresses),
		"asked", a.askedToTakeOver, "suspected_ms", suspected.Milliseconds(), "row_unchanged_ms", unchanged.Milliseconds(),
		"slowest_ping_ms", a.slowestPing.Milliseconds())
}

// followOwner monitors the owner and returns a lease once this node has claimed the
// cell.
func (a *Agent) followOwner(ctx context.Context) *Lease {
	for ctx.Err() == nil {
		if a.knowsOwner() {
			a.pingOwner(ctx)
		} else {
			a.findOwnerInTable(ctx)
		}
		if lease := a.maybeClaim(ctx); lease != nil {
			return lease
		}
		a.awaitNextPing(ctx)
	}
	return nil
}

// awaitNextPing waits until the next ping is due.
func (a *Agent) awaitNextPing(ctx context.Context) {
	delay := a.pingDelay()
	defer a.discountPause(a.now(), delay)
	clock.Wait(ctx, delay, a.wake)
}

// pingDelay returns the time until the next ping. Standbys, and all nodes while the
// owner is suspected, ping at the shorter interval.
func (a *Agent) pingDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	notStandby := a.suspicion.since == 0 && len(a.standbyAddresses) > 0 && !slices.Contains(a.standbyAddresses, a.options.Holder.Address)
	if notStandby {
		return nonStandbyPingInterval
	}
	return standbyPingInterval
}

func (a *Agent) now() time.Duration { return a.options.Clock.Boot() }

func (a *Agent) knowsOwner() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Address != "" && a.suspicion.since == 0
}

func (a *Agent) setView(v View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateView(v)
}

// updateView replaces the view. mu is held.
func (a *Agent) updateView(v View) {
	ownerChanged := v.Address != a.view.Address || v.Epoch != a.view.Epoch || v.Self != a.view.Self
	if v.BacklogAt == 0 {
		v.Backlog, v.BacklogAt = a.view.Backlog, a.view.BacklogAt
	}
	a.view = v
	if ownerChanged {
		a.notifyViewChanged()
	}
}

// notifyViewChanged wakes the callers that wait for a change of the view. mu is held.
func (a *Agent) notifyViewChanged() {
	close(a.changed)
	a.changed = make(chan struct{})
}
