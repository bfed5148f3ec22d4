package election

import (
	"context"
	"math/rand/v2"
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

// pingOwner tells the owner about this node and hears whether it is alive.
func (a *Agent) pingOwner(ctx context.Context) {
	view, _ := a.View()
	sent := a.now()
	pong, watched, err := a.pingAndWatch(ctx, view.Address)
	switch {
	case err != nil && wire.IsRefused(err):
		a.suspectOwner(true)
	case err != nil:
		a.noteUnanswered(view.Address)
		if !watched {
			a.watchRow(ctx)
		}
		if v, _ := a.View(); v.Address == view.Address && a.now()-v.SeenAt > silentAfter {
			a.suspectOwner(false)
		}
	case !pong.Owner || pong.Epoch > view.Epoch:
		a.suspectOwner(false)
	default:
		a.heard(view, pong)
		asOf := sent - time.Duration(pong.ConfigAgeMs)*time.Millisecond
		a.options.OnOwnerConfig(view.Address, pong.ConfigVersion, asOf)
	}
}

// pingAndWatch pings a node. If the answer is late, the ownership row is watched
// meanwhile, since an owner may be replaced only after that has not changed for a while.
func (a *Agent) pingAndWatch(ctx context.Context, address string) (pong *api.OwnerPong, watched bool, err error) {
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		pong, err = a.ping(ctx, address)
	}()
	clock.Wait(ctx, slowPing, answered)
	if !isClosed(answered) {
		watched = true
		a.watchRow(ctx)
	}
	<-answered
	return pong, watched, err
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// noteUnanswered notes that a node did not answer a ping.
func (a *Agent) noteUnanswered(address string) {
	a.options.Drop(address)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent, a.silentAt = address, a.now()
}

// unanswered reports whether a node did not answer a ping a moment ago.
func (a *Agent) unanswered(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silent == address && a.now()-a.silentAt < silentMemory
}

func (a *Agent) ping(ctx context.Context, address string) (*api.OwnerPong, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	view, _ := a.View()
	ping := api.OwnerPing{
		Node: a.options.Holder.Node, Incarnation: a.options.Holder.Incarnation, Address: a.options.Holder.Address,
		Epoch: view.Epoch, StoreAgeMs: int((a.now() - a.options.StoreSeen()).Milliseconds()),
		CpuMillis: a.options.CPUMilli, UptimeMs: int((a.now() - a.started).Milliseconds()), Stopping: a.isStopping(),
	}
	var pong api.OwnerPong
	if err := a.options.Caller.Call(ctx, address, api.MethodOwnerPing, &ping, &pong); err != nil {
		return nil, err
	}
	return &pong, nil
}

func (a *Agent) isStopping() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopping
}

// heard takes a sign of life of the owner.
func (a *Agent) heard(view View, pong *api.OwnerPong) {
	a.noteContact()
	view.Epoch = pong.Epoch
	view.SeenAt = a.now()
	if !pong.Loading {
		view.Backlog, view.BacklogAt = pong.Backlog, view.SeenAt
	}
	a.setView(view)
	a.mu.Lock()
	a.standby = pong.Standby
	if len(pong.Members) > 0 {
		a.told, a.toldAt, a.lostOwner = pong.Members, a.now(), view.Address
	}
	a.suspect = suspicion{}
	a.mu.Unlock()
	if pong.Handover {
		a.suspectOwner(true)
	}
}

func (a *Agent) suspectOwner(certain bool) {
	a.mu.Lock()
	if a.suspect.since == 0 {
		a.suspect.since = a.now()
	}
	a.suspect.certain = a.suspect.certain || certain
	a.mu.Unlock()
}

// readRow reads who owns the cell, and adopts an owner that answers.
func (a *Agent) readRow(ctx context.Context) {
	read, cancel := context.WithTimeout(ctx, readTimeout)
	row, err := readOwner(read, a.options.Store)
	cancel()
	if err != nil {
		if !a.adoptOwnerOfPeers(ctx) {
			a.noteSilence()
		}
		return
	}
	a.noteRow(row)
	if row.version == 0 || row.record.Released || row.record.Address == "" {
		a.suspectOwner(true)
		return
	}
	if row.record.Address == a.options.Holder.Address {
		a.suspectOwner(row.record.Incarnation != a.options.Holder.Incarnation)
		return
	}
	if a.unanswered(row.record.Address) {
		a.suspectOwner(false)
		return
	}
	pong, err := a.ping(ctx, row.record.Address)
	switch {
	case err == nil && pong.Owner && pong.Epoch == row.record.Epoch:
		a.heard(View{Epoch: pong.Epoch, Address: row.record.Address}, pong)
	case err == nil && pong.Incarnation != row.record.Incarnation:
		a.suspectOwner(true)
	case wire.IsRefused(err):
		a.suspectOwner(true)
	default:
		if err != nil {
			a.noteUnanswered(row.record.Address)
		}
		a.suspectOwner(false)
	}
}

