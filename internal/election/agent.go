package election

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/wire"
)

// Timing of the election.
const (
	pingInterval     = 100 * time.Millisecond // of a standby
	pingIntervalRest = 300 * time.Millisecond // of the other nodes
	pingTimeout      = 250 * time.Millisecond
	slowPing         = 120 * time.Millisecond // a ping without an answer for so long has the ownership row watched
	silentAfter      = 240 * time.Millisecond // without an answer of the owner
	silentMemory     = 500 * time.Millisecond // an owner that did not answer is not pinged again for so long
	stillAfter       = 300 * time.Millisecond // an owner that has not committed for so long may be replaced
	readTimeout      = 700 * time.Millisecond
	watchTimeout     = 350 * time.Millisecond // to read the ownership row after a ping without an answer
	rankDelay        = 120 * time.Millisecond // between the claims of two standbys
	unrankedDelay    = 400 * time.Millisecond // before a node that is no standby claims
	storeLost        = 400 * time.Millisecond // an owner that has no answer of the store for so long hands over
	storeFresh       = 550 * time.Millisecond // to a node that had one in this time
	memberExpiry     = 2 * time.Second        // a node that has not pinged for so long is forgotten
	maxStandby       = 4
	successorWait    = 500 * time.Millisecond // for the named successor of a released cell
	weakDelay        = 500 * time.Millisecond // before a weak node claims a cell that has no standbys
	weakShare        = 0.6                    // of the strongest node, below which an owner gives the cell to it
	weakCPUMillis    = 300                    // processor share below which a node is weak
	lagLimit         = 8 * time.Millisecond   // an owner that is later gives the cell to another node
	isolatedStill    = 2 * time.Second        // an owner may be replaced by a node that reaches no other one if it has not committed for so long
	settleTime       = 4 * time.Second        // for which an owner keeps the cell at least
)

// Owner is the part of the node that runs the cell while it owns it.
type Owner interface {
	// Run owns the cell until it is lost, released or ctx ends.
	Run(ctx context.Context, lease *Lease)
	// Backlog counts the waiting works of each queue. It reports false until the
	// records are loaded.
	Backlog() ([]api.QueueBacklog, bool)
	// SetMembers tells the addresses of the live nodes, this one included.
	SetMembers(addresses []string)
	// Lag returns how late the control goroutine is.
	Lag() time.Duration
	// HandOver makes Run give the cell up in an orderly way.
	HandOver(ctx context.Context)
	// Drop makes Run return because a higher epoch exists.
	Drop(reason string)
}

// Options configures an Agent.
type Options struct {
	Holder   Holder
	Store    rows.Store
	Caller   wire.Caller
	Drop     func(address string) // ends the connections to a node that does not answer
	Clock    clock.Clock
	Logger   log.Logger
	Owner    Owner
	CPUMilli int
	// Config returns the configuration version of this node and since when it is not
	// known to be the newest.
	Config func() (version int, seen time.Duration)
	// OnOwnerConfig tells the configuration version of the owner and as of when it is
	// the newest.
	OnOwnerConfig func(address string, version int, asOf time.Duration)
	// StoreSeen returns the boot time of the last answer of the table service.
	StoreSeen func() time.Duration
}

// View is what a node knows about the owner.
type View struct {
	Epoch   int
	Address string // of the owner; empty if it is not known or does not answer
	Self    bool
	SeenAt  time.Duration // boot time of the last sign of life
	// Isolated tells that neither the owner nor the table service has answered this
	// node for a while.
	Isolated bool
	// Backlog is what an owner told last, at the boot time BacklogAt; 0 for never.
	Backlog   []api.QueueBacklog
	BacklogAt time.Duration
}

