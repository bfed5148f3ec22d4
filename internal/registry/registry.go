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

// Times of the registry.
const (
	// Freshness is how long a view counts as current after the read that showed
	// it.
	Freshness    = 4 * time.Second
	pollInterval = 1 * time.Second
	storeTimeout = 1 * time.Second
	// loadTimeout bounds the read of a new configuration and of the keys.
	loadTimeout = 3 * time.Second
	// changeTimeout bounds the attempts to commit a change.
	changeTimeout = 5 * time.Second
	retryDelay    = 50 * time.Millisecond
	// ConfirmTimeout bounds the wait for the confirmations of a change. Members
	// that do not answer are settled after 5 s and the next heartbeat.
	ConfirmTimeout  = 7 * time.Second
	confirmInterval = 100 * time.Millisecond
	pushTimeout     = 1 * time.Second
	// pushDelay is how long a member that lags is left to read the table service
	// itself.
	pushDelay = 1500 * time.Millisecond
)

// maxPingKeys is the number of changed keys that a ping carries at most.
const maxPingKeys = 1000

// Membership is what this package needs to know of the members.
type Membership interface {
	Self() api.Member
	// OutageUntil returns until when an outage for all is confirmed.
	OutageUntil() time.Duration
	// Refresh reads the sessions anew.
	Refresh(ctx context.Context) error
	// Others returns every other incarnation that may serve callers.
	Others() []api.Member
	// CannotServeStale reports whether an incarnation that did not confirm a change made
	// at a boot time by self serves no state without it.
	CannotServeStale(incarnation, self string, since time.Duration) bool
}

// Options configures a Registry.
type Options struct {
	Table      platform.Table
	Membership Membership
	Caller     wire.Caller
	Clock      clock.Clock
	Logger     log.Logger // nil for none
	// OperatorKeySHA256 is the hash in hex of an operator key that is not in the
	// table service; empty for none.
	OperatorKeySHA256 string
	// OnChange is called after a new state was installed, one call at a time. It
	// must not block. It may be nil.
	OnChange func(*Snapshot)
}

// Registry is the replica of the configuration and the keys at this node.
type Registry struct {
	options   Options
	bootstrap []byte // hash of the operator key of the settings, or nil
	snapshot  atomic.Pointer[Snapshot]
	loading   *semaphore.Weighted // held while new state is read from the table service

	notifying sync.Mutex // held while OnChange runs

	mu   sync.Mutex
	head api.Head
	// installed is when the head in force was installed.
	installed time.Duration
	config    api.ConfigRow // row of the configuration in force
	// read is when the last own successful read of the head was sent whose state
	// is in force.
	read    time.Duration
	hasRead bool
	// freshUntil is until when the view counts as current.
	freshUntil time.Duration
	wasFresh   bool
	// newest is the newest head seen anywhere.
	newest api.Head
	peers  map[string]*peerHead // by incarnation
}

// New returns a registry that knows nothing yet.
func New(o Options) (*Registry, error) {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.OnChange == nil {
		o.OnChange = func(*Snapshot) {}
	}
	r := &Registry{options: o, loading: semaphore.NewWeighted(1), peers: map[string]*peerHead{}}
	r.snapshot.Store(&Snapshot{Config: &api.Configuration{}, Keys: map[string]api.Key{}})
	if o.OperatorKeySHA256 != "" {
		hash, err := hex.DecodeString(strings.TrimSpace(o.OperatorKeySHA256))
		if err != nil || len(hash) != hashBytes {
			return nil, errkind.New(errkind.InvalidArgument, "operator_key_sha256", "not a SHA-256 hash in hex")
		}
		r.bootstrap = hash
	}
	return r, nil
}

// Run reads the head every second until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	for running := true; running; {
		next := time.Now().Add(pollInterval)
		_ = r.Refresh(ctx) // tried again at the next poll
		r.logFresh()
		r.forgetPeers()
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

// HeadAge returns the time since the last own read of the head whose state is in
// force.
func (r *Registry) HeadAge() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.options.Clock.Boot() - r.read, r.hasRead
}

// KeysSince returns every key changed after a revision, or nothing if they are
// too many for a ping.
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
