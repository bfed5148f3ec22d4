package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/semaphore"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/platform"
)

// Intervals and timeouts of ownership.
const (
	// reconcileInterval is the time between two reads of the partition rows.
	reconcileInterval = 1 * time.Second
	// handoverPollInterval replaces reconcileInterval while another live node still owns a
	// partition that is assigned to this node.
	handoverPollInterval = 200 * time.Millisecond
	// HandoverTimeout bounds the time in which an owner finishes work before a handover.
	HandoverTimeout = 30 * time.Second
	storeTimeout    = 2 * time.Second
	releaseRetry    = 500 * time.Millisecond
	// minReadInterval is the minimum time between two reads of the partition rows.
	minReadInterval = 100 * time.Millisecond
)

// Membership is the part of package membership that ownership depends on.
type Membership interface {
	Self() api.Member
	// Candidates returns the members that partitions are assigned to.
	Candidates() []api.Member
	CheckLead() error
	CannotLead(incarnation string) bool
	// Alive reports whether a session is live and whether it is known.
	Alive(incarnation string) (alive, known bool)
	// Refresh reads the sessions from the table service.
	Refresh(ctx context.Context) error
}

// Options configures an Ownership.
type Options struct {
	Table      platform.Table
	Membership Membership
	Clock      clock.Clock
	Logger     log.Logger // nil for none
	// Partitions returns the names of the partitions of the configuration in
	// force; false while the configuration is not known.
	Partitions func() ([]string, bool)
	// NewRunner returns the runner of a partition. It is called once for each partition.
	NewRunner func(partition string) PartitionRunner
}

// Ownership claims, holds and hands over the partitions of this node.
type Ownership struct {
	options  Options
	wake     chan struct{}
	readLock *semaphore.Weighted // held while the partition rows are read

	mu              sync.Mutex
	latest          map[string]api.PartitionLease // newest known row of each partition
	held            map[string]*heldPartition     // partitions that this node runs or is releasing
	runners         map[string]PartitionRunner
	lastRead        time.Duration // when the last successful read started
	stopping        bool
	pendingReleases sync.WaitGroup
}

// heldPartition is a partition from its claim until it is released or dropped.
type heldPartition struct {
	lease  api.PartitionLease
	runner PartitionRunner
	// cancelRelease ends the context of the release, so that work is dropped at once.
	cancelRelease context.CancelFunc
	ctx           context.Context
	// acquired is closed once Acquire of the runner has returned; Release of the
	// runner is not called before. The runner is called without Ownership.mu.
	acquired chan struct{}
	// releasing is set once the release of the partition has started.
	releasing bool
	// superseded is set if a newer owner may exist; the row is then not written.
	superseded bool
}

// New returns an ownership without partitions.
func New(o Options) *Ownership {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return &Ownership{
		options:  o,
		wake:     make(chan struct{}, 1),
		readLock: semaphore.NewWeighted(1),
		latest:   map[string]api.PartitionLease{},
		held:     map[string]*heldPartition{},
		runners:  map[string]PartitionRunner{},
	}
}

// Run claims and hands over partitions until ctx ends. The partitions that are
// held then stay held; Stop releases them.
func (o *Ownership) Run(ctx context.Context) {
	for clock.Wait(ctx, o.reconcile(ctx), o.wake) {
	}
}

// Wake makes Run read and claim the partitions at once.
func (o *Ownership) Wake() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Held returns the leases of the partitions that this node runs.
func (o *Ownership) Held() []api.PartitionLease {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []api.PartitionLease
	for _, h := range o.held {
		if !h.superseded {
			out = append(out, h.lease)
		}
	}
	return out
}

// DropAll drops all partitions at once and returns when none of their work runs. The
// node calls it when its session was lost.
func (o *Ownership) DropAll() {
	o.mu.Lock()
	for _, h := range o.held {
		o.dropLocked(h)
	}
	o.mu.Unlock()
	o.pendingReleases.Wait()
}

// Stop hands all partitions over: their runners finish their work until ctx
// ends, or for at most HandoverTimeout, and the rows are marked as released.
func (o *Ownership) Stop(ctx context.Context) {
	o.mu.Lock()
	o.stopping = true
	for _, h := range o.held {
		o.handOverLocked(h)
	}
	o.mu.Unlock()
	done := make(chan struct{})
	go func() {
		o.pendingReleases.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		o.DropAll()
	}
}
