package membership

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// CheckLead returns nil while this node may place work and renew task leases.
func (m *Membership) CheckLead() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.session.joined {
		return errkind.New(errkind.Fenced, "", "the node holds no session")
	}
	if m.now() >= m.leadUntil() {
		return errkind.New(errkind.StoreUnavailable, "", "the session was not written for %s and no cell-wide outage of the table service is confirmed", LeaseDuration)
	}
	return nil
}

// leadUntil returns the boot time until which the node leads.
func (m *Membership) leadUntil() time.Duration {
	return max(m.session.lastWritten+LeaseDuration, m.outageUntil)
}

// OutageUntil returns the boot time until which a cell-wide outage of the table
// service is confirmed without a gap since the last write of the session; 0 if none is.
func (m *Membership) OutageUntil() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.session.joined || m.now() >= m.leadUntil() {
		return 0
	}
	return m.outageUntil
}

// extendLead extends the lead during a cell-wide outage: every peer that may still
// run has reported, in response to a ping sent within the lease, that the table
// service is unreachable for it. Reports that arrive after the lead has ended are
// not used, because another node may have taken over meanwhile.
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

// outageEvidence returns the boot time until which the present reports of the peers
// confirm a cell-wide outage, and false if they do not confirm one.
func (m *Membership) outageEvidence(now time.Duration) (time.Duration, bool) {
	if !m.session.joined || m.lastScan == 0 || m.storeReachable(now) {
		return 0, false
	}
	until := now + LeaseDuration
	for _, p := range m.peers {
		if !p.neededForOutage() {
			continue
		}
		if !p.hasAnswered || !p.storeUnreachable || p.lastAnsweredPing+LeaseDuration <= now {
			return 0, false
		}
		until = min(until, p.lastAnsweredPing+LeaseDuration)
	}
	return until, true
}

// storeReachable reports whether the table service answered a write sent within
// StoreUnreachableAfter.
func (m *Membership) storeReachable(now time.Duration) bool {
	return m.session.hasAnswer && now-m.session.lastAnswered < StoreUnreachableAfter
}

// logLead logs changes of the lead and of the outage.
func (m *Membership) logLead(leads, outage bool) {
	if outage != m.inOutage {
		m.inOutage = outage
		if outage {
			event.StoreOutage.Log(m.options.Logger)
		} else {
			event.StoreOutageUnconfirmed.Log(m.options.Logger)
		}
	}
	if m.wasLeading && !leads {
		event.PlacementPaused.Log(m.options.Logger, "joined", m.session.joined)
	}
	m.wasLeading = leads
}

// outageReportsExpired reports whether, as of the last write of the session, p can no
// longer rely on a report of this node that the table service is unreachable, and
// OutageReportExpiry has passed since the given time.
//
// A ping of p to the present incarnation of this node proves that p needs a report
// of this node to confirm an outage while the session of this node is live. The
// write after OutageReportExpiry proves that the session was live all the time.
func (m *Membership) outageReportsExpired(p *peer, since time.Duration) bool {
	if p.pingedSelfAt == 0 || !m.session.joined {
		return false
	}
	return m.session.lastWritten >= max(since, m.lastOutageReport, p.pingedSelfAt)+OutageReportExpiry
}

// markCannotLead marks the peers that can no longer lead. It is called after each
// write of the session. An expired session has had no write for its lease, so its
// node could lead only by reports of a cell-wide outage.
func (m *Membership) markCannotLead() {
	for _, p := range m.peers {
		if p.state == api.SessionStateExpired && m.outageReportsExpired(p, 0) {
			p.cannotLead = true
		}
	}
}

// mayLead reports whether a peer with an expired session may still be leading.
func (p *peer) mayLead() bool {
	return p.state == api.SessionStateExpired && !p.cannotLead && !p.gone()
}

// CannotLead reports whether an incarnation can no longer be leading.
func (m *Membership) CannotLead(incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastScan == 0 {
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
// scan, and whether the session is known.
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
	return isAlive(p.state), p.state != stateNoSession
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

// CannotServeStale reports whether an incarnation cannot serve a state without a change
// that it has not confirmed: the incarnation is gone, or its view is no longer fresh.
// This node made the change at the boot time since, under the incarnation self.
func (m *Membership) CannotServeStale(incarnation, self string, since time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[incarnation]
	if p == nil || p.state == api.SessionStateReleased || p.gone() {
		return true
	}
	return self != "" && self == m.session.member.Incarnation && m.outageReportsExpired(p, since)
}
