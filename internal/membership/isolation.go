package membership

import (
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
)

// Thresholds for the detection that this node is cut off from its peers but not from
// the table service.
const (
	// responseMaxAge is the age up to which the newest response of a peer counts. The age
	// covers the interval and the timeout of a ping.
	responseMaxAge = PingInterval + pingTimeout
	// runningWriteMaxAge is the age up to which the newest write of a session shows that
	// its node runs. The age covers two heartbeats and the scan that reads them.
	runningWriteMaxAge = 2*HeartbeatInterval + HeartbeatInterval/2
	// isolatedAfterRounds is the number of consecutive ping rounds without a response
	// after which a node is isolated. It is above 1, so that a pause of the process
	// does not count as isolation.
	isolatedAfterRounds = 2
	// maxLastWriteDelay is the longest time between the last ping that a node answered
	// before it ended and the scan that finds its last write: a ping, a heartbeat and
	// a scan.
	maxLastWriteDelay = PingInterval + 2*HeartbeatInterval
)

// Isolated reports whether no peer answers this node although a peer still writes
// its session. An isolated node cannot reach the partitions of other nodes, and they
// cannot reach its partitions.
func (m *Membership) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.session.isolated()
}

// updateIsolation counts the ping rounds without a response. It is called before each
// round.
func (m *Membership) updateIsolation() {
	m.mu.Lock()
	s := &m.session
	before := s.isolated()
	if m.noPeerAnswers(m.now()) {
		s.unansweredRounds++
	} else {
		s.unansweredRounds = 0
	}
	after := s.isolated()
	m.mu.Unlock()
	if before == after {
		return
	}
	if after {
		event.NodeIsolated.Log(m.options.Logger)
	} else {
		event.PeersReachable.Log(m.options.Logger)
	}
	m.notifyChange()
}

// noPeerAnswers reports whether no peer answered a ping within responseMaxAge although a
// peer has written its session since, which shows that not all peers have ended.
func (m *Membership) noPeerAnswers(now time.Duration) bool {
	running := false
	for _, p := range m.peers {
		if !isAlive(p.state) || p.gone() {
			continue
		}
		if p.hasAnswered && now-p.lastAnsweredPing < responseMaxAge {
			return false
		}
		running = running || now-p.lastWriteSeen < runningWriteMaxAge && p.lastWriteSeen > p.lastAnsweredPing+maxLastWriteDelay
	}
	return running && m.session.joined
}

func (s *session) isolated() bool { return s.unansweredRounds >= isolatedAfterRounds }

// isCandidate reports whether partitions may be assigned to a member in the state.
func isCandidate(s api.SessionState) bool { return s == api.SessionStateLive }

// isIsolated reports whether a member in the state is assigned partitions only if
// there is no candidate.
func isIsolated(s api.SessionState) bool { return s == api.SessionStateIsolated }
