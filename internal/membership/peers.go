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

// stateLearned is the state of a member that is known only by its pings.
const stateLearned api.SessionState = ""

// scanPage is the number of session rows read at once.
const scanPage = 200

// peer is one incarnation of another node.
type peer struct {
	member api.Member
	state  api.SessionState

	key           string
	storedVersion int64
	seen          time.Duration // when storedVersion was first seen
	wrote         time.Duration // when a new write was last seen without a gap between the scans
	learned       time.Duration // when a ping of it last came
	// knowsSelf is when it first pinged the present incarnation of this node, so
	// that its evidence of an outage needs this node; 0 for never.
	knowsSelf time.Duration

	// The newest response to a ping, by the time the ping was sent.
	sent      time.Duration
	answered  bool
	storeDown bool
	pinging   int // pings under way

	refused  bool // its address refuses connections
	movedOn  bool // its address is used by another incarnation
	unlisted bool // the VM list no longer has its VM
	excluded bool // it cannot lead any more

	listed  bool          // the VM list had its VM
	missing time.Duration // since when the VM list has not had its VM; 0 if it has
}

// gone reports whether the incarnation does not run any more.
func (p *peer) gone() bool { return p.refused || p.movedOn || p.unlisted }

// counted reports whether evidence of an outage needs the peer.
func (p *peer) counted() bool {
	switch p.state {
	case api.SessionStateLive, api.SessionStateIsolated, api.SessionStateLeaving, stateLearned:
		return !p.gone()
	default:
		return false
	}
}

// Refresh reads the sessions of all nodes from the table service, marks those
// that have run out as expired and removes those that nobody needs any more.
func (m *Membership) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := m.scanning.Acquire(ctx, 1); err != nil {
		return err
	}
	defer m.scanning.Release(1)
	start := m.now()
	rows, err := m.scan(ctx)
	if err != nil {
		return err
	}
	m.noteListed(m.options.EntryVMs())
	changed, expire, remove := m.merge(start, rows)
	for _, p := range expire {
		m.expire(ctx, p)
	}
	for _, p := range remove {
		m.remove(ctx, p)
	}
	if changed {
		wake(m.wakePing)
		m.changed()
	}
	return nil
}

func (m *Membership) scan(ctx context.Context) ([]platform.Row, error) {
	var all []platform.Row
	after := ""
	for {
		rows, err := m.options.Table.Scan(ctx, keyPrefix, after, scanPage)
		if err != nil {
			return nil, errors.Wrap(err, "read sessions")
		}
		all = append(all, rows...)
		if len(rows) < scanPage {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// merge takes a scan over. It returns whether the set of live members changed,
// and the peers to mark as expired and to remove.
func (m *Membership) merge(start time.Duration, rows []platform.Row) (changed bool, expire, remove []*peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	// Without an uninterrupted view an unchanged row proves nothing: after an
	// outage all rows are old.
	gap := m.scanned == 0 || start-m.scanned > maxScanGap
	found := map[string]bool{}
	for _, row := range rows {
		r, err := decodeSession(row)
		if err != nil || r.Member.Incarnation == m.session.member.Incarnation {
			continue
		}
		found[r.Member.Incarnation] = true
		changed = m.mergeRow(row, r, now, gap) || changed
	}
	for inc, p := range m.peers {
		if !found[inc] {
			changed = changed || p.state != stateLearned
			m.mergeMissing(inc, p, now)
		}
	}
	m.scanned = start
	for _, p := range m.peers {
		if m.ranOut(p, start) {
			expire = append(expire, p)
		}
		if p.removable(start) {
			remove = append(remove, p)
		}
	}
	return changed, expire, remove
}

// mergeRow takes one session row over and reports whether the set of live
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
		p.wrote = now
	}
	if p.storedVersion != row.Version || gap {
		p.storedVersion = row.Version
		p.seen = now
	}
	return changed
}

// mergeMissing handles a peer without a session row. One that still pings is
// kept, because it may serve callers on what it knows.
func (m *Membership) mergeMissing(incarnation string, p *peer, now time.Duration) {
	if p.learned == 0 || now-p.learned >= learnedRetention {
		delete(m.peers, incarnation)
		return
	}
	p.state = stateLearned
}

// ranOut reports whether a live session was left unchanged for the lease.
func (m *Membership) ranOut(p *peer, start time.Duration) bool {
	return isAlive(p.state) && start-p.seen >= Lease+observerMargin
}

// removable reports whether the row of a session that ended can be removed. While
// it exists every node, also one that joins later, minds that the incarnation may
// still act.
func (p *peer) removable(start time.Duration) bool {
	if start-p.seen < rowRetention || start-p.learned < rowRetention {
		return false
	}
	switch p.state {
	case api.SessionStateReleased:
		return true
	case api.SessionStateExpired:
		return p.excluded || p.gone()
	default:
		return false
	}
}

// expire marks a session as expired, unless its node wrote it in the meantime.
func (m *Membership) expire(ctx context.Context, p *peer) {
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
		return // the next scan shows what became of it
	}
	event.MemberExpired.Log(m.options.Logger, "node", row.Member.Node, "incarnation", row.Member.Incarnation)
	m.mu.Lock()
	p.state = api.SessionStateExpired
	p.storedVersion, p.seen = next, m.now()
	m.mu.Unlock()
	m.changed()
}

func (m *Membership) remove(ctx context.Context, p *peer) {
	m.mu.Lock()
	check := platform.Check{Key: p.key, Version: p.storedVersion}
	m.mu.Unlock()
	// Other members may remove it at the same time.
	_, _ = m.options.Table.Commit(ctx, []platform.Check{check}, []platform.Write{{Key: check.Key, Delete: true}})
}

// noteListed compares the peers with the entry VMs in the VM list.
func (m *Membership) noteListed(ips []string) {
	if len(ips) == 0 {
		return // the platform does not list them
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
			p.listed, p.missing, p.unlisted = true, 0, false
			continue
		}
		if p.missing == 0 {
			p.missing = now
		}
		was := p.gone()
		// The list lags: a VM that was never in it may be new.
		p.unlisted = p.listed || (p.state == api.SessionStateExpired && now-p.missing >= vmListLag)
		m.logGone(p, was)
	}
}

// logGone logs that a peer became gone.
func (m *Membership) logGone(p *peer, was bool) {
	if was || !p.gone() {
		return
	}
	event.MemberGone.Log(m.options.Logger, "node", p.member.Node, "incarnation", p.member.Incarnation,
		"refused", p.refused, "moved_on", p.movedOn, "unlisted", p.unlisted)
}
