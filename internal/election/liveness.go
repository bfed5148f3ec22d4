package election

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/wire"
)

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
	type answer struct {
		pong *api.OwnerPong
		err  error
	}
	answers := make(chan answer, 1)
	go func() {
		pong, err := a.ping(ctx, address)
		answers <- answer{pong, err}
	}()
	late := clock.NewTimer(slowPing)
	defer late.Stop()
	select {
	case got := <-answers:
		return got.pong, false, got.err
	case <-late.C:
	}
	a.watchRow(ctx)
	got := <-answers
	return got.pong, true, got.err
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
	row, ok := a.lookAtRow(ctx, readTimeout)
	if !ok {
		return
	}
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
func (a *Agent) watchRow(ctx context.Context) { a.lookAtRow(ctx, watchTimeout) }

// lookAtRow reads the ownership row and notes it. If the table service does not answer,
// it looks for the owner through other nodes and reports false.
func (a *Agent) lookAtRow(ctx context.Context, timeout time.Duration) (ownerRow, bool) {
	read, cancel := context.WithTimeout(ctx, timeout)
	row, err := readOwner(read, a.options.Store)
	cancel()
	if err != nil {
		if !a.adoptOwnerOfPeers(ctx) {
			a.noteSilence()
		}
		return ownerRow{}, false
	}
	a.noteRow(row)
	return row, true
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
