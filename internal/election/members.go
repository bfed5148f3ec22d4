package election

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/wire"
)

// ambiguous reports whether a commit that ended with err may have been applied.
func ambiguous(err error) bool {
	var conflict *rows.ConflictError
	return !errors.Is(err, ErrLost) && !errors.As(err, &conflict) && !errors.Is(err, rows.ErrUnavailable)
}

// HandlePing answers the ping of another node.
func (a *Agent) HandlePing(_ context.Context, payload []byte) (msgp.Marshaler, error) {
	var ping api.OwnerPing
	if err := wire.Decode(payload, &ping); err != nil {
		return nil, err
	}
	a.mu.Lock()
	a.members[ping.Address] = &member{ping, a.now()}
	leading, epoch := a.leading, a.view.Epoch
	a.mu.Unlock()
	pong := &api.OwnerPong{Epoch: epoch, Owner: leading, Incarnation: a.options.Holder.Incarnation}
	if !leading {
		address, age := a.ownerHeard()
		pong.OwnerAgeMs = int(age.Milliseconds())
		if age < ownerFresh {
			pong.OwnerAddress = address
		}
		return pong, nil
	}
	if ping.Epoch > epoch {
		a.options.Owner.Drop("a node knows a higher epoch")
	}
	a.options.Owner.SetMembers(a.memberAddresses())
	pong.Standby, pong.Handover = a.standbys()
	a.considerStronger()
	if slices.Contains(pong.Standby, ping.Address) {
		pong.Members = a.memberAddresses()
	}
	version, seen := a.options.Config()
	pong.ConfigVersion, pong.ConfigAgeMs = version, int((a.now() - seen).Milliseconds())
	backlog, loaded := a.options.Owner.Backlog()
	pong.Backlog, pong.Loading = backlog, !loaded
	return pong, nil
}

// Successor returns the node that should take the cell over; empty for none.
func (a *Agent) Successor() string {
	if standby, _ := a.standbys(); len(standby) > 0 {
		return standby[0]
	}
	return ""
}

// HandleTakeOver has this node claim the cell at once, as its owner asks.
func (a *Agent) HandleTakeOver(context.Context, []byte) (msgp.Marshaler, error) {
	a.mu.Lock()
	a.asked = a.now()
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return &api.Empty{}, nil
}

// memberAddresses returns the addresses of the live nodes, this one included.
func (a *Agent) memberAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := append([]string{a.options.Holder.Address}, a.inherited(a.now())...)
	for address, m := range a.members {
		switch {
		case a.now()-m.seenAt > memberExpiry:
			delete(a.members, address)
		case !m.ping.Stopping && address != a.options.Holder.Address:
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// inherited returns the nodes that the previous owner knew, until they have had the
// time to ping this one.
func (a *Agent) inherited(now time.Duration) []string {
	if a.toldAt == 0 || now-a.toldAt > memberExpiry/2 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(a.told), func(address string) bool { return address == a.lostOwner })
}

// considerStronger gives the cell to a much stronger node, or to an equal one while
// this one is too slow, once it has owned the cell for a while.
func (a *Agent) considerStronger() {
	lag := a.options.Owner.Lag()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.givingUp || a.now()-a.leadingSince < settleTime {
		return
	}
	for _, m := range a.members {
		if a.now()-m.seenAt > memberExpiry/2 || m.ping.Stopping || m.ping.Address == a.options.Holder.Address {
			continue
		}
		stronger := float64(a.options.CPUMilli) < weakShare*float64(m.ping.CpuMillis)
		equal := float64(m.ping.CpuMillis) >= weakShare*float64(a.options.CPUMilli)
		if stronger || lag > lagLimit && equal {
			event.CellHandedOver.Log(a.options.Logger, "to", m.ping.Node, "lag_ms", lag.Milliseconds())
			a.givingUp = true
			go a.giveTo(m.ping.Address)
			return
		}
	}
}

// giveTo has another node claim the cell. The claim fails the next commit of this
// owner, which is quicker than an orderly release when this node is slow.
func (a *Agent) giveTo(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), giveTimeout)
	defer cancel()
	if err := a.options.Caller.Call(ctx, address, api.MethodTakeOver, &api.Empty{}, &api.Empty{}); err != nil {
		event.SuccessorNotCalled.Log(a.options.Logger, "to", address, "err", err)
	}
	a.mu.Lock()
	a.givingUp, a.leadingSince = false, a.now() // tried again after a while if it fails
	a.mu.Unlock()
}

// giveTimeout bounds the call to the node that is to take the cell over.
const giveTimeout = time.Second

// standbys returns the nodes that should take the cell over, and whether they
// should do so now because this node can't reach the store while they can.
func (a *Agent) standbys() ([]string, bool) {
	ownAge := a.now() - a.options.StoreSeen()
	a.mu.Lock()
	defer a.mu.Unlock()
	var fit []*member
	handover := false
	for _, m := range a.members {
		if m.ping.Stopping || a.now()-m.seenAt > memberExpiry/2 || m.ping.Address == a.options.Holder.Address {
			continue
		}
		age := time.Duration(m.ping.StoreAgeMs)*time.Millisecond + a.now() - m.seenAt
		if ownAge > storeLost && age < storeFresh {
			handover = true
		}
		fit = append(fit, m)
	}
	slices.SortFunc(fit, compareStandby)
	var out []string
	for _, m := range fit[:min(len(fit), maxStandby)] {
		if float64(m.ping.CpuMillis) >= weakShare*float64(fit[0].ping.CpuMillis) {
			out = append(out, m.ping.Address)
		}
	}
	return out, handover
}

// storeOld is the age of the last answer of the store above which a node may have
// lost it. Nodes that are no standbys ask it only every two seconds.
const storeOld = 3500 * time.Millisecond

// compareStandby prefers nodes that reach the store, then strong ones, then those
// that have run the longest.
func compareStandby(x, y *member) int {
	return cmp.Or(
		cmp.Compare(boolInt(x.ping.StoreAgeMs > int(storeOld.Milliseconds())), boolInt(y.ping.StoreAgeMs > int(storeOld.Milliseconds()))),
		cmp.Compare(y.ping.CpuMillis, x.ping.CpuMillis),
		cmp.Compare(y.ping.UptimeMs, x.ping.UptimeMs),
		cmp.Compare(x.ping.Address, y.ping.Address),
	)
}

// Ranked reports whether this node is the owner or one that would take the cell
// over, or the owner is not known.
func (a *Agent) Ranked() bool {
	a.mu.Lock()
	urgent := a.leading || a.suspect.since != 0
	a.mu.Unlock()
	return urgent || a.isStandby()
}

// isStandby reports whether this node should take the cell over if the owner is
// lost, as far as it knows.
func (a *Agent) isStandby() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.standby) == 0 || slices.Contains(a.standby, a.options.Holder.Address)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
