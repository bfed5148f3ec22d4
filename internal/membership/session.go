package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/platform"
)

// keyPrefix is the prefix of the session rows.
const keyPrefix = "node/"

// session is the state of the session of this node.
type session struct {
	member    api.Member // with the incarnation while joined
	joined    bool
	leaving   bool
	released  bool // the node does not join again
	hasJoined bool // this process has joined before

	storedVersion int64
	heartbeats    int
	stamp         string        // of the last write sent
	lastSent      time.Duration // when the last write was sent
	// lastWritten is when the last write that is known to be applied was sent.
	lastWritten time.Duration
	// lastAnswered is when the last write that the table service answered was sent;
	// hasAnswer is false before the first answer.
	lastAnswered time.Duration
	hasAnswer    bool

	// pendingIncarnation is the incarnation of a join whose outcome is not known.
	pendingIncarnation string
	// unansweredRounds is the number of consecutive ping rounds that no peer answered
	// although a peer runs.
	unansweredRounds int
	// rivalVersion is the row version of another live process with the same node name,
	// first read at rivalSeenAt.
	rivalVersion int64
	rivalSeenAt  time.Duration
}

func (s *session) state() api.SessionState {
	if s.leaving {
		return api.SessionStateLeaving
	}
	if s.isolated() {
		return api.SessionStateIsolated
	}
	return api.SessionStateLive
}

func (m *Membership) sessionKey() string { return keyPrefix + m.options.Self.Node }

// joinOrHeartbeat writes a heartbeat, or joins if the node holds no session.
func (m *Membership) joinOrHeartbeat(ctx context.Context) {
	if m.heartbeatLock.Acquire(ctx, 1) != nil {
		return
	}
	defer m.heartbeatLock.Release(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	m.mu.Lock()
	joined, released := m.session.joined, m.session.released
	m.mu.Unlock()
	switch {
	case released:
	case joined:
		if m.heartbeat(ctx, "") == writeOvertaken {
			m.heartbeat(ctx, "")
		}
	default:
		m.join(ctx)
	}
	m.extendLead()
}

// writeResult is the result of a write of the session row.
type writeResult int

const (
	writeFailed writeResult = iota // not applied, or the outcome is unknown
	writeApplied
	writeOvertaken // an earlier write of this node was applied late; to be retried
)

// heartbeat writes the session row in the given state, or in the present state if state
// is empty.
func (m *Membership) heartbeat(ctx context.Context, state api.SessionState) writeResult {
	m.mu.Lock()
	s := &m.session
	if state == "" {
		state = s.state()
	}
	s.heartbeats++
	s.stamp, s.lastSent = newID(), m.now()
	row := api.SessionRow{Beat: s.heartbeats, Member: s.member, Stamp: s.stamp, State: state}
	check := platform.Check{Key: m.sessionKey(), Version: s.storedVersion}
	m.mu.Unlock()
	version, err := m.commit(ctx, []platform.Check{check}, row)
	switch {
	case err == nil:
		m.recordApplied(version)
		return writeApplied
	case errors.Is(err, platform.ErrConflict):
		m.recordAnswer()
		return m.readBack(ctx, true)
	case errors.Is(err, platform.ErrAmbiguous):
		return m.readBack(ctx, false)
	default:
		return writeFailed
	}
}

func (m *Membership) commit(ctx context.Context, checks []platform.Check, row api.SessionRow) (int64, error) {
	value, err := row.MarshalMsg(nil)
	if err != nil {
		return 0, errors.Wrap(err, "encode session row")
	}
	return m.options.Table.Commit(ctx, checks, []platform.Write{{Key: m.sessionKey(), Value: value}})
}

// recordApplied records that the last write sent was applied.
func (m *Membership) recordApplied(version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.session
	s.storedVersion = version
	s.lastWritten = s.lastSent
	s.lastAnswered, s.hasAnswer = s.lastSent, true
	m.markCannotLead()
}

// recordAnswer records that the table service answered the last write.
func (m *Membership) recordAnswer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.session.lastAnswered, m.session.hasAnswer = m.session.lastSent, true
}

