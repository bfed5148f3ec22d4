package wire

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/test/faultproxy"
)

// nodePolicy detects silence with a second connection, as between the nodes of a cell.
var nodePolicy = SilencePolicy{
	ProbeAfter: 150 * time.Millisecond, ProbeTimeout: 500 * time.Millisecond,
	VerifyAfter: 100 * time.Millisecond, VerifiedTimeout: 250 * time.Millisecond,
}

// bound is the longest time without data after which a silent connection is closed.
func bound(p SilencePolicy) time.Duration { return p.ProbeAfter + maxTimeoutFactor*p.ProbeTimeout }

// simulatedConn is a connection with a request that is not answered for long.
type simulatedConn struct {
	addr     string
	detector silenceDetector
	lastRead time.Time
	checkAt  time.Time
	closedAt time.Time
	// trip returns the time until a probe sent at a time is answered; 0 for never. A second
	// connection takes twice as long.
	trip func(sinceStart time.Duration) time.Duration
	// dead is set if the second connection has no answer either.
	dead bool

	answerAt, probeSentAt, verifiedAt, probedAt time.Time
}

// simulation runs connections of one client in simulated time.
type simulation struct {
	start time.Time
	link  *linkMonitor
	conns []*simulatedConn
}

func newSimulation() *simulation {
	return &simulation{start: time.Now(), link: newLinkMonitor(nodePolicy)}
}

// add adds a connection that sends its request at a time since the start.
func (s *simulation) add(addr string, at time.Duration, trip func(time.Duration) time.Duration) *simulatedConn {
	now := s.start.Add(at)
	c := &simulatedConn{addr: addr, detector: silenceDetector{policy: nodePolicy}, trip: trip, lastRead: now.Add(-time.Millisecond)}
	c.checkAt = now.Add(c.detector.requestSent(now))
	s.conns = append(s.conns, c)
	return c
}

// run simulates the connections for a time.
func (s *simulation) run(d time.Duration) {
	const step = time.Millisecond
	for now := s.start; now.Before(s.start.Add(d)); now = now.Add(step) {
		for _, c := range s.conns {
			if c.closedAt.IsZero() {
				s.deliver(c, now)
				s.check(c, now)
			}
		}
	}
}

// deliver delivers the answers that are due.
func (s *simulation) deliver(c *simulatedConn, now time.Time) {
	if !c.verifiedAt.IsZero() && !now.Before(c.verifiedAt) {
		c.verifiedAt = time.Time{}
		if next := c.detector.nodeVerified(now, c.probedAt); next > 0 {
			c.checkAt = now.Add(next)
		}
	}
	if !c.answerAt.IsZero() && !now.Before(c.answerAt) {
		s.link.answered(c.addr, now.Sub(c.probeSentAt), now)
		c.answerAt, c.lastRead = time.Time{}, now
		c.detector.frameReceived(now, true)
	}
}

func (s *simulation) check(c *simulatedConn, now time.Time) {
	if c.checkAt.IsZero() || now.Before(c.checkAt) {
		return
	}
	action, next := s.link.check(&c.detector, checkInput{addr: c.addr, now: now, lastRead: c.lastRead})
	c.checkAt = now.Add(next)
	trip := c.trip(now.Sub(s.start))
	switch action {
	case silenceClose:
		c.closedAt = now
	case silenceProbe:
		c.probeSentAt = now
		if trip > 0 && c.answerAt.IsZero() {
			c.answerAt = now.Add(trip)
		}
	case silenceVerify:
		c.probedAt = c.detector.probe.sentAt
		if !c.dead {
			c.verifiedAt = now.Add(2 * max(trip, time.Millisecond))
		}
	}
}

func (s *simulation) closed() int {
	n := 0
	for _, c := range s.conns {
		if !c.closedAt.IsZero() {
			n++
		}
	}
	return n
}

func constant(d time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return d }
}

