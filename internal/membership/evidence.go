package membership

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// Lead returns nil while this node may place work and renew task leases.
func (m *Membership) Lead() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.session.joined {
		return errkind.New(errkind.Fenced, "", "the node holds no session")
	}
	if m.now() >= m.leadUntil() {
		return errkind.New(errkind.StoreUnavailable, "", "the session was not written for %s and no outage for all is confirmed", Lease)
	}
	return nil
}

// leadUntil returns until when the node leads on what is known.
func (m *Membership) leadUntil() time.Duration {
	return max(m.session.written+Lease, m.outageUntil)
}

// OutageUntil returns until when an outage for all is confirmed without a gap
// since the last write of the session; 0 if there is none.
func (m *Membership) OutageUntil() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.session.joined || m.now() >= m.leadUntil() {
		return 0
	}
	return m.outageUntil
}

// extendLead prolongs the lead by the evidence of an outage for all: every peer
// that counts said, in response to a ping of the last lease, that the table
// service is unreachable for it. Evidence that comes after the lead has run out
// is not used, because another node may have acted on that meanwhile.
func (m *Membership) extendLead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	leads := m.session.joined && now < m.leadUntil()
	until, outage := m.outageEvidence(now)
	if leads && outage {
		m.outageUntil = max(m.outageUntil, until)
	}
	m.logLead(leads, outage)
}

// outageEvidence returns until when the present evidence of an outage for all
// counts.
func (m *Membership) outageEvidence(now time.Duration) (time.Duration, bool) {
	if !m.session.joined || m.scanned == 0 || m.storeReachable(now) {
		return 0, false
	}
	until := now + Lease
	for _, p := range m.peers {
		if !p.counted() {
			continue
		}
		if !p.answered || !p.storeDown || p.sent+Lease <= now {
			return 0, false
		}
		until = min(until, p.sent+Lease)
	}
	return until, true
}

// storeReachable reports whether the table service answered a recent write.
func (m *Membership) storeReachable(now time.Duration) bool {
	return m.session.hasAnswer && now-m.session.answered < UnreachableAfter
}

// logLead logs changes of the lead and of the outage.
func (m *Membership) logLead(leads, outage bool) {
	if outage != m.inOutage {
		m.inOutage = outage
		if outage {
			event.StoreOutage.Log(m.options.Logger)
		} else {
			event.StoreBack.Log(m.options.Logger)
		}
	}
	if m.led && !leads {
		event.LeadLost.Log(m.options.Logger, "joined", m.session.joined)
	}
	m.led = leads
}

// silentFor reports whether p can rely on no report of an unreachable table
// service from this node any more, as of the last write of the session, and has
// had none since the given time.
//
// That p pinged the present incarnation of this node proves that its evidence
// needs a report of this node as long as the session of this node lives. The
// write after the window proves that it lived all the time.
func (m *Membership) silentFor(p *peer, since time.Duration) bool {
	if p.knowsSelf == 0 || !m.session.joined {
		return false
	}
	return m.session.written >= max(since, m.lastHelpful, p.knowsSelf)+SilenceWindow
}

// latchExcluded notes the peers that can lead no more. It is called after each
// write of the session. An expired session has had no write for its lease, so
// its node could lead only by evidence of an outage for all.
func (m *Membership) latchExcluded() {
	for _, p := range m.peers {
		if p.state == api.SessionStateExpired && m.silentFor(p, 0) {
			p.excluded = true
		}
	}
}

// mayLead reports whether a peer that lost its session may still be leading.
func (p *peer) mayLead() bool {
	return p.state == api.SessionStateExpired && !p.excluded && !p.gone()
}

// Excluded reports whether an incarnation cannot be leading any more.
func (m *Membership) Excluded(incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.scanned == 0 {
		return false
	}
	p := m.peers[incarnation]
	if p != nil && p.state != api.SessionStateExpired && p.state != api.SessionStateReleased && !p.gone() {
		return false
	}
	for _, other := range m.peers {
		if other.mayLead() {
			return false
		}
	}
	return true
}

// Alive reports whether the session of an incarnation is live as of the last
// scan, and whether it is known at all.
func (m *Membership) Alive(incarnation string) (alive, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.session.joined && incarnation == m.session.member.Incarnation {
		return true, true
	}
	p := m.peers[incarnation]
	if p == nil {
		return false, false
	}
	return isAlive(p.state), p.state != stateLearned
}

// Others returns every other incarnation that may serve callers, live or not.
// The result is complete as of the last Refresh.
func (m *Membership) Others() []api.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []api.Member
	for _, p := range m.peers {
		if p.state != api.SessionStateReleased && !p.gone() {
			out = append(out, p.member)
		}
	}
	return out
}

// Settled reports whether an incarnation that did not confirm a change made at
// the given boot time by this node, under the incarnation self, serves no state
// without that change: it is gone, or whatever kept its view fresh has run out.
func (m *Membership) Settled(incarnation, self string, since time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[incarnation]
	if p == nil || p.state == api.SessionStateReleased || p.gone() {
		return true
	}
	return self != "" && self == m.session.member.Incarnation && m.silentFor(p, since)
}
