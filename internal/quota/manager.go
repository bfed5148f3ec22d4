package quota

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/platform"
)

// Intervals and bounds of the calls to the table.
const (
	// flushInterval is the time between transactions: at most ten a second for
	// each node.
	flushInterval = 100 * time.Millisecond
	// maxBatchTeams is the largest number of rows in one transaction.
	maxBatchTeams = 64
	// readInterval is the time between reads of the rows while a partition
	// wants more than its allotment or a limit is exceeded.
	readInterval = 1 * time.Second
	// idleReadInterval is the time between reads otherwise, which find
	// allotments of partitions that no longer exist.
	idleReadInterval = 30 * time.Second
	// unownedDelay is how long a partition must have been unowned before its
	// allotment is removed, so that its last work has ended.
	unownedDelay = 60 * time.Second
	// tableTimeout bounds the duration of one read of the rows together with one
	// transaction.
	tableTimeout = 2 * time.Second
	// retryDelay is the wait after a failed call.
	retryDelay = 1 * time.Second
	// scanPageRows is the number of rows in one page of a scan.
	scanPageRows = 500
	// maxConflictBackoffShift bounds the backoff after conflicts, which starts
	// at half of flushInterval and doubles with each successive conflict.
	maxConflictBackoffShift = 6
)

// Options configures a Manager.
type Options struct {
	Table  platform.Table
	Clock  clock.Clock
	Logger log.Logger // nil for none
	// Limit returns the limit of a team over all partitions, or zero resources
	// for a team that does not exist.
	Limit func(team string) api.Resources
	// Unowned reports whether a partition has no owner and is not in the
	// configuration, and returns the version of its row. It may be nil.
	Unowned func(partition string) (storedVersion int64, unowned bool)
}

// Manager keeps the ledgers of the partitions that this node owns.
type Manager struct {
	options Options

	mu      sync.Mutex
	teams   map[string]*team
	ledgers map[string]*ledger // by partition
	// nextRead is the time of the next read of the rows.
	nextRead time.Duration
	// retryAt is the earliest time of the next call after a failure.
	retryAt      time.Duration
	failing      bool                     // the last call failed; only the first failure is logged
	batchSize    int                      // most teams in the next transaction
	unownedSince map[string]time.Duration // by partition
}

// team is the newest known row of a team and the state of its writes.
type team struct {
	version int64
	row     allotments
	// writeUnresolved is set while a write that replaces version may still be
	// applied.
	writeUnresolved bool
	stale           bool // the row has changed since it was read, or cannot be decoded
	malformed       bool // row is what is left of it, because that of version cannot be decoded
	dirty           bool // the row may need a write
	// conflicts counts successive conflicts. retryAt delays the next
	// transaction, so that a team that always conflicts does not block the
	// others.
	conflicts int
	retryAt   time.Duration
}

// ledger implements Ledger for one partition in one epoch.
type ledger struct {
	manager  *Manager
	lease    api.PartitionLease
	openedAt time.Duration
	loaded   bool // the rows have been read since the ledger was opened
	closed   bool
	teams    map[string]*teamLedger // by name
}

// NewManager returns a manager without ledgers.
func NewManager(o Options) *Manager {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Unowned == nil {
		o.Unowned = func(string) (int64, bool) { return 0, false }
	}
	return &Manager{
		options:      o,
		teams:        map[string]*team{},
		ledgers:      map[string]*ledger{},
		unownedSince: map[string]time.Duration{},
		batchSize:    maxBatchTeams,
	}
}

// OpenLedger returns the ledger of a partition that this node owns. Its
// Allotment method returns zero resources until the rows have been read.
func (m *Manager) OpenLedger(lease api.PartitionLease) Ledger {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.ledgers[lease.Partition]; old != nil {
		old.closed = true
	}
	l := &ledger{manager: m, lease: lease, openedAt: m.options.Clock.Boot(), teams: map[string]*teamLedger{}}
	m.ledgers[lease.Partition] = l
	m.nextRead = 0
	return l
}

// CloseLedger closes the ledger of a partition. The recorded allotments pass to
// the next owner.
func (m *Manager) CloseLedger(partition string, epoch int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.ledgers[partition]
	if l != nil && l.lease.Epoch == epoch {
		l.closed = true
		delete(m.ledgers, partition)
	}
}

// LimitsChanged schedules an immediate read of the rows, which compares the
// allotments with the new limits.
func (m *Manager) LimitsChanged() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextRead = 0
}

// Run reads and writes the rows until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		m.runOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runOnce does at most one read of the rows and one transaction.
func (m *Manager) runOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	now := m.options.Clock.Boot()
	m.mu.Lock()
	wait := now < m.retryAt
	read := now >= m.nextRead
	m.mu.Unlock()
	if wait {
		return
	}
	if read {
		if err := m.readRows(ctx); err != nil {
			m.recordFailure(err)
			return
		}
	}
	if err := m.flush(ctx); err != nil {
		m.recordFailure(err)
	}
}

// Allotment implements Ledger.
func (l *ledger) Allotment(team string) api.Resources {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	tl := l.teams[team]
	if l.closed || !l.loaded || tl == nil {
		return api.Resources{}
	}
	return tl.held.resources()
}

// ReportDemand implements Ledger.
func (l *ledger) ReportDemand(name string, used, wanted api.Resources) {
	m := l.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.closed {
		return
	}
	tl := l.teams[name]
	if tl == nil {
		tl = newTeamLedger()
		l.teams[name] = tl
	}
	t := m.ensureTeam(name)
	var allotted resourceVec
	if l.loaded {
		allotted = t.row[l.lease.Partition]
	}
	tl.update(toResourceVec(used), toResourceVec(wanted), allotted, m.options.Clock.Boot())
	if tl.wanted.exceeds(allotted) || tl.retained(allotted) != allotted {
		t.dirty = true
	}
}

// Teams returns the teams that have an allotment in the partition, sorted.
func (l *ledger) Teams() []string {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	var out []string
	for name, t := range l.manager.teams {
		if _, ok := t.row[l.lease.Partition]; ok {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// ensureTeam returns the state of a team and adds an empty one if there is
// none.
func (m *Manager) ensureTeam(name string) *team {
	t := m.teams[name]
	if t == nil {
		t = &team{row: allotments{}}
		m.teams[name] = t
	}
	return t
}
