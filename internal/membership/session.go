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

// session is the state of the own session.
type session struct {
	member   api.Member // with the incarnation while joined
	joined   bool
	leaving  bool
	released bool // no join any more
	joinedBy bool // whether this process has joined before

	storedVersion int64
	beat          int
	stamp         string        // of the last write sent
	sent          time.Duration // when it was sent
	// written is when the last write that is known to be applied was sent.
	written time.Duration
	// answered is when the last write was sent that the table service answered;
	// hasAnswer is false before the first.
	answered  time.Duration
	hasAnswer bool

	// pending is the incarnation of a join whose outcome is not known.
	pending string
	// unheardPings is the number of rounds of pings in a row that no peer answered
	// although one of them runs.
	unheardPings int
	// rival is the row version of another live process with the same node name,
	// first seen at rivalSeen.
	rival     int64
	rivalSeen time.Duration
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

func (m *Membership) key() string { return keyPrefix + m.options.Self.Node }

// beat joins or writes a heartbeat.
func (m *Membership) beat(ctx context.Context) {
	if m.beating.Acquire(ctx, 1) != nil {
		return
	}
	defer m.beating.Release(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	m.mu.Lock()
	joined, released := m.session.joined, m.session.released
	m.mu.Unlock()
	switch {
	case released:
	case joined:
		if m.heartbeat(ctx, "") == writeOutrun {
			m.heartbeat(ctx, "")
		}
	default:
		m.join(ctx)
	}
	m.extendLead()
}

// writeResult is what became of a write of the session row.
type writeResult int

const (
	writeFailed  writeResult = iota // not applied, or not known
	writeApplied                    // applied
	writeOutrun                     // an earlier write of this node arrived late; try again
)

// heartbeat writes the session row, in the given state or the present one.
func (m *Membership) heartbeat(ctx context.Context, state api.SessionState) writeResult {
	m.mu.Lock()
	s := &m.session
	if state == "" {
		state = s.state()
	}
	s.beat++
	s.stamp, s.sent = newID(), m.now()
	row := api.SessionRow{Beat: s.beat, Member: s.member, Stamp: s.stamp, State: state}
	check := platform.Check{Key: m.key(), Version: s.storedVersion}
	m.mu.Unlock()
	version, err := m.commit(ctx, []platform.Check{check}, row)
	switch {
	case err == nil:
		m.applied(version)
		return writeApplied
	case errors.Is(err, platform.ErrConflict):
		m.noteAnswer()
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
	return m.options.Table.Commit(ctx, checks, []platform.Write{{Key: m.key(), Value: value}})
}

// applied records that the last write sent took effect.
func (m *Membership) applied(version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.session
	s.storedVersion = version
	s.written = s.sent
	s.answered, s.hasAnswer = s.sent, true
	m.latchExcluded()
}

// noteAnswer records that the table service answered the last write.
func (m *Membership) noteAnswer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.session.answered, m.session.hasAnswer = m.session.sent, true
}

// readBack resolves a write that conflicted or whose answer was lost.
func (m *Membership) readBack(ctx context.Context, conflict bool) writeResult {
	row, err := m.options.Table.Get(ctx, m.key())
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
	// such a row is the last write or an earlier one that arrived late.
	if current.Member.Incarnation == own && current.State != api.SessionStateExpired {
		return m.adopt(row.Version, expected, current.Stamp == stamp)
	}
	if conflict || row.Version != expected {
		m.lose(isAlive(current.State))
	}
	return writeFailed
}

// adopt takes over the version of a row that this process wrote.
func (m *Membership) adopt(version, expected int64, last bool) writeResult {
	if last {
		m.applied(version)
		return writeApplied
	}
	if version == expected {
		return writeFailed
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.session.storedVersion = version
	return writeOutrun
}

// isAlive reports whether a session in the state takes part.
func isAlive(s api.SessionState) bool {
	return s == api.SessionStateLive || s == api.SessionStateIsolated || s == api.SessionStateLeaving
}

// lose gives the session up. The next beat rejoins.
func (m *Membership) lose(superseded bool) {
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
	m.changed()
}

// join starts a session with a new incarnation.
func (m *Membership) join(ctx context.Context) {
	row, err := m.options.Table.Get(ctx, m.key())
	if err != nil {
		return
	}
	old, err := decodeSession(row)
	if err != nil || m.blocked(row.Version, &old) {
		return
	}
	next := m.prepareJoin()
	writes, err := m.joinWrites(next, row, &old)
	if err != nil {
		return
	}
	check := platform.Check{Key: m.key(), Version: row.Version}
	version, err := m.options.Table.Commit(ctx, []platform.Check{check}, writes)
	if errors.Is(err, platform.ErrAmbiguous) {
		version, err = m.readJoin(ctx, next.Stamp)
	}
	if err == nil {
		m.joined(next, version)
	}
}

// blocked reports whether the row belongs to another running process with the
// same node name. A process that starts supersedes it; one that was superseded
// itself waits until the row is left alone for a lease, or the two would
// supersede each other forever.
func (m *Membership) blocked(version int64, old *api.SessionRow) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.session
	if !s.joinedBy || !isAlive(old.State) || old.Member.Incarnation == s.pending {
		return false
	}
	now := m.now()
	if s.rival != version {
		if s.rival == 0 {
			event.SessionSuperseded.Log(m.options.Logger, "incarnation", old.Member.Incarnation, "address", old.Member.PeerAddress)
		}
		s.rival, s.rivalSeen = version, now
		return true
	}
	return now-s.rivalSeen < Lease+observerMargin
}

// prepareJoin chooses the incarnation and stamp of a join.
func (m *Membership) prepareJoin() api.SessionRow {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.session
	if s.pending == "" {
		s.pending = newID()
	}
	s.stamp, s.sent = newID(), m.now()
	member := m.options.Self
	member.Incarnation = s.pending
	return api.SessionRow{Beat: 1, Member: member, Stamp: s.stamp, State: s.state()}
}

// joinWrites returns the writes of a join. A superseded process at another
// address may still be running, so its session is kept under a key of its own
// until there is evidence that it is not.
func (m *Membership) joinWrites(next api.SessionRow, row platform.Row, old *api.SessionRow) ([]platform.Write, error) {
	value, err := next.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode session row")
	}
	writes := []platform.Write{{Key: m.key(), Value: value}}
	ours := old.Member.PeerAddress == next.Member.PeerAddress
	if row.Version == 0 || ours || old.State == api.SessionStateReleased {
		return writes, nil
	}
	old.State = api.SessionStateExpired
	kept, err := old.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "encode session row")
	}
	return append(writes, platform.Write{Key: m.key() + "/" + old.Member.Incarnation, Value: kept}), nil
}

