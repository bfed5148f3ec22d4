package membership

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/platform"
)

// stateNoSession is the state of a member without a session row, known only by its
// messages.
const stateNoSession api.SessionState = ""

// scanPageSize is the number of session rows read at once.
const scanPageSize = 200

// peer is one incarnation of another node.
type peer struct {
	member api.Member
	state  api.SessionState

	key           string
	storedVersion int64
	// versionSeenAt is when a scan first found storedVersion; a gap between scans sets it
	// anew.
	versionSeenAt time.Duration
	lastWriteSeen time.Duration // when a scan last found a new write, without a gap since the previous scan
	lastMessage   time.Duration // when its last message was received
	// pingedSelfAt is when the peer first pinged the present incarnation of this node;
	// from then on the peer needs a report of this node to confirm an outage. 0 for
	// never.
	pingedSelfAt time.Duration

	// Newest response to a ping; lastAnsweredPing is when that ping was sent.
	lastAnsweredPing time.Duration
	hasAnswered      bool
	storeUnreachable bool
	pingsInFlight    int // pings sent without a result yet

	refused       bool // the address of the peer refuses connections
	addressReused bool // another incarnation uses the address of the peer
	unlisted      bool // the VM of the peer is no longer in the VM list
	cannotLead    bool // the peer can no longer lead

	wasListed     bool          // its VM has been in the VM list
	unlistedSince time.Duration // when its VM was first missing from the VM list; 0 if the list has it
}

// gone reports whether the incarnation no longer runs.
func (p *peer) gone() bool { return p.refused || p.addressReused || p.unlisted }

// neededForOutage reports whether a cell-wide outage is confirmed only with a report of
// the peer.
func (p *peer) neededForOutage() bool {
	switch p.state {
	case api.SessionStateLive, api.SessionStateIsolated, api.SessionStateLeaving, stateNoSession:
		return !p.gone()
	default:
		return false
	}
}

// Refresh reads the sessions of all nodes from the table service, marks sessions
// whose lease has passed as expired and removes the rows of ended sessions.
func (m *Membership) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := m.scanLock.Acquire(ctx, 1); err != nil {
		return err
	}
	defer m.scanLock.Release(1)
	start := m.now()
	rows, err := m.scan(ctx)
	if err != nil {
		return err
	}
	m.recordListedVMs(m.options.EntryVMs())
	changed, expire, remove := m.mergeScan(start, rows)
	for _, p := range expire {
		m.expireSession(ctx, p)
	}
	for _, p := range remove {
		m.removeRow(ctx, p)
	}
	if changed {
		wake(m.wakePing)
		m.notifyChange()
	}
	return nil
}

