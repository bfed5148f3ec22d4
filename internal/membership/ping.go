package membership

import (
	"context"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/wire"
)

// maxPingsInFlight is the maximum number of concurrent pings to one member.
const maxPingsInFlight = 3

// pingAll pings every other member.
func (m *Membership) pingAll(ctx context.Context, wg *sync.WaitGroup) {
	m.extendLead()
	m.updateIsolation()
	for _, to := range m.pingTargets() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.ping(ctx, to)
		}()
	}
}

// pingTargets returns the members that may still run and counts a ping to each.
func (m *Membership) pingTargets() []api.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.session.joined {
		return nil
	}
	var out []api.Member
	for _, p := range m.peers {
		ended := p.state == api.SessionStateReleased || (p.state == api.SessionStateExpired && p.gone())
		if !ended && p.pingsInFlight < maxPingsInFlight {
			p.pingsInFlight++
			out = append(out, p.member)
		}
	}
	return out
}

// ping sends one ping and passes its response to the observers.
func (m *Membership) ping(ctx context.Context, to api.Member) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	in := api.PingRequest{Head: m.heads.Head(), Member: m.Self(), ToIncarnation: to.Incarnation}
	var out api.PingResponse
	sent := m.now()
	err := m.options.Caller.Call(ctx, to.PeerAddress, api.MethodPing, &in, &out)
	m.recordResponse(to, sent, &out, err)
	m.extendLead()
	if err != nil {
		return
	}
	for _, o := range m.observers {
		o.PingAnswered(sent, &out)
	}
}

// recordResponse updates a peer from the result of a ping.
func (m *Membership) recordResponse(to api.Member, sent time.Duration, out *api.PingResponse, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[to.Incarnation]
	if p == nil {
		return
	}
	p.pingsInFlight--
	wasGone := p.gone()
	defer func() { m.logGone(p, wasGone) }()
	if err != nil {
		p.refused = p.refused || wire.IsConnectionRefused(err)
		return
	}
	if out.Member.Incarnation == "" {
		return // the peer is joining; this node may have read its row before the join returned there
	}
	if out.Member.Incarnation != to.Incarnation {
		p.addressReused = true
		m.recordSender(out.Member)
		return
	}
	p.refused, p.addressReused = false, false
	if sent >= p.lastAnsweredPing {
		p.lastAnsweredPing, p.hasAnswered = sent, true
		p.storeUnreachable = out.WriteAgeMs < 0
	}
}

// recordSender records a message of a member, and adds the member if it is not known.
func (m *Membership) recordSender(member api.Member) *peer {
	if member.Incarnation == "" || member.Incarnation == m.session.member.Incarnation {
		return nil
	}
	p := m.peers[member.Incarnation]
	if p == nil {
		p = &peer{member: member, state: stateNoSession}
		m.peers[member.Incarnation] = p
	}
	p.lastMessage = m.now()
	return p
}

// HandlePing serves pings of other members.
func (m *Membership) HandlePing(_ context.Context, payload []byte) (msgp.Marshaler, error) {
	var in api.PingRequest
	if err := wire.Decode(payload, &in); err != nil {
		return nil, err
	}
	out := m.respond(&in)
	out.HeadAgeMs = -1
	// The age is read before the head: in the other order, the age of a newer read
	// could be sent with an older head.
	if age, ok := m.heads.HeadAge(); ok && age < StoreUnreachableAfter {
		out.HeadAgeMs = int((age + time.Millisecond - 1) / time.Millisecond)
	}
	out.Head = m.heads.Head()
	if out.Head.KeyRevision > in.Head.KeyRevision {
		out.Keys = m.heads.KeysSince(in.Head.KeyRevision)
	}
	if m.loads != nil {
		out.Loads = m.loads.Loads()
	}
	for _, o := range m.observers {
		o.PingReceived(&in)
	}
	return out, nil
}

// respond records a ping and returns the part of the response about the session.
func (m *Membership) respond(in *api.PingRequest) *api.PingResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	self := m.session.member.Incarnation
	if p := m.recordSender(in.Member); p != nil {
		p.refused, p.addressReused = false, false
		if self != "" && in.ToIncarnation == self && p.pingedSelfAt == 0 {
			p.pingedSelfAt = now
		}
	}
	out := &api.PingResponse{Member: m.session.member, WriteAgeMs: -1}
	if m.storeReachable(now) {
		out.WriteAgeMs = int((now - m.session.lastAnswered) / time.Millisecond)
	} else {
		m.lastOutageReport = now
	}
	return out
}
