package wire

import (
	"slices"
	"sync"
	"time"
)

// maxTimeoutFactor bounds the timeouts of a connection, in multiples of those of the policy, so
// that a silent connection is found in bounded time whatever was measured before.
const maxTimeoutFactor = 3

// roundTrip is the smoothed round trip of an address and its mean deviation, by RFC 6298.
type roundTrip struct {
	smoothed, deviation time.Duration
	last                time.Duration // last sample
	lastAt              time.Time
	receivedAt          time.Time // when an answer last arrived that shows no round trip
	silentAt            time.Time // when a probe was last found unanswered since that sample; zero for never
}

// Parameters of RFC 6298.
const (
	smoothedPart  = 8 // a sample changes the smoothed round trip by this part of the difference
	deviationPart = 4 // the same for the deviation
	deviations    = 4 // added to the smoothed round trip
	// tripMaxAge is the age of the last sample above which an estimate is ignored.
	tripMaxAge = 30 * time.Second
)

func (r *roundTrip) add(sample time.Duration, now time.Time) {
	if !r.known(now) {
		r.smoothed, r.deviation = sample, sample/2
	} else {
		r.deviation += ((r.smoothed - sample).Abs() - r.deviation) / deviationPart
		r.smoothed += (sample - r.smoothed) / smoothedPart
	}
	r.last, r.lastAt, r.silentAt = sample, now, time.Time{}
}

func (r *roundTrip) known(now time.Time) bool {
	return !r.lastAt.IsZero() && now.Sub(r.lastAt) <= tripMaxAge
}

// allowance returns the time within which nearly all answers arrive; 0 if it is not known.
func (r *roundTrip) allowance(now time.Time) time.Duration {
	if !r.known(now) {
		return 0
	}
	return r.smoothed + deviations*r.deviation
}

// forgettable reports whether the estimate has no effect any more.
func (r *roundTrip) forgettable(now time.Time) bool {
	return !r.known(now) && now.Sub(r.receivedAt) > lateMaxAge && now.Sub(r.silentAt) > lateMaxAge
}

// active reports whether a connection to the address has been in use lately, and whether its
// last sample was later than a time or is still missing. An address that answers its calls so
// soon that it is not probed has no samples, and is active too.
func (r *roundTrip) active(now time.Time, lateAfter time.Duration) (active, late bool) {
	recent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) <= lateMaxAge }
	if recent(r.silentAt) {
		return true, true
	}
	sampled := recent(r.lastAt)
	return sampled || recent(r.receivedAt), sampled && r.last > lateAfter
}

// linkMonitor holds what a client knows of the paths to the addresses that it calls. It tells a
// silent connection from a full link of this node, on which the answers of all addresses are
// late. It has no I/O and no clock.
type linkMonitor struct {
	lateAfter time.Duration // an answer that takes longer is late

	mu     sync.Mutex
	trips  map[string]*roundTrip // by address
	closes closePacer
}

func newLinkMonitor(p SilencePolicy) *linkMonitor {
	lateAfter := p.VerifyAfter
	if lateAfter == 0 {
		lateAfter = p.ProbeAfter
	}
	return &linkMonitor{lateAfter: lateAfter, trips: map[string]*roundTrip{}, closes: closePacer{closedAt: map[string]time.Time{}}}
}

// answered records that an address has answered at once, and how long the answer took.
func (l *linkMonitor) answered(addr string, took time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trip(addr).add(took, now)
}

// received records that an answer of an address has arrived which shows no round trip.
func (l *linkMonitor) received(addr string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trip(addr).receivedAt = now
}

// silent records that an address does not answer a probe.
func (l *linkMonitor) silent(addr string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trip(addr).silentAt = now
}

// trip returns the estimate for an address. mu is held.
func (l *linkMonitor) trip(addr string) *roundTrip {
	r := l.trips[addr]
	if r == nil {
		r = &roundTrip{}
		l.trips[addr] = r
	}
	return r
}

// The link of this node counts as full if at least half of the other addresses in use lately,
// and no fewer than minLateAddresses, answered late or do not answer.
const (
	lateMaxAge       = time.Second
	minLateAddresses = 2
)

