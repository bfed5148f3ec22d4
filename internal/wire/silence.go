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
//   - The other connections to the address are not closed but probed at once.

// SilencePolicy tells when a connection counts as silent.
type SilencePolicy struct {
	ProbeAfter   time.Duration // without data, while a request has no answer
	ProbeTimeout time.Duration // without data after a probe
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
	silenceClose
)

// silenceDetector decides whether a connection is silent. It has no I/O and no clock.
type silenceDetector struct {
	policy SilencePolicy
	// unansweredSince is when the first request was sent after the last frame arrived, or
	// when that frame arrived if other requests had no answer then; zero if there is none.
	unansweredSince time.Time
	probedAt        time.Time // when the outstanding probe was sent; zero if there is none
	checkDue        time.Time // when the next check should run
}

// requestSent records that a request is sent. It returns the time until the next check if
// none is due yet, otherwise 0.
func (d *silenceDetector) requestSent(now time.Time) time.Duration {
	if !d.unansweredSince.IsZero() || !d.probedAt.IsZero() {
		return 0
	}
	d.unansweredSince = now
	return d.nextCheck(now, d.policy.ProbeAfter)
}

// largeFrameSent records that a frame was passed to the operating system which takes up to
// transfer to reach the other node. Until then the node can't answer a probe. It returns the
// time until the next check.
func (d *silenceDetector) largeFrameSent(now time.Time, transfer time.Duration) time.Duration {
	d.unansweredSince, d.probedAt = now.Add(transfer), time.Time{}
	return d.nextCheck(now, transfer+d.policy.ProbeAfter)
}

// frameReceived records that a frame arrived; waiting tells whether requests have no answer
// yet. It reports whether a check is still needed.
func (d *silenceDetector) frameReceived(now time.Time, waiting bool) bool {
	d.probedAt, d.unansweredSince = time.Time{}, time.Time{}
	if waiting {
		d.unansweredSince = now
	}
	return waiting
}

// probeSent records that a probe is sent and returns the time until the next check. It
// returns 0 if a probe is outstanding.
func (d *silenceDetector) probeSent(now time.Time) time.Duration {
	if !d.probedAt.IsZero() {
		return 0
	}
	d.probedAt = now
	return d.nextCheck(now, d.policy.ProbeTimeout)
}

// check decides what to do now, and returns the time until the next check, 0 for none.
// lastRead is when the last bytes arrived, which may be a part of a frame.
func (d *silenceDetector) check(now, lastRead time.Time) (silenceAction, time.Duration) {
	if d.unansweredSince.IsZero() && d.probedAt.IsZero() {
		return silenceWait, 0
	}
	if now.Sub(d.checkDue) > maxCheckDelay {
		d.unansweredSince, d.probedAt = now, time.Time{}
		return silenceWait, d.nextCheck(now, d.policy.ProbeAfter)
	}
	if lastRead.After(d.probedAt) {
		d.probedAt = time.Time{}
	}
	quietSince := later(d.unansweredSince, lastRead)
	switch {
	case !d.probedAt.IsZero() && now.Sub(d.probedAt) >= d.policy.ProbeTimeout:
		return silenceClose, 0
	case !d.probedAt.IsZero():
		return silenceWait, d.nextCheck(now, d.policy.ProbeTimeout-now.Sub(d.probedAt))
	case now.Sub(quietSince) >= d.policy.ProbeAfter:
		return silenceProbe, d.probeSent(now)
	}
	return silenceWait, d.nextCheck(now, d.policy.ProbeAfter-now.Sub(quietSince))
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
