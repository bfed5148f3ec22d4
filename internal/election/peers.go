package election

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/wire"
)

// Limits of queries to other nodes about the owner.
const (
	peerQueryAfter   = 350 * time.Millisecond // without an answer to a read of the ownership row
	maxQueriedPeers  = 4
	peerQueryTimeout = 150 * time.Millisecond
	// ownerSeenWithin is the age of the last answer of the owner below which a node still
	// reaches the owner.
	ownerSeenWithin = 450 * time.Millisecond
	// ownerAddressMaxAge is the age of the last answer of the owner below which a node
	// reports the address of the owner.
	ownerAddressMaxAge = time.Second
	ownerNeverSeen     = time.Hour // reported age of the last answer at a node that knows no owner
)

// peerPong is the answer of a node to a ping, with the address of that node.
type peerPong struct {
	address string
	*api.OwnerPong
}

// lastSeenOwner returns the address of the owner that this node knows and the time since
// the last answer of that owner.
func (a *Agent) lastSeenOwner() (string, time.Duration) {
	v, _ := a.View()
	if v.Address == "" || v.LastAnswerAt == 0 {
		return "", ownerNeverSeen
	}
	return v.Address, a.now() - v.LastAnswerAt
}

// peersReachOwner asks up to maxQueriedPeers other nodes how long ago the owner answered
// them. reachOwner reports whether one of them had an answer of that owner within the given
// time; answered reports whether any of them responded.
func (a *Agent) peersReachOwner(ctx context.Context, owner string, within time.Duration) (reachOwner, answered bool) {
	for _, pong := range a.queryNodes(ctx, a.peersToQuery(owner)) {
		answered = true
		age := time.Duration(pong.OwnerAgeMs) * time.Millisecond
		reachOwner = reachOwner || pong.OwnerAddress == owner && age < within
	}
	return reachOwner, answered
}

// findOwnerThroughPeers asks other nodes and the last known owner for the owner while the
// table service does not answer this node, and follows an owner that answers. It reports
// whether an owner answered. The last known owner may have failed to answer only because
// the connection to it was silent.
func (a *Agent) findOwnerThroughPeers(ctx context.Context) bool {
	view, _ := a.View()
	address, epoch := "", view.Epoch
	asked := a.peersToQuery(view.Address)
	if view.Address != "" {
		asked = append(asked, view.Address)
	}
	for _, pong := range a.queryNodesTwice(ctx, asked) {
		known := pong.OwnerAddress
		if pong.Owner {
			known = pong.address
		}
		if known != "" && known != a.options.Holder.Address && pong.Epoch >= epoch {
			address, epoch = known, pong.Epoch
		}
	}
	if address == "" {
		return false
	}
	pong, err := a.pingTwice(ctx, address)
	if err != nil || !pong.Owner || pong.Epoch < epoch {
		return false
	}
	if address != view.Address {
		event.OwnerFoundThroughPeers.Log(a.options.Logger, "owner", address, "epoch", pong.Epoch)
	}
	a.handlePong(View{Epoch: pong.Epoch, Address: address}, pong)
	return true
}

// pingTwice pings a node, and again on a new connection if there is no answer.
func (a *Agent) pingTwice(ctx context.Context, address string) (*api.OwnerPong, error) {
	pong, err := a.ping(ctx, address)
	if err == nil || wire.IsConnectionRefused(err) {
		return pong, err
	}
	a.recordUnresponsive(address)
	return a.ping(ctx, address)
}

// queryNodesTwice pings nodes and returns the answers. If none of them answers, it pings all
// again on new connections.
func (a *Agent) queryNodesTwice(ctx context.Context, asked []string) []peerPong {
	if pongs := a.queryNodes(ctx, asked); len(pongs) > 0 {
		return pongs
	}
	for _, address := range asked {
		a.options.ReportUnanswered(address)
	}
	return a.queryNodes(ctx, asked)
}

// queryNodes pings nodes and returns the answers.
func (a *Agent) queryNodes(ctx context.Context, asked []string) []peerPong {
	defer a.discountPause(a.now(), peerQueryTimeout)
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	answers := make(chan peerPong, len(asked))
	for _, address := range asked {
		go func() {
			pong, err := a.ping(ctx, address)
			if err != nil {
				pong = nil // a node that does not answer is left out
			}
			answers <- peerPong{address, pong}
		}()
	}
	var out []peerPong
	for range asked {
		if pong := <-answers; pong.OwnerPong != nil {
			out = append(out, pong)
		}
	}
	return out
}

// peersToQuery returns up to maxQueriedPeers nodes other than except that are likely to know
// the owner: the standbys, the live nodes reported by the owner, and the nodes that have
// pinged this one.
func (a *Agent) peersToQuery(except string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := slices.Sorted(maps.Keys(a.members))
	var out []string
	for _, address := range slices.Concat(a.standbyAddresses, a.receivedMembers, known) {
		if address != a.options.Holder.Address && address != except && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out[:min(len(out), maxQueriedPeers)]
}
