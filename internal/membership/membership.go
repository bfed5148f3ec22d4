package membership

import (
	"context"
	"crypto/rand"
	"sort"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/semaphore"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/platform"
	"github.com/endivehill/endivehill/internal/wire"
)

// Options configures a Membership.
type Options struct {
	// Self is this node. Its incarnation is chosen at each join.
	Self   api.Member
	Table  platform.Table
	Caller wire.Caller
	Clock  clock.Clock
	Logger log.Logger // nil for none
	// EntryVMs returns the IP addresses of the entry VMs in the VM list, empty if
	// the platform does not list them or the list is not known. It may be nil.
	EntryVMs func() []string
}

// Membership is the session of this node and its view of the other nodes.
//
// The peer listener must accept connections before Run and until Release has
// returned: a node whose address refuses connections counts as gone.
type Membership struct {
	options   Options
	heads     HeadSource
	loads     LoadSource
	observers []PingObserver
	onLost    []func()
	onChange  []func()

	beating  *semaphore.Weighted // held while the own session row is written
	scanning *semaphore.Weighted // held while the session rows are read

	// The first sessions and pings are exchanged right after a join, so that the
	// members know each other.
	wakeScan, wakePing chan struct{}

	mu      sync.Mutex
	session session
	peers   map[string]*peer // by incarnation
	// scanned is the boot time at which the last successful scan started.
	scanned time.Duration
	// lastHelpful is when this node last told another that the table service is
	// unreachable for it, or joined.
	lastHelpful time.Duration
	// outageUntil is until when the evidence of an outage for all lets this node
	// lead.
	outageUntil time.Duration
	inOutage    bool
	led         bool
}

// New returns a membership that has not joined yet.
func New(o Options) *Membership {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.EntryVMs == nil {
		o.EntryVMs = func() []string { return nil }
	}
	o.Self.Incarnation = ""
	return &Membership{
		options:  o,
		beating:  semaphore.NewWeighted(1),
		scanning: semaphore.NewWeighted(1),
		wakeScan: make(chan struct{}, 1),
		wakePing: make(chan struct{}, 1),
		session:  session{member: o.Self},
		peers:    map[string]*peer{},
	}
}

// SetSources sets what pings carry. It must be called before Run.
func (m *Membership) SetSources(h HeadSource, l LoadSource) { m.heads, m.loads = h, l }

// Observe adds an observer of pings. It must be called before Run.
func (m *Membership) Observe(o PingObserver) { m.observers = append(m.observers, o) }

// OnLost adds a function that is called when the session was lost. The node
// rejoins once it has returned, so it must drop everything that the old
// incarnation owned. It must be called before Run.
func (m *Membership) OnLost(f func()) { m.onLost = append(m.onLost, f) }

// OnChange adds a function that is called when the set of live members changed.
// It must not block. It must be called before Run.
func (m *Membership) OnChange(f func()) { m.onChange = append(m.onChange, f) }

// Run joins and takes part until ctx ends. It does not release the session.
func (m *Membership) Run(ctx context.Context) {
	var wg sync.WaitGroup
	loop := func(interval time.Duration, wake <-chan struct{}, step func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			repeat(ctx, interval, wake, step)
		}()
	}
	loop(HeartbeatInterval, nil, m.beat)
	loop(HeartbeatInterval, m.wakeScan, func(ctx context.Context) { _ = m.Refresh(ctx) }) // tried again at the next tick
	loop(PingInterval, m.wakePing, func(ctx context.Context) { m.pingAll(ctx, &wg) })
	wg.Wait()
}

// wake makes a loop take its next step at once.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// repeat calls step at once, at each interval and when woken, until ctx ends.
func repeat(ctx context.Context, interval time.Duration, wake <-chan struct{}, step func(context.Context)) {
	for running := true; running; {
		next := time.Now().Add(interval)
		step(ctx)
		running = clock.Wait(ctx, time.Until(next), wake)
	}
}

// Self returns this node; the incarnation is empty while it holds no session.
func (m *Membership) Self() api.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.session.member
}

// Members returns the live members, self included while it holds a session.
func (m *Membership) Members() []api.Member {
	return m.list(isAlive)
}

// Candidates returns the members that partitions may be assigned to: the live
// ones without those that are about to stop or isolated. If all are isolated,
// the cut is between all of them, and partitions stay where they are.
func (m *Membership) Candidates() []api.Member {
	if live := m.list(isCandidate); len(live) > 0 {
		return live
	}
	return m.list(isIsolated)
}

func (m *Membership) list(want func(api.SessionState) bool) []api.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []api.Member
	if m.session.joined && want(m.session.state()) {
		out = append(out, m.session.member)
	}
	for _, p := range m.peers {
		if want(p.state) {
			out = append(out, p.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// changed tells the observers of the set of members.
func (m *Membership) changed() {
	for _, f := range m.onChange {
		f()
	}
}

// now returns the boot time.
func (m *Membership) now() time.Duration { return m.options.Clock.Boot() }

// newID returns a random identifier.
func newID() string { return rand.Text() }
