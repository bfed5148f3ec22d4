package election

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/wire"
)

// pingOwner pings the owner, which registers this node there, and suspects an owner
// that does not answer.
func (a *Agent) pingOwner(ctx context.Context) {
	view, _ := a.View()
	sent := a.now()
	answer := a.pingAndWatch(ctx, view.Address)
	pong, err := answer.pong, answer.err
	switch {
	case err != nil && wire.IsConnectionRefused(err):
		a.suspectRefusingOwner()
	case err != nil:
		if !answer.rowChecked {
			a.checkRowChange(ctx)
		}
		if v, _ := a.View(); v.Address == view.Address && a.now()-v.LastAnswerAt > ownerSuspectAfter {
			a.suspectOwner(false)
		}
	case !pong.Owner || pong.Epoch > view.Epoch:
		a.suspectOwner(false)
	default:
		a.recordPingTime(answer.took)
		a.handlePong(view, pong)
		asOf := sent - time.Duration(pong.ConfigAgeMs)*time.Millisecond
		a.options.OnOwnerConfig(view.Address, pong.ConfigVersion, asOf)
	}
}

// pingAnswer is the answer to a ping of the owner.
type pingAnswer struct {
	pong       *api.OwnerPong
	err        error
	took       time.Duration
	rowChecked bool // the ownership row was read while the ping was pending
}

// pingAndWatch pings a node. If the answer takes longer than slowPingAfter, it reads
// the ownership row meanwhile, because an owner may be replaced only after the row has
// not changed for commitStaleAfter.
func (a *Agent) pingAndWatch(ctx context.Context, address string) pingAnswer {
	answers := make(chan pingAnswer, 1)
	go func() {
		sent := a.now()
		pong, err := a.ping(ctx, address)
		if err != nil && !wire.IsConnectionRefused(err) {
			a.recordUnresponsive(address) // at once, also while the row is read
		}
		answers <- pingAnswer{pong: pong, err: err, took: a.now() - sent}
	}()
	late := clock.NewTimer(slowPingAfter)
	defer late.Stop()
	select {
	case got := <-answers:
		return got
	case <-late.C:
	}
	a.checkRowChange(ctx)
	got := <-answers
	got.rowChecked = true
	return got
}

// recordPingTime updates slowestPing with the time that the owner took to answer a ping.
func (a *Agent) recordPingTime(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slowestPing = max(took, a.slowestPing-a.slowestPing/slowestPingDecay)
}

// recordUnresponsive records that a node did not answer a ping. The connection may have
// stopped delivering data, while a new one would work.
func (a *Agent) recordUnresponsive(address string) {
	a.options.ReportUnanswered(address)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresponsiveAddress, a.unresponsiveAt = address, a.now()
}

// recentlyUnresponsive reports whether a node failed to answer a ping within noAnswerBackoff.
func (a *Agent) recentlyUnresponsive(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unresponsiveAddress == address && a.now()-a.unresponsiveAt < noAnswerBackoff
}

func (a *Agent) ping(ctx context.Context, address string) (*api.OwnerPong, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	view, _ := a.View()
	now := a.now() // read once: hasUsedStore compares the ages
	ping := api.OwnerPing{
		Node: a.options.Holder.Node, Incarnation: a.options.Holder.Incarnation, Address: a.options.Holder.Address,
		Epoch: view.Epoch, StoreAgeMs: int((now - a.options.LastStoreAnswer()).Milliseconds()),
		CpuMillis: a.options.CPUMillis, LinkKbps: a.options.LinkKbps, MemoryMb: a.options.MemoryMB, MaxOpenFiles: a.options.MaxOpenFiles,
		UptimeMs: int((now - a.started).Milliseconds()), Stopping: a.isStopping(),
		AdvisesForMs: int(a.advisesFor().Milliseconds()),
	}
	var pong api.OwnerPong
	if err := a.options.Caller.Call(ctx, address, api.MethodOwnerPing, &ping, &pong); err != nil {
		return nil, err
	}
	return &pong, nil
}

// advisesFor returns how long this node still makes calls to the adviser if it is being
// stopped, otherwise 0.
func (a *Agent) advisesFor() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stopping {
		return 0
	}
	return max(0, a.advisesUntil-a.now())
}

func (a *Agent) isStopping() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stopping
}

// handlePong updates the state from an answer of the owner.
func (a *Agent) handlePong(view View, pong *api.OwnerPong) {
	a.recordContact()
	view.Epoch = pong.Epoch
	view.LastAnswerAt = a.now()
	if !pong.Loading {
		view.Backlog, view.BacklogAt = pong.Backlog, view.LastAnswerAt
	}
	a.setView(view)
	a.mu.Lock()
	a.setStandbys(pong.Standby)
	if len(pong.Members) > 0 {
		a.receivedMembers, a.receivedMembersAt, a.receivedMembersFrom = pong.Members, a.now(), view.Address
	}
	a.suspicion = ownerSuspicion{}
	a.mu.Unlock()
	if pong.Handover {
		a.suspectOwner(true)
	}
}