// readBack reads the session row to resolve a write that conflicted or whose answer
// was lost.
func (m *Membership) readBack(ctx context.Context, conflict bool) writeResult {
	row, err := m.options.Table.Get(ctx, m.sessionKey())
	if err != nil {
		return writeFailed
	}
	current, err := decodeSession(row)
	if err != nil {
		return writeFailed
	}
	m.mu.Lock()
	expected, stamp, own := m.session.storedVersion, m.session.stamp, m.session.member.Incarnation
	m.mu.Unlock()
	// Only this process writes a row of its incarnation that is not expired, so
	// such a row is the last write or an earlier write that was applied late.
	if current.Member.Incarnation == own && current.State != api.SessionStateExpired {
		return m.adoptVersion(row.Version, expected, current.Stamp == stamp)
	}
	if conflict || row.Version != expected {
		m.loseSession(isAlive(current.State))
	}
	return writeFailed
}

// adoptVersion continues from the version of a row that this process wrote; last tells
// whether the row is the last write sent.
func (m *Membership) adoptVersion(version, expected int64, last bool) writeResult {
	if last {
		m.recordApplied(version)
		return writeApplied
	}
	if version == expected {
		return writeFailed
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.session.storedVersion = version
	return writeOvertaken
}

// isAlive reports whether a session in the state counts as live.
func isAlive(s api.SessionState) bool {
	return s == api.SessionStateLive || s == api.SessionStateIsolated || s == api.SessionStateLeaving
}

// loseSession drops the session. The next joinOrHeartbeat rejoins.
func (m *Membership) loseSession(superseded bool) {
	m.mu.Lock()
	old := m.session.member.Incarnation
	m.session.joined = false
	m.session.member.Incarnation = ""
	m.session.storedVersion = 0
	m.outageUntil = 0
	m.mu.Unlock()
	event.SessionLost.Log(m.options.Logger, "incarnation", old, "superseded", superseded)
	for _, f := range m.onLost {
		f()
	}
	m.notifyChange()
}

// join starts a session with a new incarnation.
func (m *Membership) join(ctx context.Context) {
	row, err := m.options.Table.Get(ctx, m.sessionKey())
	if err != nil {
		return
	}
	old, err := decodeSession(row)
	if err != nil || m.joinBlocked(row.Version, &old) {
		return
	}
	next := m.prepareJoin()
	writes, err := m.joinWrites(next, row, &old)
	if err != nil {
		return
	}
	check := platform.Check{Key: m.sessionKey(), Version: row.Version}
	version, err := m.options.Table.Commit(ctx, []platform.Check{check}, writes)
	if errors.Is(err, platform.ErrAmbiguous) {
		version, err = m.readJoin(ctx, next.Stamp)
	}
	if err == nil {
		m.recordJoin(next, version)
	}
}

// joinBlocked reports whether a join must wait because the row belongs to another
// running process with the same node name. A process that starts supersedes the
// other; a process that was superseded waits until the row has not changed for the
// lease, because otherwise the two would supersede each other forever.
func (m *Membership) joinBlocked(version int64, old *api.SessionRow) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.session
	if !s.hasJoined || !isAlive(old.State) || old.Member.Incarnation == s.pendingIncarnation {
		return false
	}
	now := m.now()
	if s.rivalVersion != version {
		if s.rivalVersion == 0 {
			event.NodeNameInUse.Log(m.options.Logger, "incarnation", old.Member.Incarnation, "address", old.Member.PeerAddress)
		}
		s.rivalVersion, s.rivalSeenAt = version, now
		return true
	}
	return now-s.rivalSeenAt < LeaseDuration+expiryMargin
}

// prepareJoin chooses the incarnation and stamp of a join.
func (m *Membership) prepareJoin() api.SessionRow {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.session
	if s.pendingIncarnation == "" {
		s.pendingIncarnation = newID()
	}
	s.stamp, s.lastSent = newID(), m.now()
	member := m.options.Self
	member.Incarnation = s.pendingIncarnation
	return api.SessionRow{Beat: 1, Member: member, Stamp: s.stamp, State: s.state()}
}