// Guards against a client that closes the connections to all nodes because its own link is
// full and all answers come late, and then adds as many handshakes to the load.
func TestFullLinkClosesNoConnection(t *testing.T) {
	for _, trip := range []time.Duration{20, 200, 400, 600, 900, 1300} {
		s := newSimulation()
		for n := range 40 {
			s.add(fmt.Sprint("n", n), time.Duration(n)*3*time.Millisecond, constant(trip*time.Millisecond))
		}
		s.run(10 * time.Second)
		if s.closed() > 0 {
			t.Errorf("round trip of %d ms: %d connections closed", trip, s.closed())
		}
	}
}

// Guards against a node that closes its connections to one node whose link fills up within
// seconds, although each answer arrives.
func TestRisingRoundTripClosesNoConnection(t *testing.T) {
	s := newSimulation()
	s.add("n", 0, func(since time.Duration) time.Duration { return 5*time.Millisecond + min(since, 5*time.Second)/5 })
	s.run(20 * time.Second)
	if s.closed() > 0 {
		t.Error("closed")
	}
}

// Guards against a silent connection that is not found because the timeouts have grown: within
// the bound, whatever was measured, and as early as before if the path is quick.
func TestSilentConnectionIsClosedWithinTheBound(t *testing.T) {
	for _, tt := range []struct {
		name     string
		prepare  func(s *simulation)
		dead     bool
		from, to time.Duration
	}{
		{"quick path, node answers elsewhere", func(s *simulation) { s.link.answered("n", time.Millisecond, s.start) }, false, 400 * time.Millisecond, 410 * time.Millisecond},
		{"quick path, node is dead", func(s *simulation) { s.link.answered("n", time.Millisecond, s.start) }, true, 650 * time.Millisecond, 660 * time.Millisecond},
		{"nothing measured", func(*simulation) {}, true, 650 * time.Millisecond, 655 * time.Millisecond},
		{"slow path", func(s *simulation) { s.link.answered("n", 3*time.Second, s.start) }, true, 1600 * time.Millisecond, bound(nodePolicy)},
		{"old measurement", func(s *simulation) { s.link.answered("n", 3*time.Second, s.start.Add(-time.Minute)) }, true, 650 * time.Millisecond, 655 * time.Millisecond},
		{"full link", func(s *simulation) {
			for n := range 4 {
				s.add(fmt.Sprint("other", n), 0, constant(400*time.Millisecond))
			}
		}, true, 700 * time.Millisecond, bound(nodePolicy)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation()
			silent := s.add("n", 0, constant(0))
			silent.dead = tt.dead
			tt.prepare(s)
			s.run(3 * time.Second)
			if took := silent.closedAt.Sub(s.start); silent.closedAt.IsZero() || took < tt.from || took > tt.to {
				t.Errorf("closed %v after the request, want %v to %v", took, tt.from, tt.to)
			}
			if s.closed() != 1 {
				t.Errorf("%d connections closed", s.closed())
			}
		})
	}
}

// Guards against a node that has lost its link, or the nodes of a failure domain, and keeps the
// silent connections for longer than the bound.
func TestManySilentConnectionsAreClosedWithinTheBound(t *testing.T) {
	for _, silent := range []int{14, 40} {
		s := newSimulation()
		for n := range 40 {
			trip := constant(2 * time.Millisecond)
			if n < silent {
				trip = constant(0)
			}
			s.add(fmt.Sprint("n", n), time.Duration(n)*time.Millisecond, trip).dead = n < silent
		}
		s.run(3 * time.Second)
		for n, c := range s.conns {
			if took := c.closedAt.Sub(s.start) - time.Duration(n)*time.Millisecond; n < silent != !c.closedAt.IsZero() || n < silent && took > bound(nodePolicy)+time.Millisecond {
				t.Errorf("%d silent: connection %d closed after %v", silent, n, took)
			}
		}
	}
}

