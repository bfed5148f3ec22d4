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

// Times and bounds of the writes.
const (
	// flushInterval spaces transactions: at most ten a second for each node.
	flushInterval = 100 * time.Millisecond
	// maxBatchTeams is the number of rows of one transaction.
	maxBatchTeams = 64
	// readInterval spaces reads of the rows while a demand is unmet or a limit is
	// exceeded.
	readInterval = 1 * time.Second
	// auditInterval is how often the rows are read otherwise, to find allotments
	// of partitions that no longer exist.
	auditInterval = 30 * time.Second
	// vacancyDelay is how long a partition must have been vacant before its
	// allotment is freed, so that its last work has ended.
	vacancyDelay = 60 * time.Second
	storeTimeout = 2 * time.Second
	// retryDelay is waited after a failed call.
	retryDelay = 1 * time.Second
	scanPage   = 500
	// maxConflictShift bounds the growth of the delay after conflicts, which starts
	// at half the flush interval and doubles.
	maxConflictShift = 6
)

// Options configures a Manager.
type Options struct {
	Table  platform.Table
	Clock  clock.Clock
	Logger log.Logger // nil for none
	// Limit returns the limit of a team over the fleet; nothing for a team that
	// does not exist.
	Limit func(team string) api.Resources
	// Vacant reports whether a partition neither exists in the configuration nor
	// has an owner, and the version of its row. It may be nil.
	Vacant func(partition string) (storedVersion int64, vacant bool)
}

// Manager keeps the ledgers of the partitions that this node owns.
type Manager struct {
	options Options

	mu      sync.Mutex
	teams   map[string]*team
	ledgers map[string]*ledger // by partition
	// readAt is when the rows are to be read next.
	readAt time.Duration
	// waitUntil delays the next call after a failure.
	waitUntil time.Duration
	failing   bool // the last call failed; only the first failure is logged
	batch     int
	vacant    map[string]time.Duration // since when partitions have been vacant
}

// team is the newest known row of a team.
type team struct {
	version int64
	row     allotments
	// unresolved is set while a write over version may still arrive.
	unresolved bool
	stale      bool // the row has changed since it was read
	dirty      bool
	// conflicts counts transactions in a row that conflicted; notBefore delays the
	// next one, so that a team that always conflicts does not block the others.
	conflicts int
	notBefore time.Duration
}

// ledger is the Ledger of one partition in one epoch.
type ledger struct {
	manager *Manager
	lease   api.PartitionLease
	opened  time.Duration
	loaded  bool // the rows were read since it was opened
	closed  bool
	shares  map[string]*share // by team
}

// NewManager returns a manager without ledgers.
func NewManager(o Options) *Manager {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Vacant == nil {
		o.Vacant = func(string) (int64, bool) { return 0, false }
	}
	return &Manager{
		options: o,
		teams:   map[string]*team{},
		ledgers: map[string]*ledger{},
		vacant:  map[string]time.Duration{},
		batch:   maxBatchTeams,
	}
}

// Open returns the ledger of a partition that this node owns. It holds nothing
// until the rows have been read.
func (m *Manager) Open(lease api.PartitionLease) Ledger {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.ledgers[lease.Partition]; old != nil {
		old.closed = true
	}
	l := &ledger{manager: m, lease: lease, opened: m.options.Clock.Boot(), shares: map[string]*share{}}
	m.ledgers[lease.Partition] = l
	m.readAt = 0
	return l
}

// Close ends the ledger of a partition. Its allotments stay recorded and pass to
// the next owner.
func (m *Manager) Close(partition string, epoch int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.ledgers[partition]
	if l != nil && l.lease.Epoch == epoch {
		l.closed = true
		delete(m.ledgers, partition)
	}
}

// LimitsChanged makes the manager compare the allotments with the limits anew.
func (m *Manager) LimitsChanged() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readAt = 0
}

// Run writes and reads the rows until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		m.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step does at most one read of the rows and one transaction.
func (m *Manager) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	now := m.options.Clock.Boot()
	m.mu.Lock()
	wait := now < m.waitUntil
	read := now >= m.readAt
	m.mu.Unlock()
	if wait {
		return
	}
	if read {
		if err := m.read(ctx); err != nil {
			m.failed(err)
			return
		}
	}
	if err := m.flush(ctx); err != nil {
		m.failed(err)
	}
}

// Held returns what the partition may use for a team now.
func (l *ledger) Held(team string) api.Resources {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	s := l.shares[team]
	if l.closed || !l.loaded || s == nil {
		return api.Resources{}
	}
	return s.held.resources()
}

// Demand tells what a team uses and what it could use.
func (l *ledger) Demand(name string, used, wanted api.Resources) {
	m := l.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.closed {
		return
	}
	s := l.shares[name]
	if s == nil {
		s = newShare()
		l.shares[name] = s
	}
	t := m.team(name)
	var allotted amount
	if l.loaded {
		allotted = t.row[l.lease.Partition]
	}
	s.demand(amountOf(used), amountOf(wanted), allotted, m.options.Clock.Boot())
	if s.need.exceeds(allotted) || s.keep(allotted) != allotted {
		t.dirty = true
	}
}

// Teams returns the teams that hold an allotment in the partition, sorted.
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

// team returns the state of a team, which is empty before its first row.
func (m *Manager) team(name string) *team {
	t := m.teams[name]
	if t == nil {
		t = &team{row: allotments{}}
		m.teams[name] = t
	}
	return t
}
