package registry

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/wire"
)

// peerExpiry is how long the state of a peer that sends no message is kept.
const peerExpiry = time.Minute

// peerState is the last known head of another node.
type peerState struct {
	head     api.Head
	lastSeen time.Duration
	pushing  bool
}

func (r *Registry) peerHead(incarnation string) api.Head {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[incarnation]; p != nil {
		return p.head
	}
	return api.Head{}
}

// recordPeerHead records the head in force at a peer. It reports whether the state in
// force here should be sent to the peer, because the peer still lacks it although it was
// installed here at least pushDelay ago.
func (r *Registry) recordPeerHead(incarnation string, head api.Head) bool {
	if incarnation == "" {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peerLocked(incarnation)
	p.head = mergeHeads(p.head, head)
	p.lastSeen = r.options.Clock.Boot()
	r.newestSeen = mergeHeads(r.newestSeen, head)
	return behind(p.head, r.head) && p.lastSeen-r.installedAt >= pushDelay
}

func (r *Registry) peerLocked(incarnation string) *peerState {
	p := r.peers[incarnation]
	if p == nil {
		p = &peerState{lastSeen: r.options.Clock.Boot()}
		r.peers[incarnation] = p
	}
	return p
}

// removeExpiredPeers removes peers that have sent no message for peerExpiry.
func (r *Registry) removeExpiredPeers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Boot()
	for incarnation, p := range r.peers {
		if !p.pushing && now-p.lastSeen >= peerExpiry {
			delete(r.peers, incarnation)
		}
	}
}

// PingReceived implements membership.PingObserver.
func (r *Registry) PingReceived(in *api.PingRequest) {
	if r.recordPeerHead(in.Member.Incarnation, in.Head) {
		r.pushAll(context.Background(), []api.Member{in.Member})
	}
}

// PingAnswered installs the changed keys in the response of a peer, and records that the
// head of the peer was current when the peer read it.
func (r *Registry) PingAnswered(sent time.Duration, out *api.PingResponse) {
	lacksState := r.recordPeerHead(out.Member.Incarnation, out.Head)
	if len(out.Keys) > 0 {
		// The keys are complete from the revision that was in force here when the
		// ping was sent, so also from the revision in force now.
		head := api.Head{KeyRevision: out.Head.KeyRevision}
		if err := r.install(head, nil, out.Keys, 0); err != nil {
			event.RegistryRowInvalid.Log(r.options.Logger, "node", out.Member.Node, "err", err)
		}
	}
	if out.HeadAgeMs >= 0 {
		r.recordCurrent(out.Head, sent-time.Duration(out.HeadAgeMs)*time.Millisecond, false)
	}
	r.extendFreshness()
	if lacksState {
		r.pushAll(context.Background(), []api.Member{out.Member})
	}
}

// reservePush reserves the push to a peer. It returns false if another push to the peer
// is running.
func (r *Registry) reservePush(incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peerLocked(incarnation)
	if p.pushing {
		return false
	}
	p.pushing = true
	return true
}

// push sends a peer the state that it lacks and records the head in its answer.
func (r *Registry) push(ctx context.Context, to api.Member) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	in := r.updateFor(to.Incarnation)
	var ack api.RegistryAck
	err := r.options.Caller.Call(ctx, to.PeerAddress, api.MethodRegistryUpdate, in, &ack)
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peerLocked(to.Incarnation)
	p.pushing = false
	// The address may belong to a later process by now.
	if err == nil && ack.Incarnation == to.Incarnation {
		p.head = mergeHeads(p.head, ack.Head)
	}
}

// updateFor returns the state that a peer lacks.
func (r *Registry) updateFor(incarnation string) *api.RegistryUpdate {
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
		in.Config = []api.ConfigRow{r.configRow}
	}
	return in
}

// HandleUpdate serves registry updates of other members.
func (r *Registry) HandleUpdate(ctx context.Context, payload []byte) (msgp.Marshaler, error) {
	var in api.RegistryUpdate
	if err := wire.Decode(payload, &in); err != nil {
		return nil, err
	}
	if err := r.install(in.Head, in.Config, in.Keys, in.KeysSince); err != nil {
		event.RegistryRowInvalid.Log(r.options.Logger, "node", in.Node, "err", err)
	}
	if behind(r.Head(), in.Head) {
		_ = r.Refresh(ctx) // the head in the answer shows the result
	}
	return &api.RegistryAck{Head: r.Head(), Incarnation: r.options.Membership.Self().Incarnation}, nil
}