// Agent follows the owner of the cell and takes the cell over when it is lost.
type Agent struct {
	options Options
	started time.Duration

	mu           sync.Mutex
	view         View
	record       ownerRow // last row read
	recordAt     time.Duration
	standby      []string
	told         []string // live nodes, as the owner told last
	toldAt       time.Duration
	lostOwner    string        // address of the last owner that did not answer
	asked        time.Duration // when the owner asked this node to take the cell over; 0 if it did not
	wake         chan struct{} // ends the pause between two pings
	changed      chan struct{} // closed when the view changes
	members      map[string]*member
	leading      bool
	leadingSince time.Duration
	givingUp     bool // the cell is being given to a stronger node
	stopping     bool
	suspect      suspicion
	silent       string // address that did not answer the last ping, at silentAt
	silentAt     time.Duration
	contactAt    time.Duration // last answer of the owner or about its row
	isolated     bool
}

// member is a node that pings the owner.
type member struct {
	ping   api.OwnerPing
	seenAt time.Duration
}

// suspicion is why the owner may be gone.
type suspicion struct {
	since   time.Duration // 0 if there is none
	certain bool          // the owner's process is gone
}

// NewAgent returns an agent; Run starts it.
func NewAgent(o Options) *Agent {
	now := o.Clock.Boot()
	return &Agent{options: o, started: now, contactAt: now, changed: make(chan struct{}), wake: make(chan struct{}, 1), members: map[string]*member{}}
}

// View returns what is known about the owner, and a channel that is closed when
// that changes.
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
		if lease := a.follow(ctx); lease != nil {
			a.lead(ctx, lease)
		}
	}
}

// Stop keeps the node from claiming the cell again.
func (a *Agent) Stop() {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
}

// lead runs the owner.
func (a *Agent) lead(ctx context.Context, lease *Lease) {
	event.CellClaimed.Log(a.options.Logger, "epoch", lease.Epoch())
	a.setView(View{Epoch: lease.Epoch(), Address: a.options.Holder.Address, Self: true, SeenAt: a.now()})
	a.mu.Lock()
	a.leading, a.leadingSince = true, a.now()
	a.mu.Unlock()
	a.options.Owner.SetMembers(a.memberAddresses())
	watch, stop := context.WithCancel(ctx)
	go a.watchContact(watch)
	a.options.Owner.Run(ctx, lease)
	stop()
	a.mu.Lock()
	a.leading, a.givingUp = false, false
	a.suspect = suspicion{}
	a.mu.Unlock()
	a.setView(View{Epoch: lease.Epoch()})
	event.CellLost.Log(a.options.Logger, "epoch", lease.Epoch())
}

// follow follows the owner and returns a lease once this node has claimed the
// cell.
func (a *Agent) follow(ctx context.Context) *Lease {
	for ctx.Err() == nil {
		if a.knowsOwner() {
			a.pingOwner(ctx)
		} else {
			a.readRow(ctx)
		}
		if lease := a.considerClaim(ctx); lease != nil {
			return lease
		}
		clock.Wait(ctx, a.pause(), a.wake)
	}
	return nil
}

// pause returns the time until the next ping. The nodes that would take the cell
// over, and all while the owner is not known to be alive, do not wait long.
func (a *Agent) pause() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	rest := a.suspect.since == 0 && len(a.standby) > 0 && !slices.Contains(a.standby, a.options.Holder.Address)
	if rest {
		return pingIntervalRest
	}
	return pingInterval
}

func (a *Agent) now() time.Duration { return a.options.Clock.Boot() }

func (a *Agent) knowsOwner() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Address != "" && a.suspect.since == 0
}

func (a *Agent) setView(v View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	moved := v.Address != a.view.Address || v.Epoch != a.view.Epoch || v.Self != a.view.Self
	if v.BacklogAt == 0 {
		v.Backlog, v.BacklogAt = a.view.Backlog, a.view.BacklogAt
	}
	a.view = v
	if moved {
		a.signal()
	}
}

// signal wakes those that wait for a change of the view. mu is held.
func (a *Agent) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}