// watchRow begins to watch whether the owner commits.
func (a *Agent) watchRow(ctx context.Context) {
	read, cancel := context.WithTimeout(ctx, watchTimeout)
	row, err := readOwner(read, a.options.Store)
	cancel()
	if err != nil {
		if !a.adoptOwnerOfPeers(ctx) {
			a.noteSilence()
		}
		return
	}
	a.noteRow(row)
}

// noteRow notes when the ownership row last changed.
func (a *Agent) noteRow(row ownerRow) {
	a.noteContact()
	a.mu.Lock()
	defer a.mu.Unlock()
	if row.version != a.record.version || a.recordAt == 0 {
		a.record, a.recordAt = row, a.now()
		if a.suspect.since != 0 {
			a.suspect.since = a.now() // somebody commits
		}
		if a.view.Address != "" && row.record.Address != a.view.Address {
			a.suspect.certain = false
		}
	}
}

// considerClaim claims the cell if the owner is gone and it is this node's turn.
func (a *Agent) considerClaim(ctx context.Context) *Lease {
	a.mu.Lock()
	s, stopping := a.suspect, a.stopping
	a.mu.Unlock()
	if stopping {
		return nil
	}
	if lease := a.takeOver(ctx); lease != nil || s.since == 0 {
		return lease
	}
	a.readRow(ctx)
	a.mu.Lock()
	s = a.suspect
	row, unchanged := a.record, a.now()-a.recordAt
	read := a.recordAt != 0
	a.mu.Unlock()
	if s.since == 0 || !read {
		return nil
	}
	if !s.certain && !a.mayReplace(ctx, row, unchanged) {
		return nil
	}
	if a.now()-s.since < a.turn(row) {
		return nil
	}
	return a.claim(ctx, row)
}

// takeOver claims the cell if its owner has asked this node to. The owner may commit
// between the read and the claim, so it is tried a few times.
func (a *Agent) takeOver(ctx context.Context) *Lease {
	a.mu.Lock()
	asked := a.asked
	a.asked = 0
	a.mu.Unlock()
	if asked == 0 || a.now()-asked > takeOverAge {
		return nil
	}
	for range takeOverTries {
		read, cancel := context.WithTimeout(ctx, readTimeout)
		row, err := readOwner(read, a.options.Store)
		cancel()
		if err != nil {
			return nil
		}
		if lease := a.claim(ctx, row); lease != nil {
			return lease
		}
	}
	return nil
}

// Bounds of a claim that the owner has asked for.
const (
	takeOverAge   = time.Second
	takeOverTries = 4
)

// mayReplace reports whether a silent owner may be replaced. A node that is the only
// one not to hear the owner leaves it alone, and one that is no standby leaves it to
// those for long.
func (a *Agent) mayReplace(ctx context.Context, row ownerRow, unchanged time.Duration) bool {
	if unchanged < stillAfter || !a.isStandby() && unchanged < isolatedStill {
		return false
	}
	hear, reached := a.othersHearOwner(ctx, row.record.Address)
	return !hear && (reached || unchanged >= isolatedStill)
}

// turn returns how long this node waits before it claims the cell.
func (a *Agent) turn(row ownerRow) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if row.record.Released && row.record.Successor != "" {
		if row.record.Successor == a.options.Holder.Address {
			return 0
		}
		return successorWait
	}
	if i := slices.Index(a.standby, a.options.Holder.Address); i >= 0 {
		return time.Duration(i) * rankDelay
	}
	if len(a.standby) == 0 {
		delay := time.Duration(rand.Int64N(int64(rankDelay)))
		if a.options.CPUMilli < weakCPUMillis {
			delay += weakDelay
		}
		return delay
	}
	delay := unrankedDelay + time.Duration(rand.Int64N(int64(rankDelay)))
	if a.options.CPUMilli < weakCPUMillis {
		delay += weakDelay
	}
	return delay
}

func (a *Agent) claim(ctx context.Context, row ownerRow) *Lease {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, commitTimeout)
		lease, err := claim(try, a.options.Store, a.options.Holder, row)
		cancel()
		if err == nil {
			return lease
		}
		event.ClaimFailed.Log(a.options.Logger, "epoch", row.record.Epoch+1, "err", err)
		if !ambiguous(err) {
			a.resetSuspicion()
			return nil
		}
		// The claim may have been applied, so the same one is tried again.
	}
	return nil
}

// resetSuspicion starts anew from the row.
func (a *Agent) resetSuspicion() {
	a.mu.Lock()
	a.suspect = suspicion{}
	a.recordAt = 0
	a.mu.Unlock()
	a.setView(View{Epoch: a.view.Epoch})
}
