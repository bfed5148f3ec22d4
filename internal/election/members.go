package election

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/rows"
	"github.com/endivehill/endivehill/internal/wire"
)

// outcomeUnknown reports whether a commit that ended with err may have been applied.
func outcomeUnknown(err error) bool {
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
	previous, known := a.members[ping.Address]
	a.members[ping.Address] = newMember(ping, previous, a.now())
	isOwner, epoch := a.isOwner, a.view.Epoch
	a.mu.Unlock()
	pong := &api.OwnerPong{Epoch: epoch, Owner: isOwner, Incarnation: a.options.Holder.Incarnation}
	if !isOwner {
		address, age := a.lastSeenOwner()
		pong.OwnerAgeMs = int(age.Milliseconds())
		if age < ownerAddressMaxAge {
			pong.OwnerAddress = address
		}
		return pong, nil
	}
	if ping.Epoch > epoch {
		a.options.Owner.EndTenure("a node knows a higher epoch")
	}
	list := a.currentMembers(known)
	pong.Standby, pong.Handover = list.standbys, list.handover
	if slices.Contains(pong.Standby, ping.Address) {
		pong.Members = list.addresses
	}
	version, seen := a.options.Config()
	pong.ConfigVersion, pong.ConfigAgeMs = version, int((a.now() - seen).Milliseconds())
	backlog, loaded := a.options.Owner.Backlog()
	pong.Backlog, pong.Loading = backlog, !loaded
	return pong, nil
}

// newMember returns a member that has sent the ping now. previous is the member before that
// ping, nil for none: the start of the same process is not computed again, because each ping
// would give another time, and the order of the standbys would depend on who pinged last. A
// process that has rejected a request is being stopped, also if it sent the ping earlier.
func newMember(ping api.OwnerPing, previous *member, now time.Duration) *member {
	m := &member{ping: ping, lastPingAt: now, advisesTo: now + time.Duration(ping.AdvisesForMs)*time.Millisecond, startedAt: now - time.Duration(ping.UptimeMs)*time.Millisecond}
	if previous != nil && previous.ping.Incarnation == ping.Incarnation {
		m.startedAt, m.rejectsTakeOver = previous.startedAt, previous.rejectsTakeOver
		if ping.Stopping && previous.ping.Stopping {
			m.advisesTo = previous.advisesTo
		}
	}
	return m
}

// memberListMaxAge is how old the member list in an answer may be. Each node pings several
// times a second, and computing the list takes time in proportion to the number of nodes.
const memberListMaxAge = 50 * time.Millisecond

// memberList is what the owner tells other nodes about the nodes of the cell.
type memberList struct {
	addresses  []string                 // of the live nodes, the owner included
	stopping   map[string]time.Duration // see stoppingMembers
	standbys   []string                 // see selectStandbys
	handover   bool
	computedAt time.Duration
}

// currentMembers returns a member list that is at most memberListMaxAge old, or a new one if
// the node that asks was not known. With a new list, it tells the owner the addresses and
// hands the cell over if there is a reason to.
func (a *Agent) currentMembers(known bool) *memberList {
	if list := a.publishedMembers.Load(); known && list != nil && a.now()-list.computedAt < memberListMaxAge {
		return list
	}
	list := &memberList{addresses: a.memberAddresses(), stopping: a.stoppingMembers(), computedAt: a.now()}
	list.standbys, list.handover = a.selectStandbys()
	previous := a.publishedMembers.Swap(list)
	if previous == nil || !slices.Equal(previous.addresses, list.addresses) || !maps.Equal(previous.stopping, list.stopping) {
		a.options.Owner.SetMembers(list.addresses, list.stopping)
	}
	a.maybeHandOver()
	return list
}

// HandleTakeOver serves the request of the owner that this node claims the cell at once. The
// payload of an owner of an earlier release has no epoch. A node that is being stopped rejects
// the request, because it never claims.
func (a *Agent) HandleTakeOver(_ context.Context, payload []byte) (msgp.Marshaler, error) {
	var request api.OwnerPing
	if err := wire.Decode(payload, &request); err != nil {
		return nil, err
	}
	if !a.recordTakeOverRequest(request.Epoch) {
		return nil, errkind.New(errkind.ShuttingDown, "", "the node is being stopped and does not take the cell over")
	}
	a.pingAtOnce()
	return &api.Empty{}, nil
}

// recordTakeOverRequest records the request of the owner of an epoch, unless this node is
// being stopped.
func (a *Agent) recordTakeOverRequest(epoch int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		return false
	}
	a.takeOverRequestedAt, a.takeOverFrom = a.now(), epoch
	return true
}

