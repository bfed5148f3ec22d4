package registry

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/wire"
)

// peerRetention is how long the head of a silent peer is remembered.
const peerRetention = time.Minute

// peerHead is what is known about the state in force at another node.
type peerHead struct {
	head    api.Head
	heard   time.Duration
	pushing bool
}

func (r *Registry) peerHead(incarnation string) api.Head {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[incarnation]; p != nil {
		return p.head
	}
	return api.Head{}
}

// noteHead records a head that is in force at a peer, and reports whether the
// peer lags so far behind that it should be sent the state.
func (r *Registry) noteHead(incarnation string, head api.Head) bool {
	if incarnation == "" {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peerLocked(incarnation)
	p.head = merge(p.head, head)
	p.heard = r.options.Clock.Boot()
	r.newest = merge(r.newest, head)
	return behind(p.head, r.head) && p.heard-r.installed >= pushDelay
}

func (r *Registry) peerLocked(incarnation string) *peerHead {
	p := r.peers[incarnation]
	if p == nil {
		p = &peerHead{heard: r.options.Clock.Boot()}
		r.peers[incarnation] = p
	}
	return p
}

// forgetPeers drops what is known about peers that have not been heard of.
func (r *Registry) forgetPeers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Boot()
	for inc, p := range r.peers {
		if !p.pushing && now-p.heard >= peerRetention {
			delete(r.peers, inc)
		}
	}
}

// PingReceived implements membership.PingObserver.
func (r *Registry) PingReceived(in *api.PingRequest) {
	if r.noteHead(in.Member.Incarnation, in.Head) {
		r.pushAll(context.Background(), []api.Member{in.Member})
	}
}

// PingAnswered takes over what a peer's response says: changed keys, and that its
// head was current when it read it.
func (r *Registry) PingAnswered(sent time.Duration, out *api.PingResponse) {
	lags := r.noteHead(out.Member.Incarnation, out.Head)
	if len(out.Keys) > 0 {
		// The keys are complete from the revision that was in force here when the
		// ping was sent, so also from the one in force now.
		head := api.Head{KeyRevision: out.Head.KeyRevision}
		if err := r.install(head, nil, out.Keys, 0); err != nil {
			event.RegistryRefused.Log(r.options.Logger, "node", out.Member.Node, "err", err)
		}
	}
	if out.HeadAgeMs >= 0 {
		r.confirm(out.Head, sent-time.Duration(out.HeadAgeMs)*time.Millisecond, false)
	}
	r.extend()
	if lags {
		r.pushAll(context.Background(), []api.Member{out.Member})
	}
}

// beginPush reserves the only push to a peer.
func (r *Registry) beginPush(incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peerLocked(incarnation)
	if p.pushing {
		return false
	}
	p.pushing = true
	return true
}

// push sends a peer the state that it lacks and notes what is in force there then.
func (r *Registry) push(ctx context.Context, to api.Member) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	in := r.update(to.Incarnation)
	var ack api.RegistryAck
	err := r.options.Caller.Call(ctx, to.PeerAddress, api.MethodRegistryUpdate, in, &ack)
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peerLocked(to.Incarnation)
	p.pushing = false
	// The address may belong to a later process by now.
	if err == nil && ack.Incarnation == to.Incarnation {
		p.head = merge(p.head, ack.Head)
	}
}

// update returns what a peer lacks.
func (r *Registry) update(incarnation string) *api.RegistryUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var known api.Head
	if p := r.peers[incarnation]; p != nil {
		known = p.head
	}
	in := &api.RegistryUpdate{
		Head:      r.head,
		Keys:      changedKeys(r.snapshot.Load(), known.KeyRevision),
		KeysSince: known.KeyRevision,
		Node:      r.options.Membership.Self().Node,
	}
	if known.ConfigVersion < r.head.ConfigVersion {
		in.Config = []api.ConfigRow{r.config}
	}
	return in
}

// HandleUpdate serves updates of other members.
func (r *Registry) HandleUpdate(ctx context.Context, payload []byte) (msgp.Marshaler, error) {
	var in api.RegistryUpdate
	if err := wire.Decode(payload, &in); err != nil {
		return nil, err
	}
	if err := r.install(in.Head, in.Config, in.Keys, in.KeysSince); err != nil {
		event.RegistryRefused.Log(r.options.Logger, "node", in.Node, "err", err)
	}
	if behind(r.Head(), in.Head) {
		_ = r.Refresh(ctx) // the head in the answer shows whether it worked
	}
	return &api.RegistryAck{Head: r.Head(), Incarnation: r.options.Membership.Self().Incarnation}, nil
}
