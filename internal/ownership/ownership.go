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

// Times of ownership.
const (
	// stepInterval is how often the partitions are read and claimed.
	stepInterval = 1 * time.Second
	// handoverInterval is used instead while a partition that is designated to
	// this node is still being handed over by its owner.
	handoverInterval = 200 * time.Millisecond
	// HandoverTimeout bounds how long an owner finishes work before it hands over.
	HandoverTimeout = 30 * time.Second
	storeTimeout    = 2 * time.Second
	releaseRetry    = 500 * time.Millisecond
	// minRefreshGap spaces reads of the partition rows on demand.
	minRefreshGap = 100 * time.Millisecond
)

// Membership is what this package needs to know of the members.
type Membership interface {
	Self() api.Member
	// Candidates returns the members that partitions are assigned to.
	Candidates() []api.Member
	Lead() error
	Excluded(incarnation string) bool
	// Alive reports whether a session is live and whether it is known.
	Alive(incarnation string) (alive, known bool)
	// Refresh reads the sessions anew.
	Refresh(ctx context.Context) error
}

// Options configures an Ownership.
type Options struct {
	Table      platform.Table
	Membership Membership
	Clock      clock.Clock
	Logger     log.Logger // nil for none
	// Partitions returns the names of the partitions of the configuration in
	// force; false while it is not known.
	Partitions func() ([]string, bool)
	// NewTenant makes the tenant of a partition. It is called once for each.
	NewTenant func(partition string) Tenant
}

// Ownership claims and hands over the partitions of this node.
type Ownership struct {
	options Options
	wake    chan struct{}
	reading *semaphore.Weighted // held while the partition rows are read

	mu       sync.Mutex
	known    map[string]api.PartitionLease // newest known row of each partition
	held     map[string]*holding           // partitions that this node runs or is giving up
	tenants  map[string]Tenant
	readAt   time.Duration // when the last successful read started
	stopping bool
	releases sync.WaitGroup
}

// holding is a partition from its claim until it is given up.
type holding struct {
	lease  api.PartitionLease
	tenant Tenant
	// drop ends the context of the release, so that work is dropped at once.
	drop context.CancelFunc
	ctx  context.Context
	// acquired is closed once Acquire of the tenant has returned; its Release is
	// not called before. The tenant is called without the lock of this package.
	acquired chan struct{}
	// releasing is set once the partition is being given up.
	releasing bool
	// superseded is set if a newer owner may exist, so no row is written.
	superseded bool
}

// New returns an ownership without partitions.
func New(o Options) *Ownership {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return &Ownership{
		options: o,
		wake:    make(chan struct{}, 1),
		reading: semaphore.NewWeighted(1),
		known:   map[string]api.PartitionLease{},
		held:    map[string]*holding{},
		tenants: map[string]Tenant{},
	}
}

// Run claims and hands over partitions until ctx ends. The partitions that are
// held then stay held; Stop gives them up.
func (o *Ownership) Run(ctx context.Context) {
	for clock.Wait(ctx, o.step(ctx), o.wake) {
	}
}

// Wake makes Run look at the partitions at once.
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

// DropAll drops all partitions at once and returns when nothing of them runs. It
// is called when the session was lost.
func (o *Ownership) DropAll() {
	o.mu.Lock()
	for _, h := range o.held {
		o.dropLocked(h)
	}
	o.mu.Unlock()
	o.releases.Wait()
}

// Stop hands all partitions over: their tenants finish their work until ctx
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
		o.releases.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		o.DropAll()
	}
}