// setStandbys records the standbys that the owner reported and logs a change of the rank of
// this node among them. mu is held.
func (a *Agent) setStandbys(addresses []string) {
	before := a.standbyRank()
	a.standbyAddresses = addresses
	if rank := a.standbyRank(); rank != before {
		event.StandbyRankChanged.Log(a.options.Logger, "rank", rank, "before", before, "standbys", strings.Join(addresses, ","))
	}
}

// standbyRank returns the rank of this node among the standbys, from 1; 0 if it is no
// standby. mu is held.
func (a *Agent) standbyRank() int {
	return slices.Index(a.standbyAddresses, a.options.Holder.Address) + 1
}

func (a *Agent) suspectOwner(confirmed bool) {
	a.mu.Lock()
	if a.suspicion.since == 0 {
		a.suspicion.since = a.now()
	}
	a.suspicion.confirmed = a.suspicion.confirmed || confirmed
	a.mu.Unlock()
}

// suspectRefusingOwner suspects an owner whose address refuses connections. Its process may
// have ended, or a link may be broken.
func (a *Agent) suspectRefusingOwner() {
	a.suspectOwner(false)
	a.mu.Lock()
	a.suspicion.refused = true
	a.mu.Unlock()
}

// discountPause is called after a wait that began at the given time and takes no longer than
// limit unless the process is paused. It excludes the pause from the time for which the owner
// has been suspected: the nodes that claim the cell earlier than this one may have been paused
// too, such as those on the same host.
func (a *Agent) discountPause(began, limit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if pause := now - began - limit; pause > 0 && a.suspicion.since != 0 {
		a.suspicion.since = min(a.suspicion.since+pause, now)
	}
}

// findOwnerInTable reads the ownership row and follows the owner that the row names if
// that owner answers a ping; otherwise it suspects the owner. It reports whether the row
// was read.
func (a *Agent) findOwnerInTable(ctx context.Context) bool {
	row, ok := a.refreshRow(ctx, readTimeout)
	if ok {
		a.followOwnerOf(ctx, row)
	}
	return ok
}

// followOwnerOf follows or suspects the owner that the ownership row names.
func (a *Agent) followOwnerOf(ctx context.Context, row ownershipRow) {
	if row.version == 0 || row.record.Released || row.record.Address == "" {
		a.suspectOwner(true)
		return
	}
	if row.record.Address == a.options.Holder.Address {
		a.suspectOwner(row.record.Incarnation != a.options.Holder.Incarnation)
		return
	}
	if a.recentlyUnresponsive(row.record.Address) {
		a.suspectOwner(false)
		return
	}
	sent := a.now()
	pong, err := a.ping(ctx, row.record.Address)
	a.discountPause(sent, pingTimeout)
	switch {
	case err == nil && pong.Owner && pong.Epoch == row.record.Epoch:
		a.handlePong(View{Epoch: pong.Epoch, Address: row.record.Address}, pong)
	case err == nil && pong.Incarnation != row.record.Incarnation:
		a.suspectOwner(true)
	case wire.IsConnectionRefused(err):
		a.suspectRefusingOwner()
	default:
		if err != nil {
			a.recordUnresponsive(row.record.Address)
		}
		a.suspectOwner(false)
	}
}

// checkRowChange reads the ownership row to record whether the owner has committed.
func (a *Agent) checkRowChange(ctx context.Context) { a.refreshRow(ctx, staleCheckTimeout) }

// refreshRow reads and records the ownership row. If the table service does not answer
// soon, it asks other nodes for the owner, and returns false if the owner answers or the row
// can't be read.
func (a *Agent) refreshRow(ctx context.Context, timeout time.Duration) (ownershipRow, bool) {
	readCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	read := make(chan rowRead, 1)
	go func() { read <- a.readRow(readCtx) }()
	began := a.now()
	got, arrived := awaitRow(read, peerQueryAfter)
	a.discountPause(began, peerQueryAfter)
	if (!arrived || got.err != nil) && a.findOwnerThroughPeers(ctx) {
		return ownershipRow{}, false
	}
	if !arrived {
		got = <-read
	}
	if got.err != nil {
		a.recordNoContact()
		return ownershipRow{}, false
	}
	a.recordRow(got.row, got.age)
	return got.row, true
}

// awaitRow waits up to limit for a read and reports whether it has ended.
func awaitRow(read <-chan rowRead, limit time.Duration) (rowRead, bool) {
	late := clock.NewTimer(limit)
	defer late.Stop()
	select {
	case got := <-read:
		return got, true
	case <-late.C:
		return rowRead{}, false
	}
}

// recordRow records a read of the ownership row, which is of an age, and when the row last changed.
func (a *Agent) recordRow(row ownershipRow, age time.Duration) {
	a.recordContact()
	a.mu.Lock()
	defer a.mu.Unlock()
	if row.version != a.lastRow.version || a.rowChangedAt == 0 {
		a.lastRow, a.rowChangedAt, a.rowAge = row, a.now(), age
		if a.suspicion.since != 0 {
			a.suspicion.since = a.now() // the commit shows that an owner is live
		}
		if a.view.Address != "" && row.record.Address != a.view.Address {
			a.suspicion.confirmed = false
		}
	}
}
