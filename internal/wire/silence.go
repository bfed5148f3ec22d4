package wire

import "time"

// A connection may stop delivering data without an error, while a new connection to the
// same address works. Such a connection is silent. It is detected as follows, on the client
// side, where the calls wait:
//
//   - While a request has no answer and nothing has arrived for ProbeAfter, the client sends
//     a keepalive request, which a server answers at once, also while it runs long calls.
//   - If still nothing arrives within ProbeTimeout, the client closes the connection. The
//     outcome of its calls is unknown. The next call dials a new connection.
//   - If nothing arrives within VerifyAfter, the client opens a second connection. Once the
//     node has answered there, it is neither paused nor out of reach, so VerifiedTimeout
//     applies instead of ProbeTimeout. Then the second connection replaces the first.
//   - While a large frame is written, no probe can be sent. Then the connection is closed if
//     for ProbeAfter and ProbeTimeout together the operating system accepts no part of the
//     frame, because the other node takes none, and nothing arrives either.
//   - The other connections to the address are not closed but probed at once.
//   - A connection on a slow path does not count as silent. The timeouts after a probe are longer by the measured round
//     trip; if the second connection took long to answer, the first is given as long again;
//     and while the answers of other addresses are late, the timeouts are as long as they may
//     be. All are bounded by maxTimeoutFactor. Within that bound, connections to many addresses
//     are closed one after the other.

// SilencePolicy tells when a connection counts as silent.
type SilencePolicy struct {
	ProbeAfter   time.Duration // without data, while a request has no answer
	ProbeTimeout time.Duration // without data after a probe
	// VerifyAfter is the time without data after a probe after which a second connection is
	// opened; 0 for never.
	VerifyAfter time.Duration
	// VerifiedTimeout replaces ProbeTimeout once the node has answered on the second
	// connection. It has to allow for the retransmission of a lost packet.
	VerifiedTimeout time.Duration
}

// DefaultSilencePolicy allows for peers that get no processor for a second.
var DefaultSilencePolicy = SilencePolicy{ProbeAfter: 300 * time.Millisecond, ProbeTimeout: 2 * time.Second}

// maxCheckDelay is how late a check of a connection may run. A later one shows that this
// process was paused, so that data may have arrived that has not been read.
const maxCheckDelay = 100 * time.Millisecond

// silenceAction is what to do with a connection after a check.
type silenceAction int

const (
	silenceWait silenceAction = iota
	silenceProbe
	silenceVerify
	silenceClose
)

// silenceDetector decides whether a connection is silent. It has no I/O and no clock.
type silenceDetector struct {
	policy SilencePolicy
	// allowance is added to the timeouts after a probe; fullLink makes them as long as they
	// may be.
	allowance time.Duration
	fullLink  bool
	// unansweredSince is when the first request was sent after the last frame arrived, or
	// when that frame arrived if other requests had no answer then; zero if there is none.
	unansweredSince time.Time
	probe           probe
	checkDue        time.Time // when the next check should run
}

// probe is the outstanding probe, the zero value if there is none.
type probe struct {
	sentAt     time.Time
	verifyAt   time.Time // when a second connection was requested; zero if none was
	verifiedAt time.Time // when the node answered on it; zero if it has not
}

func (p probe) outstanding() bool { return !p.sentAt.IsZero() }

// stretch returns a timeout of the policy as it applies to the path.
func (d *silenceDetector) stretch(timeout time.Duration) time.Duration {
	longest := maxTimeoutFactor * timeout
	if d.fullLink {
		return longest
	}
	return min(timeout+d.allowance, longest)
}

// stallTimeout is the time after which the write of a large frame that makes no progress
// shows that the connection is silent.
func (d *silenceDetector) stallTimeout() time.Duration {
	return d.policy.ProbeAfter + d.stretch(d.policy.ProbeTimeout)
}

// requestSent records that a request is sent. It returns the time until the next check if
// none is due yet, otherwise 0.
func (d *silenceDetector) requestSent(now time.Time) time.Duration {
	if !d.unansweredSince.IsZero() || d.probe.outstanding() {
		return 0
	}
	d.unansweredSince = now
	return d.nextCheck(now, d.policy.ProbeAfter)
}

// uploadProgressed records that the write of a large frame began, or that the operating
// system accepted a part of it. It returns the time until the next check.
func (d *silenceDetector) uploadProgressed(now time.Time) time.Duration {
	d.unansweredSince, d.probe = now, probe{}
	return d.nextCheck(now, d.stallTimeout())
}

// checkUpload is check while a large frame is written.
func (d *silenceDetector) checkUpload(now, lastRead time.Time) (silenceAction, time.Duration) {
	if now.Sub(d.checkDue) > maxCheckDelay {
		return silenceWait, d.uploadProgressed(now)
	}
	stalled := now.Sub(later(d.unansweredSince, lastRead))
	if stalled >= d.stallTimeout() {
		return silenceClose, 0
	}
	return silenceWait, d.nextCheck(now, d.stallTimeout()-stalled)
}

