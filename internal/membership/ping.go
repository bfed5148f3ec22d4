package membership

import (
	"context"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/wire"
)

// maxPings is the number of pings to one member that may be under way at once.
const maxPings = 3

// pingAll pings every other member.
func (m *Membership) pingAll(ctx context.Context, wg *sync.WaitGroup) {
	m.extendLead()
	m.noteIsolation()
	for _, to := range m.targets() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.ping(ctx, to)
		}()
	}
}

// targets returns the members to ping: all that may still run.
func (m *Membership) targets() []api.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.session.joined {
		return nil
	}
	var out []api.Member
	for _, p := range m.peers {
		ended := p.state == api.SessionStateReleased || (p.state == api.SessionStateExpired && p.gone())
		if !ended && p.pinging < maxPings {
			p.pinging++
			out = append(out, p.member)
		}
	}
	return out
}

// ping sends one ping and takes its response over.
func (m *Membership) ping(ctx context.Context, to api.Member) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	in := api.PingRequest{Head: m.heads.Head(), Member: m.Self(), ToIncarnation: to.Incarnation}
	var out api.PingResponse
	sent := m.now()
	err := m.options.Caller.Call(ctx, to.PeerAddress, api.MethodPing, &in, &out)
	m.takeResponse(to, sent, &out, err)
	m.extendLead()
	if err != nil {
		return
	}
	for _, o := range m.observers {
		o.Answered(sent, &out)
	}
}

// takeResponse notes what a ping showed about a peer.
func (m *Membership) takeResponse(to api.Member, sent time.Duration, out *api.PingResponse, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[to.Incarnation]
	if p == nil {
		return
	}
	p.pinging--
	was := p.gone()
	defer func() { m.logGone(p, was) }()
	if err != nil {
		p.refused = p.refused || wire.IsRefused(err)
		return
	}
	if out.Member.Incarnation == "" {
		return // it is joining; its row may be known here before it knows it itself
	}
	if out.Member.Incarnation != to.Incarnation {
		p.movedOn = true
		m.learn(out.Member)
		return
	}
	p.refused, p.movedOn = false, false
	if sent >= p.sent {
		p.sent, p.answered = sent, true
		p.storeDown = out.WriteAgeMs < 0
	}
}

// learn adds a member that is known by its message only.
func (m *Membership) learn(member api.Member) *peer {
	if member.Incarnation == "" || member.Incarnation == m.session.member.Incarnation {
		return nil
	}
	p := m.peers[member.Incarnation]
	if p == nil {
		p = &peer{member: member, state: stateLearned}
		m.peers[member.Incarnation] = p
	}
	p.learned = m.now()
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
	// The age is taken before the head: the other way round, the age of a newer
	// read could go with an older head.
	if age, ok := m.heads.HeadAge(); ok && age < UnreachableAfter {
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
		o.Pinged(&in)
	}
	return out, nil
}

// respond notes a ping and returns the part of the response about the session.
func (m *Membership) respond(in *api.PingRequest) *api.PingResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	self := m.session.member.Incarnation
	if p := m.learn(in.Member); p != nil {
		p.refused, p.movedOn = false, false
		if self != "" && in.ToIncarnation == self && p.knowsSelf == 0 {
			p.knowsSelf = now
		}
	}
	out := &api.PingResponse{Member: m.session.member, WriteAgeMs: -1}
	if m.storeReachable(now) {
		out.WriteAgeMs = int((now - m.session.answered) / time.Millisecond)
	} else {
		m.lastHelpful = now
	}
	return out
}
