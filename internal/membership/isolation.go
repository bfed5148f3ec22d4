package membership

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
)

// Limits of the evidence that a node is cut off from the others but not from the
// table service.
const (
	// answerWindow is how old the newest response of a peer may be to count; it
	// covers a ping that is late by its timeout.
	answerWindow = PingInterval + pingTimeout
	// writeWindow is how old the newest write of a session may be to show that its
	// node runs; it covers two heartbeats and the scan that finds them.
	writeWindow = 2*HeartbeatInterval + HeartbeatInterval/2
	// isolatedPings is the number of rounds of pings in a row without a response
	// after which a node counts as isolated, so that a pause shows none.
	isolatedPings = 2
	// lastWriteLag is how long after the last ping that a node answered its last
	// write may be seen, if it ended in between: a ping, a heartbeat and a scan.
	lastWriteLag = PingInterval + 2*HeartbeatInterval
)

// Isolated reports whether no peer answers this node although one of them still
// writes its session. Such a node can serve nothing that others own, and they
// cannot reach what it owns.
func (m *Membership) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.session.isolated()
}

// noteIsolation judges the responses before a round of pings.
func (m *Membership) noteIsolation() {
	m.mu.Lock()
	s := &m.session
	was := s.isolated()
	if m.unheard(m.now()) {
		s.unheardPings++
	} else {
		s.unheardPings = 0
	}
	is := s.isolated()
	m.mu.Unlock()
	if was == is {
		return
	}
	if is {
		event.NodeIsolated.Log(m.options.Logger)
	} else {
		event.NodeHeard.Log(m.options.Logger)
	}
	m.changed()
}

// unheard reports whether no peer answered a recent ping although one of them has
// written its session since, so that it is not the peers that have ended.
func (m *Membership) unheard(now time.Duration) bool {
	running := false
	for _, p := range m.peers {
		if !isAlive(p.state) || p.gone() {
			continue
		}
		if p.answered && now-p.sent < answerWindow {
			return false
		}
		running = running || now-p.wrote < writeWindow && p.wrote > p.sent+lastWriteLag
	}
	return running && m.session.joined
}

func (s *session) isolated() bool { return s.unheardPings >= isolatedPings }

// isCandidate reports whether partitions may be assigned to a member in the state.
func isCandidate(s api.SessionState) bool { return s == api.SessionStateLive }

// isIsolated reports whether a member in the state owns partitions only if no
// other does.
func isIsolated(s api.SessionState) bool { return s == api.SessionStateIsolated }
