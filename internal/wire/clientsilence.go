package wire

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// SilentConn describes a connection that was closed because it was silent.
type SilentConn struct {
	Address string
	Class   string        // "control" or "data"
	Age     time.Duration // since the connection was opened
	Silence time.Duration // since the last bytes arrived
	Calls   int           // calls that waited for a response
}

// LogFields returns the fields of a log line about the connection.
func (s SilentConn) LogFields() []any {
	return []any{
		"address", s.Address, "class", s.Class, "age_ms", s.Age.Milliseconds(),
		"silence_ms", s.Silence.Milliseconds(), "calls", s.Calls,
	}
}

// checkIn schedules the next check; it does nothing if in is 0. cc.mu is held.
func (cc *clientConn) checkIn(in time.Duration) {
	switch {
	case in <= 0:
	case cc.check == nil:
		cc.check = time.AfterFunc(in, cc.checkSilence)
	default:
		cc.check.Reset(in)
	}
}

// checkSilence probes the connection, or closes it if it is silent.
func (cc *clientConn) checkSilence() {
	cc.mu.Lock()
	if cc.err != nil {
		cc.mu.Unlock()
		return
	}
	action, next := cc.link.check(&cc.silence, checkInput{cc.addr, time.Now(), cc.reads.last(), cc.uploading})
	probedAt := cc.silence.probe.sentAt
	cc.checkIn(next)
	cc.mu.Unlock()
	switch action {
	case silenceProbe:
		go cc.sendKeepalive()
	case silenceVerify:
		cc.verify(probedAt)
	case silenceClose:
		cc.closeSilent()
	}
}

// closeUnanswered closes the connection because a ping on it had no answer. While the path is
// known to be slow, or many connections are being closed, it is only probed.
func (cc *clientConn) closeUnanswered(now time.Time) {
	const longest = maxTimeoutFactor * minPingSilence
	allowance, full := cc.link.allowance(cc.addr, now)
	if full {
		allowance = longest
	}
	silence := now.Sub(cc.reads.last())
	switch {
	case silence < minPingSilence: // bytes have arrived, or the connection is new
	case silence < min(minPingSilence+allowance, longest) || silence < longest && cc.link.mayClose(cc.addr, now) > 0:
		cc.probe()
	default:
		cc.closeSilent()
	}
}

// probe sends a keepalive request if none is outstanding. The connection is closed if
// nothing arrives within the timeout.
func (cc *clientConn) probe() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.err != nil {
		return
	}
	if in := cc.silence.probeSent(time.Now()); in > 0 {
		cc.checkIn(in)
		go cc.sendKeepalive()
	}
}

// nodeVerified records that the node answered on a second connection. It reports false if
// the probe sent at probedAt has been answered meanwhile.
func (cc *clientConn) nodeVerified(probedAt time.Time) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.err != nil {
		return false
	}
	next := cc.silence.nodeVerified(time.Now(), probedAt)
	cc.checkIn(next)
	return next > 0
}

// sendKeepalive sends a keepalive request. No call waits for its response.
func (cc *clientConn) sendKeepalive() {
	cc.mu.Lock()
	cc.nextID++
	id := cc.nextID
	cc.sent.add(id, time.Now())
	cc.mu.Unlock()
	frame, err := encodeMessage(&api.Frame{CallId: id, Kind: api.FrameKindRequest, Method: api.MethodKeepalive})
	if err != nil {
		cc.closeWithError(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cc.policy.ProbeTimeout)
	defer cancel()
	_ = cc.writeFrame(ctx, frame) // if it fails, the connection is closed here or by the next check
}

// closeSilent closes the connection, on which the other node does not answer. It is reported
// before, so that the report is complete when a call continues on a new connection.
func (cc *clientConn) closeSilent() {
	now := time.Now()
	cc.mu.Lock()
	reported, calls := cc.silenceReported || cc.err != nil, len(cc.pending)
	cc.silenceReported = true
	cc.mu.Unlock()
	if reported {
		return
	}
	// Reported first: the calls that wait end with the close, and a report that came later
	// could follow the answer to a repeated call.
	cc.onSilent(SilentConn{Age: now.Sub(cc.reads.openedAt), Silence: now.Sub(cc.reads.last()), Calls: calls})
	cc.closeWithError(errSilent)
}

// silenceNow returns the time without data while a request has no answer.
func (cc *clientConn) silenceNow(now time.Time) time.Duration {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.err != nil || cc.silence.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(later(cc.silence.unansweredSince, cc.reads.last()))
}

// LongestSilence returns the longest time without data on a connection on which a request
// has no answer.
func (c *Client) LongestSilence() time.Duration {
	c.mu.Lock()
	keys := slices.Collect(maps.Keys(c.conns))
	c.mu.Unlock()
	longest := time.Duration(0)
	for _, key := range keys {
		if cc := c.openConn(key); cc != nil {
			longest = max(longest, cc.silenceNow(time.Now()))
		}
	}
	return longest
}
