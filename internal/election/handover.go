package election

import (
	"cmp"
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// Times of a handover by an owner that isn't fit.
const (
	// unfitHandoverAfter is the time after the claim from which on the owner hands over. By
	// then the other nodes have pinged it.
	unfitHandoverAfter = 300 * time.Millisecond
	// handoverRetryDelay is the time between the first and the second request; it doubles with
	// each further one up to minTenure.
	handoverRetryDelay = time.Second
)

// handoverRequests are the requests of one tenure that another node take the cell over because
// the owner isn't fit.
type handoverRequests struct {
	lastAt   time.Duration
	askedAt  map[string]time.Duration // boot time of the last request, by the address asked
	count    int
	rejected bool // the last request was rejected, so that another node may be asked at once
	// The process that owned the cell before is asked only from priorFrom on, as by the other
	// rules: it may lose the cell for the same reason again, such as a bad path to the table
	// service. A new process at its address is asked like any other.
	priorIncarnation string
	priorFrom        time.Duration // boot time
}

// ownedTooRecently reports whether a node is not asked yet because it owned the cell before.
func (h *handoverRequests) ownedTooRecently(m *member, now time.Duration) bool {
	return m.ping.Incarnation == h.priorIncarnation && now < h.priorFrom
}

// nextAt returns when the next request may be sent in a tenure that began at the given time.
func (h *handoverRequests) nextAt(ownerSince time.Duration) time.Duration {
	if h.count == 0 || h.rejected {
		return ownerSince + unfitHandoverAfter
	}
	const maxDoublings = 2 // of handoverRetryDelay, which then equals minTenure
	return h.lastAt + min(handoverRetryDelay<<min(h.count-1, maxDoublings), minTenure)
}

func (h *handoverRequests) record(address string, now time.Duration) {
	if h.askedAt == nil {
		h.askedAt = map[string]time.Duration{}
	}
	h.askedAt[address], h.lastAt = now, now
	if !h.rejected || h.count == 0 {
		h.count++
	}
	h.rejected = false
}

// size returns the size of this node.
func (a *Agent) size() Size {
	return Size{CPUMillis: a.options.CPUMillis, LinkKbps: a.options.LinkKbps, MemoryMB: a.options.MemoryMB, MaxOpenFiles: a.options.MaxOpenFiles}
}

// size returns the size of a node by its last ping.
func (m *member) size() Size {
	return Size{CPUMillis: m.ping.CpuMillis, LinkKbps: m.ping.LinkKbps, MemoryMB: m.ping.MemoryMb, MaxOpenFiles: m.ping.MaxOpenFiles}
}

// need returns the size that the owner of the cell needs, as far as this owner knows. mu is
// held.
func (a *Agent) need() Size { return needOf(a.load.at(a.now()), 1+len(a.members)) }

// maybeHandOver hands the cell over to a fitter node if this one isn't fit, otherwise to one
// with more CPU or less lag.
func (a *Agent) maybeHandOver() {
	lag, storeAge := a.options.Owner.Lag(), a.now()-a.options.LastStoreAnswer()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.handingOver {
		return
	}
	need := a.need()
	if !a.handOverToFitter(need, storeAge) {
		a.handOverToStronger(need, lag)
	}
}

// handOverToStronger hands the cell over, once this node has owned it for minTenure, to a node
// that is no less fit and has much more CPU, or similar CPU while the lag of this owner exceeds
// maxOwnerLag. An owner that was itself asked to take the cell over does not hand it over
// because of lag for laggingTenure: if one node after the other lags, the load of the cell is
// the cause, and each takeover adds to it. mu is held.
func (a *Agent) handOverToStronger(need Size, lag time.Duration) {
	tenure := a.now() - a.ownerSince
	if tenure < minTenure {
		return
	}
	lagging := lag > maxOwnerLag && (!a.askedToTakeOver || tenure >= laggingTenure)
	for _, m := range a.members {
		if !a.mayTakeOver(m) || m.size().fitness(need) < a.size().fitness(need) {
			continue
		}
		stronger := float64(a.options.CPUMillis) < minRelativeCPU*float64(m.ping.CpuMillis)
		similar := float64(m.ping.CpuMillis) >= minRelativeCPU*float64(a.options.CPUMillis)
		if stronger || lagging && similar {
			event.CellHandedOver.Log(a.options.Logger, "to", m.ping.Node, "lag_ms", lag.Milliseconds())
			a.askToTakeOver(m)
			return
		}
	}
}

// mayTakeOver reports whether a node other than this one has pinged lately and isn't stopping.
// mu is held.
func (a *Agent) mayTakeOver(m *member) bool {
	return a.now()-m.lastPingAt <= memberExpiry/2 && !m.ping.Stopping && !m.rejectsTakeOver && m.ping.Address != a.options.Holder.Address
}

// handOverToFitter hands the cell over to a fitter node if this one isn't fit, and reports
// whether it does. mu is held.
func (a *Agent) handOverToFitter(need Size, storeAge time.Duration) bool {
	fitness := a.size().fitness(need)
	if fitness >= fitRatio || a.now() < a.handovers.nextAt(a.ownerSince) {
		return false
	}
	var successor *member
	if storeAge <= storeLostAfter { // otherwise see selectStandbys
		successor = a.fitterSuccessor(need)
	}
	if successor == nil {
		a.reportUnfit(need)
		return false
	}
	event.CellHandedToFitter.Log(a.options.Logger, "to", successor.ping.Node, "fitness", fitness, "its_fitness", successor.size().fitness(need),
		"owned_ms", (a.now() - a.ownerSince).Milliseconds())
	a.handovers.record(successor.ping.Address, a.now())
	a.askToTakeOver(successor)
	return true
}

// fitterSuccessor returns the node to which this owner, which isn't fit, should hand over; nil
// for none. Nodes that were asked before are asked again only after all others. mu is held.
func (a *Agent) fitterSuccessor(need Size) *member {
	var best *member
	prefer := func(x, y *member) int {
		return cmp.Or(
			cmp.Compare(a.handovers.askedAt[x.ping.Address], a.handovers.askedAt[y.ping.Address]),
			compareStandby(x, y, need),
		)
	}
	for _, m := range a.members {
		if !a.mayTakeOver(m) || !hasUsedStore(m) || a.handovers.ownedTooRecently(m, a.now()) || !a.size().yieldsTo(m.size(), need) {
			continue
		}
		if best == nil || prefer(m, best) < 0 {
			best = m
		}
	}
	return best
}

// hasUsedStore reports whether the table service has answered a node since it started and
// within storeStaleAfter. A node counts its start as an answer.
func hasUsedStore(m *member) bool {
	return m.ping.StoreAgeMs < max(m.ping.UptimeMs, 1) && m.ping.StoreAgeMs <= int(storeStaleAfter.Milliseconds())
}

// reportUnfit logs once in a tenure that the owner isn't fit and no node is fitter. mu is held.
func (a *Agent) reportUnfit(need Size) {
	if a.unfitReported {
		return
	}
	a.unfitReported = true
	size := a.size()
	event.OwnerUnfit.Log(a.options.Logger, "fitness", size.fitness(need), "nodes", 1+len(a.members),
		"cpu_millis", size.CPUMillis, "need_cpu_millis", need.CPUMillis, "link_kbps", size.LinkKbps, "need_link_kbps", need.LinkKbps,
		"memory_mb", size.MemoryMB, "need_memory_mb", need.MemoryMB, "max_open_files", size.MaxOpenFiles, "need_open_files", need.MaxOpenFiles)
}

// askToTakeOver starts the request that a node take the cell over. mu is held.
func (a *Agent) askToTakeOver(m *member) {
	a.handingOver = true
	go a.requestTakeOver(m, a.view.Epoch)
}

// requestTakeOver asks another node to claim the cell. The claim makes the next commit
// of this owner fail, which is faster than a release when this node is slow. The request has
// the epoch of this owner, because a node that is paused serves it late. After a rejection
// another node may be asked at once; any other failed handover is tried again after minTenure.
func (a *Agent) requestTakeOver(m *member, epoch int) {
	address := m.ping.Address
	ctx, cancel := context.WithTimeout(context.Background(), takeOverCallTimeout)
	defer cancel()
	err := a.options.Caller.Call(ctx, address, api.MethodTakeOver, a.takeOverRequest(epoch), &api.Empty{})
	if err != nil {
		event.SuccessorCallFailed.Log(a.options.Logger, "to", address, "err", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handingOver = false
	if errkind.Is(err, errkind.ShuttingDown) {
		a.recordRejection(m)
		return
	}
	a.ownerSince = a.now()
}

// recordRejection records that the process of a node has rejected a request to take the cell
// over because it is being stopped. mu is held.
func (a *Agent) recordRejection(m *member) {
	a.handovers.rejected = true
	if now := a.members[m.ping.Address]; now != nil && now.ping.Incarnation == m.ping.Incarnation {
		now.rejectsTakeOver = true
	}
}

// takeOverRequest returns the request of the owner of an epoch that another node take the cell
// over. Nodes of an earlier release don't read it.
func (a *Agent) takeOverRequest(epoch int) *api.OwnerPing {
	h := a.options.Holder
	return &api.OwnerPing{Node: h.Node, Incarnation: h.Incarnation, Address: h.Address, Epoch: epoch}
}

// takeOverCallTimeout bounds the request to take the cell over.
const takeOverCallTimeout = time.Second