// joinWrites returns the writes of a join. A superseded process at another address
// may still be running, so its session is kept under a separate key until that process
// can no longer lead or is gone.
func (m *Membership) joinWrites(next api.SessionRow, row platform.Row, old *api.SessionRow) ([]platform.Write, error) {
	value, err := next.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode session row")
	}
	writes := []platform.Write{{Key: m.sessionKey(), Value: value}}
	sameAddress := old.Member.PeerAddress == next.Member.PeerAddress
	if row.Version == 0 || sameAddress || old.State == api.SessionStateReleased {
		return writes, nil
	}
	old.State = api.SessionStateExpired
	expiredValue, err := old.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode session row")
	}
	return append(writes, platform.Write{Key: m.sessionKey() + "/" + old.Member.Incarnation, Value: expiredValue}), nil
}

// readJoin returns the version of the row if the join with the stamp was applied.
func (m *Membership) readJoin(ctx context.Context, stamp string) (int64, error) {
	row, err := m.options.Table.Get(ctx, m.sessionKey())
	if err != nil {
		return 0, err
	}
	current, err := decodeSession(row)
	if err != nil {
		return 0, err
	}
	if current.Stamp != stamp {
		return 0, platform.ErrConflict
	}
	return row.Version, nil
}

// recordJoin starts the session of a join that was applied.
func (m *Membership) recordJoin(row api.SessionRow, version int64) {
	m.mu.Lock()
	s := &m.session
	s.member = row.Member
	s.joined, s.hasJoined = true, true
	s.pendingIncarnation, s.rivalVersion = "", 0
	s.heartbeats = row.Beat
	s.storedVersion = version
	s.lastWritten = s.lastSent
	s.lastAnswered, s.hasAnswer = s.lastSent, true
	m.lastScan = 0
	m.lastOutageReport = m.now()
	m.outageUntil = 0
	for _, p := range m.peers {
		p.pingedSelfAt = 0
	}
	m.mu.Unlock()
	event.SessionJoined.Log(m.options.Logger, "incarnation", row.Member.Incarnation)
	wake(m.wakeScan)
	m.notifyChange()
}

// Leave marks the session as leaving: the node stays a member but is assigned no
// partitions.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	m.session.leaving = true
	m.mu.Unlock()
	m.joinOrHeartbeat(ctx)
	m.notifyChange()
}

// Release ends the session, so that no other node waits for its lease. The node must
// have released its partitions and stopped serving callers.
func (m *Membership) Release(ctx context.Context) error {
	for {
		if m.releaseOnce(ctx) {
			event.SessionReleased.Log(m.options.Logger)
			return nil
		}
		if !clock.Sleep(ctx, releaseRetry) {
			return errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "", "the session could not be released")
		}
	}
}

// releaseRetry is the delay between attempts to release the session.
const releaseRetry = 200 * time.Millisecond

func (m *Membership) releaseOnce(ctx context.Context) bool {
	if m.heartbeatLock.Acquire(ctx, 1) != nil {
		return false
	}
	defer m.heartbeatLock.Release(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	m.mu.Lock()
	m.session.released = true
	joined := m.session.joined
	m.mu.Unlock()
	done := !joined || m.heartbeat(ctx, api.SessionStateReleased) == writeApplied
	m.mu.Lock()
	defer m.mu.Unlock()
	if done {
		m.session.joined = false
		m.session.member.Incarnation = ""
	}
	return done || !m.session.joined
}

// decodeSession decodes a session row; the result is empty for a missing row.
func decodeSession(row platform.Row) (api.SessionRow, error) {
	var out api.SessionRow
	if row.Version == 0 {
		return out, nil
	}
	_, err := out.UnmarshalMsg(row.Value)
	return out, errors.Wrapf(err, "decode row %q", row.Key)
}