// readJoin returns the version of the row if the join with the stamp was applied.
func (m *Membership) readJoin(ctx context.Context, stamp string) (int64, error) {
	row, err := m.options.Table.Get(ctx, m.key())
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

// joined records a join.
func (m *Membership) joined(row api.SessionRow, version int64) {
	m.mu.Lock()
	s := &m.session
	s.member = row.Member
	s.joined, s.joinedBy = true, true
	s.pending, s.rival = "", 0
	s.beat = row.Beat
	s.storedVersion = version
	s.written = s.sent
	s.answered, s.hasAnswer = s.sent, true
	m.scanned = 0
	m.lastHelpful = m.now()
	m.outageUntil = 0
	for _, p := range m.peers {
		p.knowsSelf = 0
	}
	m.mu.Unlock()
	event.SessionJoined.Log(m.options.Logger, "incarnation", row.Member.Incarnation)
	wake(m.wakeScan)
	m.changed()
}

// Leave tells the others that this node is about to stop: it stays a member but
// is assigned no partitions.
func (m *Membership) Leave(ctx context.Context) {
	m.mu.Lock()
	m.session.leaving = true
	m.mu.Unlock()
	m.beat(ctx)
	m.changed()
}

// Release ends the session, so that nobody waits for this node. The node must
// have given up its partitions and stopped serving callers.
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
	if m.beating.Acquire(ctx, 1) != nil {
		return false
	}
	defer m.beating.Release(1)
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