// allowance returns the time by which the timeouts of connections to an address are longer
// than those of the policy. full reports that the link of this node counts as full.
func (l *linkMonitor) allowance(addr string, now time.Time) (allowance time.Duration, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.trips[addr]; r != nil {
		allowance = r.allowance(now)
	}
	active, late := 0, 0
	for other, r := range l.trips {
		if r.forgettable(now) {
			delete(l.trips, other)
			continue
		}
		isActive, isLate := r.active(now, l.lateAfter)
		if other == addr || !isActive {
			continue
		}
		active++
		if isLate {
			late++
		}
	}
	return allowance, late >= minLateAddresses && 2*late >= active
}

// checkInput is what a check of a connection depends on besides its detector.
type checkInput struct {
	addr      string
	now       time.Time
	lastRead  time.Time // when the last bytes arrived
	uploading bool      // a large frame is being written
}

// check decides what to do with a connection, and returns the time until the next check, 0 for
// none.
func (l *linkMonitor) check(d *silenceDetector, in checkInput) (silenceAction, time.Duration) {
	d.allowance, d.fullLink = l.allowance(in.addr, in.now)
	check := d.check
	if in.uploading {
		check = d.checkUpload
	}
	action, next := check(in.now, in.lastRead)
	if action == silenceVerify || action == silenceClose {
		l.silent(in.addr, in.now)
	}
	if action != silenceClose {
		return action, next
	}
	if wait := l.mayClose(in.addr, in.now); wait > 0 {
		if next := d.postpone(in.now, in.lastRead, wait); next > 0 {
			return silenceWait, next
		}
	}
	return silenceClose, 0
}

// mayClose returns 0 if a silent connection to an address may be closed now, and counts the
// closing; otherwise it returns the time after which to ask again.
func (l *linkMonitor) mayClose(addr string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closes.ask(addr, now)
}

// closePacer spaces the closing of silent connections to different addresses. If many are
// silent at a time, the link of this node may be the cause, and dialing all again adds to it.
type closePacer struct {
	due      time.Time            // when the next address would be closed without a burst
	closedAt map[string]time.Time // last closing, by address; entries expire after sameAddressWithin
}

const (
	closeInterval = 50 * time.Millisecond // between two addresses
	closeBurst    = 3                     // addresses that are closed without a wait
	// sameAddressWithin is the time for which further connections to an address whose
	// connection was closed are closed without a wait.
	sameAddressWithin = time.Second
)

// ask returns 0 if a connection to an address may be closed now, and counts the closing;
// otherwise it returns the time after which to ask again.
func (p *closePacer) ask(addr string, now time.Time) time.Duration {
	if last, ok := p.closedAt[addr]; ok && now.Sub(last) < sameAddressWithin {
		return 0
	}
	if earliest := p.due.Add(-(closeBurst - 1) * closeInterval); now.Before(earliest) {
		return earliest.Sub(now)
	}
	p.due = later(p.due, now).Add(closeInterval)
	for other, at := range p.closedAt {
		if now.Sub(at) >= sameAddressWithin {
			delete(p.closedAt, other)
		}
	}
	p.closedAt[addr] = now
	return 0
}

// sentRequests holds when requests were sent that the other node answers at once, by call ID.
// An answer that comes after its call has ended counts too: it shows how slow the path is.
type sentRequests struct {
	ids []int
	at  []time.Time
}

// maxSentRequests bounds the requests remembered; the oldest are dropped.
const maxSentRequests = 16

func (s *sentRequests) add(id int, now time.Time) {
	if len(s.ids) == maxSentRequests {
		s.ids, s.at = slices.Delete(s.ids, 0, 1), slices.Delete(s.at, 0, 1)
	}
	s.ids, s.at = append(s.ids, id), append(s.at, now)
}

// take returns when a request was sent and forgets it; false for any other.
func (s *sentRequests) take(id int) (time.Time, bool) {
	i := slices.Index(s.ids, id)
	if i < 0 {
		return time.Time{}, false
	}
	at := s.at[i]
	s.ids, s.at = slices.Delete(s.ids, i, i+1), slices.Delete(s.at, i, i+1)
	return at, true
}
