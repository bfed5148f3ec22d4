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
	// Self is this node. Each join chooses a new incarnation.
	Self   api.Member
	Table  platform.Table
	Caller wire.Caller
	Clock  clock.Clock
	Logger log.Logger // nil for none
	// EntryVMs returns the IP addresses of the entry VMs in the VM list; empty if
	// the platform does not list entry VMs or the list is not known. It may be nil.
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

	heartbeatLock *semaphore.Weighted // held while the own session row is written
	scanLock      *semaphore.Weighted // held while the session rows are read

	// wakeScan and wakePing start a scan or a round of pings at once, so that members
	// know each other right after a join.
	wakeScan, wakePing chan struct{}

	mu      sync.Mutex
	session session
	peers   map[string]*peer // by incarnation
	// lastScan is the boot time at which the last successful scan started.
	lastScan time.Duration
	// lastOutageReport is when this node last reported to another that the table
	// service is unreachable for it, or when it joined if that was later.
	lastOutageReport time.Duration
	// outageUntil is the boot time until which this node may lead because of a
	// cell-wide outage.
	outageUntil time.Duration
	inOutage    bool
	wasLeading  bool
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
		options:       o,
		heartbeatLock: semaphore.NewWeighted(1),
		scanLock:      semaphore.NewWeighted(1),
		wakeScan:      make(chan struct{}, 1),
		wakePing:      make(chan struct{}, 1),
		session:       session{member: o.Self},
		peers:         map[string]*peer{},
	}
}

// SetPingSources sets the sources of the head and the loads that pings carry. It must
// be called before Run.
func (m *Membership) SetPingSources(h HeadSource, l LoadSource) { m.heads, m.loads = h, l }

// AddPingObserver adds an observer of pings. It must be called before Run.
func (m *Membership) AddPingObserver(o PingObserver) { m.observers = append(m.observers, o) }

// OnLost adds a function that is called when the session was lost. The function must
// drop everything that the old incarnation owned; the node rejoins after it has
// returned. OnLost must be called before Run.
func (m *Membership) OnLost(f func()) { m.onLost = append(m.onLost, f) }

// OnChange adds a function that is called when the set of live members changed.
// The function must not block. OnChange must be called before Run.
func (m *Membership) OnChange(f func()) { m.onChange = append(m.onChange, f) }

// Run joins the cell and writes heartbeats, scans sessions and pings members until
// ctx ends. It does not release the session.
func (m *Membership) Run(ctx context.Context) {
	var wg sync.WaitGroup
	loop := func(interval time.Duration, wake <-chan struct{}, step func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			repeat(ctx, interval, wake, step)
		}()
	}
	loop(HeartbeatInterval, nil, m.joinOrHeartbeat)
	loop(HeartbeatInterval, m.wakeScan, func(ctx context.Context) { _ = m.Refresh(ctx) }) // retried after HeartbeatInterval
	loop(PingInterval, m.wakePing, func(ctx context.Context) { m.pingAll(ctx, &wg) })
	wg.Wait()
}

// wake makes the loop that waits on c run its next step at once.
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
	return m.filterMembers(isAlive)
}

// Candidates returns the members that partitions may be assigned to: the live
// members that are neither isolated nor about to stop. If there are none, no member
// reaches another, and the isolated members are returned so that partitions stay with
// their owners.
func (m *Membership) Candidates() []api.Member {
	if live := m.filterMembers(isCandidate); len(live) > 0 {
		return live
	}
	return m.filterMembers(isIsolated)
}

func (m *Membership) filterMembers(want func(api.SessionState) bool) []api.Member {
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

// notifyChange calls the functions added by OnChange.
func (m *Membership) notifyChange() {
	for _, f := range m.onChange {
		f()
	}
}

// now returns the boot time.
func (m *Membership) now() time.Duration { return m.options.Clock.Boot() }

// newID returns a random identifier.
func newID() string { return rand.Text() }