// Guards against a client that closes the connections to many addresses at once, and against a
// second connection to one address that waits although the first was closed.
func TestClosesArePaced(t *testing.T) {
	p := closePacer{closedAt: map[string]time.Time{}}
	start := time.Now()
	for n := range closeBurst {
		if wait := p.ask(fmt.Sprint("n", n), start); wait != 0 {
			t.Errorf("address %d waits %v", n, wait)
		}
	}
	if wait := p.ask("n0", start.Add(time.Millisecond)); wait != 0 {
		t.Errorf("the other connection to an address waits %v", wait)
	}
	now := start
	for n := range 5 {
		wait := p.ask(fmt.Sprint("m", n), now)
		if wait != closeInterval {
			t.Errorf("further address %d waits %v, want %v", n, wait, closeInterval)
		}
		now = now.Add(wait)
		if wait := p.ask(fmt.Sprint("m", n), now); wait != 0 {
			t.Errorf("further address %d waits %v longer", n, wait)
		}
	}
	if wait := p.ask("later", now.Add(time.Minute)); wait != 0 || len(p.closedAt) != 1 {
		t.Errorf("after a minute: waits %v, %d addresses remembered", wait, len(p.closedAt))
	}
}

// Guards against an estimate that follows a single late answer, or never forgets one.
func TestRoundTripEstimate(t *testing.T) {
	start := time.Now()
	var r roundTrip
	r.add(80*time.Millisecond, start)
	if got := r.allowance(start); got != 240*time.Millisecond {
		t.Errorf("after one sample: %v", got)
	}
	for n := range 100 {
		r.add(80*time.Millisecond, start.Add(time.Duration(n)*time.Second))
	}
	if got := r.allowance(start.Add(100 * time.Second)); got < 80*time.Millisecond || got > 82*time.Millisecond {
		t.Errorf("after equal samples: %v", got)
	}
	r.add(480*time.Millisecond, start.Add(101*time.Second))
	if got := r.allowance(start.Add(101 * time.Second)); got < 500*time.Millisecond || got > 540*time.Millisecond {
		t.Errorf("after a late answer: %v", got)
	}
	if got := r.allowance(start.Add(101*time.Second + tripMaxAge + 1)); got != 0 {
		t.Errorf("after the last sample is old: %v", got)
	}
}

// Guards against a late answer that shows nothing because its call has ended, and against a
// memory that grows with each request without an answer.
func TestRequestsAreTimedAfterTheirCallsEnd(t *testing.T) {
	start := time.Now()
	var s sentRequests
	for id := range 3 * maxSentRequests {
		s.add(id, start.Add(time.Duration(id)))
	}
	if _, ok := s.take(0); ok || len(s.ids) != maxSentRequests || len(s.at) != maxSentRequests {
		t.Errorf("%d requests remembered, the first among them: %t", len(s.ids), ok)
	}
	last := 3*maxSentRequests - 1
	if at, ok := s.take(last); !ok || !at.Equal(start.Add(time.Duration(last))) {
		t.Errorf("%v, %t", at, ok)
	}
	if _, ok := s.take(last); ok {
		t.Error("a request is timed twice")
	}
}

// Guards against a first connection that is closed at once when the second was answered late:
// the path is slow for both.
func TestLateSecondConnectionGivesTheFirstAsLong(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, tt := range []struct{ answered, closed int }{{260, 400}, {380, 510}, {600, 950}, {640, 1030}} {
		d := silenceDetector{policy: nodePolicy}
		d.requestSent(at(0))
		d.check(at(150), at(-1))
		d.check(at(250), at(-1))
		if next := d.nodeVerified(at(tt.answered), at(150)); next != time.Duration(tt.closed-tt.answered)*time.Millisecond {
			t.Errorf("answered at %d ms: next check in %v, want at %d ms", tt.answered, next, tt.closed)
		}
		if got, _ := d.check(at(tt.closed-1), at(-1)); got == silenceClose {
			t.Errorf("answered at %d ms: closed before %d ms", tt.answered, tt.closed)
		}
		if got, _ := d.check(at(tt.closed), at(-1)); got != silenceClose {
			t.Errorf("answered at %d ms: not closed at %d ms", tt.answered, tt.closed)
		}
	}
}

