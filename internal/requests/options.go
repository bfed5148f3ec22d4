package requests

import (
	"time"

	"github.com/go-kit/log"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/platform"
)

// Bounds and intervals of a partition.
const (
	defaultMaxQueued = 4096
	// perQueueDivisor limits one queue to this fraction (one quarter) of
	// MaxQueued, so that a burst on one queue leaves room for the others.
	perQueueDivisor = 4
	// connectionDivisor gives the part of an executor's connections (one
	// quarter) that one owner uses. During a handover there may be several
	// owners.
	connectionDivisor = 4

	fenceTimeout        = 2 * time.Second
	fenceRetryInitial   = 100 * time.Millisecond
	fenceRetryMax       = 5 * time.Second
	failureDelayInitial = 200 * time.Millisecond
	failureDelayMax     = 30 * time.Second
	orphanPollInterval  = 100 * time.Millisecond
	drainPollInterval   = time.Second
	// inexactOrphanTime is how long orphans may keep slots of an executor that
	// reports only their number. After that the executor gets no new requests
	// until this owner's own requests have ended, which makes the number exact.
	inexactOrphanTime = time.Second
	// suspectThreshold is the number of successive 5xx answers and missed
	// deadlines after which an executor is ejected like an unreachable one.
	suspectThreshold = 8

	// demandInterval is the longest time between reports to the quota ledger,
	// which expects one a second.
	demandInterval = 500 * time.Millisecond

	// busyInterval and idleInterval are the longest times between reconciliations:
	// busyInterval while requests are queued or executors must be fenced or polled,
	// idleInterval otherwise.
	busyInterval = 10 * time.Millisecond
	idleInterval = 250 * time.Millisecond
)

// Ledger gives access to this partition's allotments of the team limits
// (package quota).
type Ledger interface {
	// Allotment returns the allotment of team that the partition holds now.
	Allotment(team string) api.Resources
	// ReportDemand reports what team uses and wants. It does not block.
	ReportDemand(team string, used, wanted api.Resources)
}

// Options are the dependencies of a Partition.
type Options struct {
	Partition string
	Executor  platform.Executor
	Table     platform.Table
	Batcher   platform.Batcher
	Objects   platform.ObjectStore
	Ledger    Ledger
	Clock     clock.Clock
	Logger    log.Logger
	Metrics   *Metrics // may be nil
	// CheckLead returns nil while this node may place work.
	CheckLead func() error
	// Superseded is called in its own goroutine with the lease that was lost when
	// an upstream or the table service reported a newer owner.
	Superseded func(lease api.PartitionLease)
	// MaxQueued limits the queued requests of the partition; 0 selects the
	// default.
	MaxQueued int
}

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.CheckLead == nil {
		o.CheckLead = func() error { return nil }
	}
	if o.Superseded == nil {
		o.Superseded = func(api.PartitionLease) {}
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = defaultMaxQueued
	}
}