func (m *Membership) scan(ctx context.Context) ([]platform.Row, error) {
	var all []platform.Row
	after := ""
	for {
		rows, err := m.options.Table.Scan(ctx, keyPrefix, after, scanPageSize)
		if err != nil {
			return nil, errors.Wrap(err, "read sessions")
		}
		all = append(all, rows...)
		if len(rows) < scanPageSize {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// mergeScan updates the peers from a scan of the sessions. It reports whether the set
// of live members changed, and returns the peers to mark as expired and to remove.
func (m *Membership) mergeScan(start time.Duration, rows []platform.Row) (changed bool, expire, remove []*peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	// After a gap between scans an unchanged row does not show that its lease has
	// passed: after an outage all rows are old.
	gap := m.lastScan == 0 || start-m.lastScan > maxScanGap
	found := map[string]bool{}
	for _, row := range rows {
		r, err := decodeSession(row)
		if err != nil || r.Member.Incarnation == m.session.member.Incarnation {
			continue
		}
		found[r.Member.Incarnation] = true
		changed = m.mergeRow(row, r, now, gap) || changed
	}
	for incarnation, p := range m.peers {
		if !found[incarnation] {
			changed = changed || p.state != stateNoSession
			m.mergeMissing(incarnation, p, now)
		}
	}
	m.lastScan = start
	for _, p := range m.peers {
		if m.leaseExpired(p, start) {
			expire = append(expire, p)
		}
		if p.removable(start) {
			remove = append(remove, p)
		}
	}
	return changed, expire, remove
}

// mergeRow updates a peer from its session row and reports whether the set of live
// members changed.
func (m *Membership) mergeRow(row platform.Row, r api.SessionRow, now time.Duration, gap bool) bool {
	p := m.peers[r.Member.Incarnation]
	if p == nil {
		p = &peer{}
		m.peers[r.Member.Incarnation] = p
	}
	changed := p.state != r.State
	p.member = r.Member
	p.state = r.State
	p.key = row.Key
	if p.storedVersion != row.Version && p.storedVersion != 0 && !gap {
		p.lastWriteSeen = now
	}
	if p.storedVersion != row.Version || gap {
		p.storedVersion = row.Version
		p.versionSeenAt = now
	}
	return changed
}

// mergeMissing handles a peer without a session row. A peer that still pings is kept,
// because it may serve callers from its view of the registry.
func (m *Membership) mergeMissing(incarnation string, p *peer, now time.Duration) {
	if p.lastMessage == 0 || now-p.lastMessage >= sessionlessRetention {
		delete(m.peers, incarnation)
		return
	}
	p.state = stateNoSession
}

// leaseExpired reports whether the row of a live session has stayed unchanged for the
// lease and expiryMargin.
func (m *Membership) leaseExpired(p *peer, start time.Duration) bool {
	return isAlive(p.state) && start-p.versionSeenAt >= LeaseDuration+expiryMargin
}

// removable reports whether the row of an ended session can be removed. While the row
// exists, every node, also a node that joins later, takes into account that the
// incarnation may still lead or serve callers.
func (p *peer) removable(start time.Duration) bool {
	if start-p.versionSeenAt < endedRowRetention || start-p.lastMessage < endedRowRetention {
		return false
	}
	switch p.state {
	case api.SessionStateReleased:
		return true
	case api.SessionStateExpired:
		return p.cannotLead || p.gone()
	default:
		return false
	}
}

// expireSession marks a session as expired, unless its node wrote it in the meantime.
func (m *Membership) expireSession(ctx context.Context, p *peer) {
	m.mu.Lock()
	row := api.SessionRow{Member: p.member, Stamp: newID(), State: api.SessionStateExpired}
	key, version := p.key, p.storedVersion
	m.mu.Unlock()
	value, err := row.MarshalMsg(nil)
	if err != nil {
		return
	}
	check := platform.Check{Key: key, Version: version}
	next, err := m.options.Table.Commit(ctx, []platform.Check{check}, []platform.Write{{Key: key, Value: value}})
	if err != nil {
		return // the next scan shows whether the write was applied
	}
	event.MemberExpired.Log(m.options.Logger, "node", row.Member.Node, "incarnation", row.Member.Incarnation)
	m.mu.Lock()
	p.state = api.SessionStateExpired
	p.storedVersion, p.versionSeenAt = next, m.now()
	m.mu.Unlock()
	m.notifyChange()
}

func (m *Membership) removeRow(ctx context.Context, p *peer) {
	m.mu.Lock()
	check := platform.Check{Key: p.key, Version: p.storedVersion}
	m.mu.Unlock()
	// The result is ignored: other members may remove the row at the same time.
	_, _ = m.options.Table.Commit(ctx, []platform.Check{check}, []platform.Write{{Key: check.Key, Delete: true}})
}

// recordListedVMs records which peers are on entry VMs in the VM list.
func (m *Membership) recordListedVMs(ips []string) {
	if len(ips) == 0 {
		return // the platform does not list entry VMs
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	for _, p := range m.peers {
		host, _, err := net.SplitHostPort(p.member.PeerAddress)
		if err != nil {
			continue
		}
		if slices.Contains(ips, host) {
			p.wasListed, p.unlistedSince, p.unlisted = true, 0, false
			continue
		}
		if p.unlistedSince == 0 {
			p.unlistedSince = now
		}
		wasGone := p.gone()
		// The list may be out of date: a VM that was never in it may be new.
		p.unlisted = p.wasListed || (p.state == api.SessionStateExpired && now-p.unlistedSince >= maxVMListLag)
		m.logGone(p, wasGone)
	}
}

// logGone logs that a peer is gone, if it was not before.
func (m *Membership) logGone(p *peer, wasGone bool) {
	if wasGone || !p.gone() {
		return
	}
	event.MemberGone.Log(m.options.Logger, "node", p.member.Node, "incarnation", p.member.Incarnation,
		"refused", p.refused, "moved_on", p.addressReused, "unlisted", p.unlisted)
}