// pingAtOnce starts the next ping, and the check for a claim, without the rest of the wait.
func (a *Agent) pingAtOnce() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// memberAddresses returns the addresses of the live nodes, this one included.
func (a *Agent) memberAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := append([]string{a.options.Holder.Address}, a.previousMembers(a.now())...)
	for address, m := range a.members {
		switch {
		case a.now()-m.lastPingAt > memberExpiry:
			delete(a.members, address)
		case !m.ping.Stopping && address != a.options.Holder.Address:
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// stoppingMembers returns the addresses of the stopping nodes with the boot time until which
// they make calls to the adviser. A node that has no such call left may end sooner, so one
// that has not pinged lately is left out.
func (a *Agent) stoppingMembers() map[string]time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]time.Duration{}
	for address, m := range a.members {
		if m.ping.Stopping && a.now()-m.lastPingAt <= stoppingPingMaxAge && m.advisesTo > a.now() && address != a.options.Holder.Address {
			out[address] = m.advisesTo
		}
	}
	return out
}

// stoppingPingMaxAge is the age of its last ping up to which a stopping node counts as running.
const stoppingPingMaxAge = 2 * nonStandbyPingInterval

// previousMembers returns the nodes that the previous owner reported, without that
// owner, until the nodes have had time to ping this one.
func (a *Agent) previousMembers(now time.Duration) []string {
	if a.receivedMembersAt == 0 || now-a.receivedMembersAt > memberExpiry/2 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(a.receivedMembers), func(address string) bool { return address == a.receivedMembersFrom })
}

// selectStandbys returns the nodes that should take the cell over if the owner is lost,
// the preferred first, and whether a standby should take the cell over now because this
// node can't reach the table service while another node can. In that case the nodes that
// reach the table service come first, since only they can claim the cell.
func (a *Agent) selectStandbys() ([]string, bool) {
	ownAge := a.now() - a.options.LastStoreAnswer()
	a.mu.Lock()
	defer a.mu.Unlock()
	need := a.need()
	eligible, handover := a.eligibleNodes(need, ownAge)
	var out []string
	for _, m := range eligible[:min(len(eligible), maxStandbys)] {
		strong := float64(m.ping.CpuMillis) >= minRelativeCPU*float64(eligible[0].ping.CpuMillis)
		if strong && m.size().fitness(need) >= minRelativeCPU*eligible[0].size().fitness(need) {
			out = append(out, m.ping.Address)
		}
	}
	return out, handover
}

// eligibleNodes returns the nodes that can take the cell over in the order of
// selectStandbys, and whether one should now. ownAge is the age of the last answer of the
// table service to this node. mu is held.
func (a *Agent) eligibleNodes(need Size, ownAge time.Duration) ([]*member, bool) {
	var eligible []*member
	handover := false
	for _, m := range a.members {
		if !a.mayTakeOver(m) {
			continue
		}
		answeredLater := a.storeAge(m)+storeAnsweredLater <= ownAge
		handover = handover || ownAge > storeLostAfter && a.reachesStore(m) && answeredLater
		eligible = append(eligible, m)
	}
	slices.SortFunc(eligible, func(x, y *member) int { return compareStandby(x, y, need) })
	if handover {
		slices.SortStableFunc(eligible, func(x, y *member) int {
			return cmp.Compare(boolInt(!a.reachesStore(x)), boolInt(!a.reachesStore(y)))
		})
	}
	return eligible, handover
}

// reachesStore reports whether the table service has answered a node within
// storeReachableWithin.
func (a *Agent) reachesStore(m *member) bool { return a.storeAge(m) < storeReachableWithin }

// storeAge returns the time since the table service last answered a node, as far as this node
// knows.
func (a *Agent) storeAge(m *member) time.Duration {
	return time.Duration(m.ping.StoreAgeMs)*time.Millisecond + a.now() - m.lastPingAt
}

// storeStaleAfter is the age of the last answer of the table service above which a node
// may have lost the connection. Nodes that are no standbys call the table service only
// every two seconds.
const storeStaleAfter = 3500 * time.Millisecond

// compareStandby orders nodes that reach the table service first, then by fitness, then by
// CPU, then by start time.
func compareStandby(x, y *member, need Size) int {
	return cmp.Or(
		cmp.Compare(boolInt(x.ping.StoreAgeMs > int(storeStaleAfter.Milliseconds())), boolInt(y.ping.StoreAgeMs > int(storeStaleAfter.Milliseconds()))),
		cmp.Compare(y.size().fitness(need), x.size().fitness(need)),
		cmp.Compare(y.ping.CpuMillis, x.ping.CpuMillis),
		cmp.Compare(x.startedAt, y.startedAt),
		cmp.Compare(x.ping.Address, y.ping.Address),
	)
}

// IsOwnerOrStandby reports whether this node is the owner or a standby. It is also true
// while the standbys are not known or the owner is suspected.
func (a *Agent) IsOwnerOrStandby() bool {
	a.mu.Lock()
	ownsOrSuspects := a.isOwner || a.suspicion.since != 0
	a.mu.Unlock()
	return ownsOrSuspects || a.isStandby()
}

// isStandby reports whether this node is a standby, or the standbys are not known.
func (a *Agent) isStandby() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.standbyAddresses) == 0 || slices.Contains(a.standbyAddresses, a.options.Holder.Address)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