// Guards against the same on real connections: calls to several nodes whose answers are all
// late end with their answers.
func TestCallsOverAFullLinkAreAnswered(t *testing.T) {
	const nodes = 6
	policy := SilencePolicy{ProbeAfter: 100 * time.Millisecond, ProbeTimeout: 400 * time.Millisecond, VerifyAfter: 50 * time.Millisecond, VerifiedTimeout: 200 * time.Millisecond}
	var closed atomic.Int64
	c := client(t, ClientOptions{Silence: policy, OnSilent: func(SilentConn) { closed.Add(1) }})
	slow := map[api.Method]Handler{api.MethodJobStatus: func(ctx context.Context, payload []byte) (msgp.Marshaler, error) {
		time.Sleep(300 * time.Millisecond)
		return echo(ctx, payload)
	}}
	var proxies []*faultproxy.Proxy
	for range nodes {
		p := proxied(t, slow)
		proxies = append(proxies, p)
		if _, err := call(t.Context(), c, p.Address(), "first"); err != nil {
			t.Fatal(err)
		}
	}
	results := make(chan error, nodes)
	for _, p := range proxies {
		if err := p.Set(faultproxy.Faults{AnswerDelay: 700 * time.Millisecond}); err != nil {
			t.Fatal(err)
		}
		go func() {
			_, err := call(t.Context(), c, p.Address(), "late")
			results <- err
		}()
	}
	for range nodes {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if closed.Load() > 0 {
		t.Errorf("%d connections closed", closed.Load())
	}
}

// Guards against a full link that is inferred from the few nodes which are lost, because the
// nodes that answer their calls within ProbeAfter are never probed: calls to the lost nodes then
// waited three times as long.
func TestFewLostNodesAreNoFullLink(t *testing.T) {
	const healthy, lost = 9, 3
	c := client(t, ClientOptions{Silence: nodePolicy})
	var proxies []*faultproxy.Proxy
	for range healthy + lost {
		p := proxied(t, map[api.Method]Handler{api.MethodJobStatus: echo})
		proxies = append(proxies, p)
		if _, err := call(t.Context(), c, p.Address(), "first"); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for _, p := range proxies[lost:] {
		callers.Go(func() {
			for ctx.Err() == nil {
				_, _ = call(ctx, c, p.Address(), "next")
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	defer callers.Wait()
	defer cancel()
	time.Sleep(lateMaxAge + 100*time.Millisecond) // the handshakes are no longer recent
	for _, p := range proxies[:lost] {
		if err := p.Set(faultproxy.Faults{DropRequests: true, DropAnswers: true}); err != nil {
			t.Fatal(err)
		}
	}
	limit := nodePolicy.ProbeAfter + nodePolicy.ProbeTimeout + closeInterval + 250*time.Millisecond
	for _, p := range proxies[:lost] {
		callers.Go(func() {
			began := time.Now()
			_, err := call(t.Context(), c, p.Address(), "lost")
			if took := time.Since(began); err == nil || took > limit {
				t.Errorf("a call to a lost node ended after %v with %v, want an error within %v", took, err, limit)
			}
		})
	}
	time.Sleep(bound(nodePolicy))
}

// Guards against a memory, and a time for each check, that grow with all addresses that were
// ever called: the nodes of a cell are replaced for months.
func TestAddressesThatAreNotInUseAreForgotten(t *testing.T) {
	l, start := newLinkMonitor(nodePolicy), time.Now()
	for n := range 1000 {
		l.answered(fmt.Sprint("answered", n), time.Millisecond, start)
		l.silent(fmt.Sprint("silent", n), start)
		l.received(fmt.Sprint("received", n), start)
	}
	now := start.Add(tripMaxAge)
	l.answered("in use", time.Millisecond, now)
	l.allowance("in use", now.Add(time.Millisecond))
	if len(l.trips) != 1 {
		t.Errorf("%d addresses remembered, want 1", len(l.trips))
	}
}
