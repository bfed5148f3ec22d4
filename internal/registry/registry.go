package registry

import (
	"context"
	"encoding/hex"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/semaphore"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/wire"
)

// Intervals and timeouts of the registry.
const (
	// MaxViewAge is how long a view counts as current after the read of the head
	// that confirmed it.
	MaxViewAge      = 4 * time.Second
	refreshInterval = 1 * time.Second
	storeTimeout    = 1 * time.Second
	// loadTimeout bounds the read of a new configuration and of the keys.
	loadTimeout = 3 * time.Second
	// changeTimeout bounds the attempts to commit a change.
	changeTimeout = 5 * time.Second
	retryDelay    = 50 * time.Millisecond
	// ConfirmTimeout bounds the wait for the confirmations of a change. A member
	// that does not answer can serve no stale view after 5 s and the next heartbeat.
	ConfirmTimeout  = 7 * time.Second
	confirmInterval = 100 * time.Millisecond
	pushTimeout     = 1 * time.Second
	// pushDelay is how long a member may take to read a new state from the table
	// service before the state is sent to it.
	pushDelay = 1500 * time.Millisecond
)

// maxPingKeys is the maximum number of changed keys in a ping.
const maxPingKeys = 1000

// Membership is the part of package membership that the registry depends on.
type Membership interface {
	Self() api.Member
	// OutageUntil returns the boot time until which a cell-wide outage of the table
	// service is confirmed.
	OutageUntil() time.Duration
	// Refresh reads the sessions from the table service.
	Refresh(ctx context.Context) error
	// Others returns every other incarnation that may serve callers.
	Others() []api.Member
	// CannotServeStale reports whether an incarnation that did not confirm a change made
	// by self at the boot time since cannot serve a state without the change.
	CannotServeStale(incarnation, self string, since time.Duration) bool
}

// Options configures a Registry.
type Options struct {
	Table      platform.Table
	Membership Membership
	Caller     wire.Caller
	Clock      clock.Clock
	Logger     log.Logger // nil for none
	// OperatorKeySHA256 is the hex-encoded hash of an operator key that is not in
	// the table service; empty for none.
	OperatorKeySHA256 string
	// OnChange is called after a new state was installed, one call at a time. It
	// must not block. It may be nil.
	OnChange func(*Snapshot)
}

// Registry is the replica of the configuration and the keys at this node.
type Registry struct {
	options       Options
	bootstrapHash []byte // hash of the operator key in the settings, or nil
	snapshot      atomic.Pointer[Snapshot]
	refreshLock   *semaphore.Weighted // held while new state is read from the table service

	notifyLock sync.Mutex // held while OnChange runs

	mu   sync.Mutex
	head api.Head
	// installedAt is when the head in force was installed.
	installedAt time.Duration
	configRow   api.ConfigRow // row of the configuration in force
	// lastRead is when this node sent its last read that returned a head whose state, or
	// newer state, was installed.
	lastRead time.Duration
	hasRead  bool
	// freshUntil is the boot time until which the view counts as current.
	freshUntil time.Duration
	wasFresh   bool
	// newestSeen holds the newest configuration version and key revision that this node
	// has read or a peer has reported.
	newestSeen api.Head
	peers      map[string]*peerState // by incarnation
}

// New returns a registry without configuration and keys.
func New(o Options) (*Registry, error) {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.OnChange == nil {
		o.OnChange = func(*Snapshot) {}
	}
	r := &Registry{options: o, refreshLock: semaphore.NewWeighted(1), peers: map[string]*peerState{}}
	r.snapshot.Store(&Snapshot{Config: &api.Configuration{}, Keys: map[string]api.Key{}})
	if o.OperatorKeySHA256 != "" {
		hash, err := hex.DecodeString(strings.TrimSpace(o.OperatorKeySHA256))
		if err != nil || len(hash) != hashBytes {
			return nil, errkind.New(errkind.InvalidArgument, "operator_key_sha256", "not a SHA-256 hash in hex")
		}
		r.bootstrapHash = hash
	}
	return r, nil
}

// Run reads the head every second until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	for running := true; running; {
		next := time.Now().Add(refreshInterval)
		_ = r.Refresh(ctx) // retried after refreshInterval
		r.logFreshness()
		r.removeExpiredPeers()
		running = clock.Sleep(ctx, time.Until(next))
	}
}

// Snapshot returns the state in force.
func (r *Registry) Snapshot() *Snapshot { return r.snapshot.Load() }

// Head returns the head in force.
func (r *Registry) Head() api.Head {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.head
}

// HeadAge returns the time since this node last read a head whose state, or newer state,
// was installed; false if it has read none.
func (r *Registry) HeadAge() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Clock.Boot() - r.lastRead, r.hasRead
}

// KeysSince returns every key changed after a revision, or nil if there are too many for
// a ping.
func (r *Registry) KeysSince(revision int) []api.Key {
	out := changedKeys(r.Snapshot(), revision)
	if len(out) > maxPingKeys {
		return nil
	}
	return out
}

func changedKeys(s *Snapshot, revision int) []api.Key {
	var out []api.Key
	for _, k := range s.Keys {
		if k.Revision > revision {
			out = append(out, k)
		}
	}
	return out
}