// largeFrameSent records that a frame was passed to the operating system which takes up to
// transfer to reach the other node. Until then the node can't answer a probe. It returns the
// time until the next check.
func (d *silenceDetector) largeFrameSent(now time.Time, transfer time.Duration) time.Duration {
	d.unansweredSince, d.probe = now.Add(transfer), probe{}
	return d.nextCheck(now, transfer+d.policy.ProbeAfter)
}

// frameReceived records that a frame arrived; waiting tells whether requests have no answer
// yet. It reports whether a check is still needed.
func (d *silenceDetector) frameReceived(now time.Time, waiting bool) bool {
	d.probe, d.unansweredSince = probe{}, time.Time{}
	if waiting {
		d.unansweredSince = now
	}
	return waiting
}

// probeSent records that a probe is sent and returns the time until the next check. It
// returns 0 if a probe is outstanding.
func (d *silenceDetector) probeSent(now time.Time) time.Duration {
	if d.probe.outstanding() {
		return 0
	}
	d.probe = probe{sentAt: now}
	return d.nextCheck(now, d.probeStep())
}

// check decides what to do now, and returns the time until the next check, 0 for none.
// lastRead is when the last bytes arrived, which may be a part of a frame.
func (d *silenceDetector) check(now, lastRead time.Time) (silenceAction, time.Duration) {
	if d.unansweredSince.IsZero() && !d.probe.outstanding() {
		return silenceWait, 0
	}
	if now.Sub(d.checkDue) > maxCheckDelay {
		d.unansweredSince, d.probe = now, probe{}
		return silenceWait, d.nextCheck(now, d.policy.ProbeAfter)
	}
	if lastRead.After(d.probe.sentAt) {
		d.probe = probe{}
	}
	if d.probe.outstanding() {
		return d.checkProbe(now)
	}
	quiet := now.Sub(later(d.unansweredSince, lastRead))
	if quiet >= d.policy.ProbeAfter {
		return silenceProbe, d.probeSent(now)
	}
	return silenceWait, d.nextCheck(now, d.policy.ProbeAfter-quiet)
}

// checkProbe decides what to do while a probe has no answer.
func (d *silenceDetector) checkProbe(now time.Time) (silenceAction, time.Duration) {
	elapsed := now.Sub(d.probe.sentAt)
	switch {
	case elapsed >= d.probeTimeout():
		return silenceClose, 0
	case elapsed >= d.probeStep():
		d.probe.verifyAt = now
		return silenceVerify, d.nextCheck(now, d.probeTimeout()-elapsed)
	}
	return silenceWait, d.nextCheck(now, d.probeStep()-elapsed)
}

// probeStep returns the time from the outstanding probe until the next action.
func (d *silenceDetector) probeStep() time.Duration {
	if d.policy.VerifyAfter > 0 && d.probe.verifyAt.IsZero() {
		return min(d.stretch(d.policy.VerifyAfter), d.probeTimeout())
	}
	return d.probeTimeout()
}

// probeTimeout returns the time after the outstanding probe at which the connection counts as
// silent. If the second connection took long to answer, the first one is given that time too.
func (d *silenceDetector) probeTimeout() time.Duration {
	if d.probe.verifiedAt.IsZero() {
		return d.stretch(d.policy.ProbeTimeout)
	}
	took := d.probe.verifiedAt.Sub(d.probe.verifyAt)
	sameTimeAgain := d.probe.verifiedAt.Sub(d.probe.sentAt) + took
	return min(max(d.stretch(d.policy.VerifiedTimeout), sameTimeAgain), d.longestTimeout())
}

// longestTimeout is the time after a probe at which a connection is closed in any case.
func (d *silenceDetector) longestTimeout() time.Duration {
	return maxTimeoutFactor * d.policy.ProbeTimeout
}

// postpone puts off the closing of the connection, if it has been silent for less than the
// longest time, and returns the time until the next check; 0 if it must be closed now.
func (d *silenceDetector) postpone(now, lastRead time.Time, by time.Duration) time.Duration {
	since, longest := d.probe.sentAt, d.longestTimeout()
	if !d.probe.outstanding() {
		since, longest = later(d.unansweredSince, lastRead), d.policy.ProbeAfter+longest
	}
	return d.nextCheck(now, max(0, min(by, longest-now.Sub(since))))
}

// nodeVerified records that the node answered on a second connection that was opened because
// of the probe sent at probedAt. It returns the time until the next check, or 0 if that probe
// is no longer outstanding or this process was paused since.
func (d *silenceDetector) nodeVerified(now, probedAt time.Time) time.Duration {
	paused := now.Sub(d.checkDue) > maxCheckDelay
	if paused || !d.probe.outstanding() || !d.probe.sentAt.Equal(probedAt) {
		return 0
	}
	d.probe.verifiedAt = now
	const soon = time.Millisecond
	return d.nextCheck(now, max(soon, d.probeTimeout()-now.Sub(probedAt)))
}

func (d *silenceDetector) nextCheck(now time.Time, in time.Duration) time.Duration {
	d.checkDue = now.Add(in)
	return in
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
