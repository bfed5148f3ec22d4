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
	// queueFraction bounds one queue to this part of the partition's queue, so
	// that a burst on one queue leaves room for the others.
	queueFraction = 4
	// connectionFraction is the part of an executor's connections that one owner
	// uses. During a handover there may be several owners.
	connectionFraction = 4

	fenceTimeout        = 2 * time.Second
	fenceRetryInitial   = 100 * time.Millisecond
	fenceRetryMax       = 5 * time.Second
	failureDelayInitial = 200 * time.Millisecond
	failureDelayMax     = 30 * time.Second
	orphanPollInterval  = 100 * time.Millisecond
	drainPollInterval   = time.Second
	// orphanHold is how long requests of a previous owner may keep slots of an
	// executor that reports only their number. After that the executor gets no
	// new work until this owner's own requests have ended, which makes the
	// number exact.
	orphanHold = time.Second
	// suspectRun is the number of successive 5xx answers and missed deadlines
	// after which an executor is taken out like one that cannot be reached.
	suspectRun = 8

	// demandInterval is the longest time between reports to the quota ledger,
	// which wants one a second.
	demandInterval = 500 * time.Millisecond

	busyTick = 10 * time.Millisecond  // while requests wait or executors are to be polled
	idleTick = 250 * time.Millisecond // otherwise
)

// Ledger is the allotment of team limits to this partition (package quota).
type Ledger interface {
	// Held returns the allotment of team that the partition holds now.
	Held(team string) api.Resources
	// Demand tells the ledger what team uses and wants. It does not block.
	Demand(team string, used, wanted api.Resources)
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
	// Lead returns nil while this node may place work.
	Lead func() error
	// Dropped is called when an upstream reported a newer owner, with the lease
	// that was given up. It is called in a goroutine of its own.
	Dropped func(lease api.PartitionLease)
	// MaxQueued bounds the requests that wait; 0 for the default.
	MaxQueued int
}

func (o *Options) setDefaults() {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Lead == nil {
		o.Lead = func() error { return nil }
	}
	if o.Dropped == nil {
		o.Dropped = func(api.PartitionLease) {}
	}
	if o.MaxQueued == 0 {
		o.MaxQueued = defaultMaxQueued
	}
}
