package election

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
)

// Questions to other nodes.
const (
	maxAskedNodes  = 4
	askNodeTimeout = 150 * time.Millisecond
	heardLately    = 450 * time.Millisecond // a node that has heard the owner in this time hears it
	ownerFresh     = time.Second            // a node tells the address of an owner that it has heard in this time
	ownerUnheard   = time.Hour              // age of the owner at a node that knows none
)

// peerPong is the answer of a node.
type peerPong struct {
	address string
	*api.OwnerPong
}

// ownerHeard returns the address of the owner that this node knows and the time since
// it heard of it.
func (a *Agent) ownerHeard() (string, time.Duration) {
	v, _ := a.View()
	if v.Address == "" || v.SeenAt == 0 {
		return "", ownerUnheard
	}
	return v.Address, a.now() - v.SeenAt
}

// othersHearOwner asks some other nodes whether they hear the owner. reached tells
// whether any of them answered.
func (a *Agent) othersHearOwner(ctx context.Context, owner string) (hear, reached bool) {
	for _, pong := range a.askPeers(ctx, owner) {
		reached = true
		age := time.Duration(pong.OwnerAgeMs) * time.Millisecond
		hear = hear || !pong.Owner && age < heardLately
	}
	return hear, reached
}

// adoptOwnerOfPeers looks for the owner through other nodes, for a node that the table
// service does not answer. It reports whether an owner has answered.
func (a *Agent) adoptOwnerOfPeers(ctx context.Context) bool {
	view, _ := a.View()
	address, epoch := "", view.Epoch
	for _, pong := range a.askPeers(ctx, "") {
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
	pong, err := a.ping(ctx, address)
	if err != nil || !pong.Owner || pong.Epoch < epoch {
		return false
	}
	if address != view.Address {
		event.OwnerOfPeers.Log(a.options.Logger, "owner", address, "epoch", pong.Epoch)
	}
	a.heard(View{Epoch: pong.Epoch, Address: address}, pong)
	return true
}

// askPeers pings some other nodes, but not the one at except, and returns the answers.
func (a *Agent) askPeers(ctx context.Context, except string) []peerPong {
	asked := a.peersToAsk(except)
	ctx, cancel := context.WithTimeout(ctx, askNodeTimeout)
	defer cancel()
	answers := make(chan peerPong, len(asked))
	for _, address := range asked {
		go func() {
			pong, err := a.ping(ctx, address)
			if err != nil {
				pong = nil // a silent node tells nothing
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

// peersToAsk returns nodes that are likely to know the owner: the standbys, those that
// the owner told of, and those that pinged this node while it owned the cell.
func (a *Agent) peersToAsk(except string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := slices.Sorted(maps.Keys(a.members))
	var out []string
	for _, address := range slices.Concat(a.standby, a.told, known) {
		if address != a.options.Holder.Address && address != except && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out[:min(len(out), maxAskedNodes)]
}
