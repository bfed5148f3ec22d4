package wire

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/test/faultproxy"
)

// quickPolicy detects silence sooner than the default, to keep the tests short.
var quickPolicy = SilencePolicy{ProbeAfter: 50 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond}

// proxied serves handlers behind a proxy.
func proxied(t *testing.T, handlers map[api.Method]Handler) *faultproxy.Proxy {
	t.Helper()
	_, addr := serve(t, ServerOptions{}, handlers)
	p, err := faultproxy.New(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// Guards against calls that use a connection which has stopped delivering data in one
// direction or both, for as long as calls keep coming: each of them timed out for as long as
// the process lived, although a new connection would have worked.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, direction := range []struct {
		name              string
		requests, answers bool
	}{{"both", true, true}, {"requests", true, false}, {"answers", false, true}} {
		for _, timeout := range []time.Duration{20 * time.Millisecond, 10 * time.Second} {
			t.Run(fmt.Sprintf("%s, calls of %v", direction.name, timeout), func(t *testing.T) {
				p := proxied(t, map[api.Method]Handler{api.MethodJobStatus: echo})
				var reported atomic.Int64
				c := client(t, ClientOptions{Silence: quickPolicy, OnSilent: func(s SilentConn) {
					reported.Add(1)
					if s.Address != p.Address() || s.Class != "data" || s.Silence < quickPolicy.ProbeTimeout || s.Age < s.Silence {
						t.Errorf("reported %+v", s)
					}
				}})
				if _, err := call(t.Context(), c, p.Address(), "first"); err != nil {
					t.Fatal(err)
				}
				p.SilenceOpen(direction.requests, direction.answers)
				bound := time.Now().Add(2 * time.Second)
				for attempt := 0; ; attempt++ {
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					_, err := call(ctx, c, p.Address(), "next")
					cancel()
					if err == nil {
						break
					}
					if attempt == 0 && !errkind.Is(err, errkind.OutcomeUnknown) {
						t.Errorf("a call that may have arrived ended with %v", err)
					}
					if time.Now().After(bound) {
						t.Fatalf("no answer after %d calls: %v", attempt+1, err)
					}
				}
				if reported.Load() != 1 {
					t.Errorf("%d silent connections reported, want 1", reported.Load())
				}
			})
		}
	}
}

// verifyPolicy allows for a node that is paused for long, and detects silence sooner if the
// node answers on a second connection.
var verifyPolicy = SilencePolicy{
	ProbeAfter: 50 * time.Millisecond, ProbeTimeout: time.Minute,
	VerifyAfter: 50 * time.Millisecond, VerifiedTimeout: 200 * time.Millisecond,
}

// Guards against calls that wait on a silent connection for as long as a paused node is
// allowed for, although the node answers on a new connection.
func TestSilentConnectionToALiveNodeIsReplacedEarly(t *testing.T) {
	p := proxied(t, map[api.Method]Handler{api.MethodJobStatus: echo})
	closed := make(chan SilentConn, 4)
	c := client(t, ClientOptions{Silence: verifyPolicy, OnSilent: func(s SilentConn) { closed <- s }})
	if _, err := call(t.Context(), c, p.Address(), "first"); err != nil {
		t.Fatal(err)
	}
	p.SilenceOpen(true, true)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := call(ctx, c, p.Address(), "next"); !errkind.Is(err, errkind.OutcomeUnknown) || ctx.Err() != nil {
		t.Fatalf("a call that may have arrived ended with %v", err)
	}
	if s := <-closed; s.Silence < verifyPolicy.VerifiedTimeout {
		t.Errorf("closed too early: %+v", s)
	}
	if got, err := call(ctx, c, p.Address(), "again"); err != nil || got != "again" {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against a connection that stays open unused until it is idle for long, because a
// second connection replaced a silent one while a call dialed.
func TestReplacementDuringADialLeavesOneConnection(t *testing.T) {
	p := proxied(t, map[api.Method]Handler{api.MethodJobStatus: echo})
	c := client(t, ClientOptions{})
	if _, err := call(t.Context(), c, p.Address(), "first"); err != nil {
		t.Fatal(err)
	}
	rc := c.conns[connKey{p.Address(), classData}]
	dial := func() *clientConn {
		cc, err := rc.dial(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return cc
	}
	silent, second, dialed := rc.conn, dial(), dial()
	silent.closeWithError(errSilent)
	rc.replace(silent, second)
	got, err := rc.recordDial(t.Context(), dialed, nil)
	if err != nil || got != second || !dialed.ended() || second.ended() {
		t.Errorf("%v; the replacement is used: %t; ended: replacement %t, dialed %t", err, got == second, second.ended(), dialed.ended())
	}
}

// Guards against a connection to a paused node that is closed as early as one to a node that
// answers on a second connection: a paused node reads its frames later.
func TestConnectionToAPausedNodeIsKept(t *testing.T) {
	p := proxied(t, map[api.Method]Handler{api.MethodJobStatus: echo})
	c := client(t, ClientOptions{Silence: verifyPolicy, OnSilent: func(s SilentConn) { t.Errorf("closed as silent: %+v", s) }})
	if _, err := call(t.Context(), c, p.Address(), "first"); err != nil {
		t.Fatal(err)
	}
	if err := p.Set(faultproxy.Faults{DropAnswers: true}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*verifyPolicy.VerifiedTimeout)
	defer cancel()
	if _, err := call(ctx, c, p.Address(), "while paused"); ctx.Err() == nil {
		t.Errorf("the call ended early with %v", err)
	}
	if err := p.Set(faultproxy.Faults{}); err != nil {
		t.Fatal(err)
	}
	if got, err := call(t.Context(), c, p.Address(), "after"); err != nil || got != "after" {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against a report that follows the consequences of the silent connection.
func TestSilentConnectionIsReportedBeforeItsCallsEnd(t *testing.T) {
	p := proxied(t, map[api.Method]Handler{api.MethodJobStatus: echo})
	var reported atomic.Bool
	c := client(t, ClientOptions{Silence: quickPolicy, OnSilent: func(SilentConn) {
		time.Sleep(50 * time.Millisecond)
		reported.Store(true)
	}})
	if _, err := call(t.Context(), c, p.Address(), "first"); err != nil {
		t.Fatal(err)
	}
	p.SilenceOpen(true, true)
	if _, err := call(t.Context(), c, p.Address(), "next"); err == nil || !reported.Load() {
		t.Errorf("reported %t when the call ended with %v", reported.Load(), err)
	}
}

// Guards against a live connection that is closed because its calls take long, which would
// leave the outcome of all of them unknown.
func TestLongCallsKeepTheirConnection(t *testing.T) {
	p := proxied(t, map[api.Method]Handler{api.MethodJobStatus: func(ctx context.Context, payload []byte) (msgp.Marshaler, error) {
		time.Sleep(4 * (quickPolicy.ProbeAfter + quickPolicy.ProbeTimeout))
		return echo(ctx, payload)
	}})
	c := client(t, ClientOptions{Silence: quickPolicy, OnSilent: func(s SilentConn) { t.Errorf("closed as silent: %+v", s) }})
	if got, err := call(t.Context(), c, p.Address(), "long"); err != nil || got != "long" {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against a data connection that stays in use after the control connection to the
// same node was found silent, and against one that is closed although it works.
func TestSilenceOfOneConnectionProbesTheOther(t *testing.T) {
	for _, silent := range []bool{true, false} {
		t.Run(fmt.Sprintf("data connection silent %t", silent), func(t *testing.T) {
			p := proxied(t, map[api.Method]Handler{api.MethodJobStatus: echo, api.MethodOwnerPing: echo})
			closed := make(chan string, 4)
			c := client(t, ClientOptions{Silence: quickPolicy, OnSilent: func(s SilentConn) { closed <- s.Class }})
			ping := func() error {
				ctx, cancel := context.WithTimeout(t.Context(), minPingSilence+50*time.Millisecond)
				defer cancel()
				return c.Call(ctx, p.Address(), api.MethodOwnerPing, &api.JobRef{}, &api.JobRef{})
			}
			if silent {
				if _, err := call(t.Context(), c, p.Address(), "data"); err != nil {
					t.Fatal(err)
				}
			}
			if err := ping(); err != nil {
				t.Fatal(err)
			}
			p.SilenceOpen(true, true)
			if !silent {
				if _, err := call(t.Context(), c, p.Address(), "data"); err != nil {
					t.Fatal(err)
				}
			}
			if err := ping(); err == nil {
				t.Fatal("a ping on a silent connection was answered")
			}
			c.ReportUnanswered(p.Address())
			if got := <-closed; got != "control" {
				t.Errorf("the %s connection was closed first", got)
			}
			select {
			case got := <-closed:
				if !silent {
					t.Errorf("the %s connection was closed although it works", got)
				}
			case <-time.After(2 * quickPolicy.ProbeTimeout):
				if silent {
					t.Error("the data connection was not probed")
				}
			}
		})
	}
}

// Guards against a wrong decision of the detector: a paused process, a frame that arrives
// slowly and an answer to a probe are no silence.
func TestSilenceDetector(t *testing.T) {
	policy := SilencePolicy{ProbeAfter: 300 * time.Millisecond, ProbeTimeout: 500 * time.Millisecond}
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name  string
		steps func(d *silenceDetector) (silenceAction, time.Duration)
		want  silenceAction
	}{
		{"nothing sent", func(d *silenceDetector) (silenceAction, time.Duration) { return d.check(at(9000), at(0)) }, silenceWait},
		{"no answer for long", func(d *silenceDetector) (silenceAction, time.Duration) {
			d.requestSent(at(0))
			return d.check(at(300), at(-50))
		}, silenceProbe},
		{"no answer to the probe", func(d *silenceDetector) (silenceAction, time.Duration) {
			d.requestSent(at(0))
			d.check(at(300), at(-50))
			return d.check(at(800), at(-50))
		}, silenceClose},
		{"a part of a frame after the probe", func(d *silenceDetector) (silenceAction, time.Duration) {
			d.requestSent(at(0))
			d.check(at(300), at(-50))
			return d.check(at(800), at(700))
		}, silenceWait},
		{"the process was paused", func(d *silenceDetector) (silenceAction, time.Duration) {
			d.requestSent(at(0))
			d.check(at(300), at(-50))
			return d.check(at(5000), at(-50))
		}, silenceWait},
		{"answered, then another request", func(d *silenceDetector) (silenceAction, time.Duration) {
			d.requestSent(at(0))
			d.frameReceived(at(290), true)
			return d.check(at(300), at(290))
		}, silenceWait},
		{"requests that time out one after the other", func(d *silenceDetector) (silenceAction, time.Duration) {
			d.requestSent(at(0))
			d.requestSent(at(150))
			return d.check(at(300), at(-50))
		}, silenceProbe},
		{"no part of a large frame is accepted", func(d *silenceDetector) (silenceAction, time.Duration) {
			d.uploadProgressed(at(0))
			return d.checkUpload(at(800), at(-50))
		}, silenceClose},
		{"a part of a large frame is accepted now and then", func(d *silenceDetector) (silenceAction, time.Duration) {
			d.uploadProgressed(at(0))
			d.uploadProgressed(at(700))
			return d.checkUpload(at(1400), at(-50))
		}, silenceWait},
		{"bytes arrive while no part of a large frame is accepted", func(d *silenceDetector) (silenceAction, time.Duration) {
			d.uploadProgressed(at(0))
			return d.checkUpload(at(800), at(100))
		}, silenceWait},
		{"the process was paused while a large frame was written", func(d *silenceDetector) (silenceAction, time.Duration) {
			d.uploadProgressed(at(0))
			return d.checkUpload(at(5000), at(-50))
		}, silenceWait},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, next := tt.steps(&silenceDetector{policy: policy})
			if got != tt.want {
				t.Errorf("action %d, want %d", got, tt.want)
			}
			if scheduled := next > 0; scheduled != (got != silenceClose && tt.name != "nothing sent") {
				t.Errorf("next check in %v", next)
			}
		})
	}
}

// Guards against a node that counts as verified because of an earlier probe, and against a
// second connection that is opened more than once for a probe.
func TestVerificationBelongsToItsProbe(t *testing.T) {
	policy := SilencePolicy{ProbeAfter: 150 * time.Millisecond, ProbeTimeout: 500 * time.Millisecond, VerifyAfter: 100 * time.Millisecond, VerifiedTimeout: 250 * time.Millisecond}
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	d := silenceDetector{policy: policy}
	d.requestSent(at(0))
	expect := func(ms int, want silenceAction, wantNext time.Duration) {
		t.Helper()
		if got, next := d.check(at(ms), at(-50)); got != want || next != wantNext {
			t.Errorf("at %d ms: action %d, next check in %v; want %d, %v", ms, got, next, want, wantNext)
		}
	}
	expect(150, silenceProbe, policy.VerifyAfter)
	expect(250, silenceVerify, policy.ProbeTimeout-policy.VerifyAfter)
	d.frameReceived(at(260), true)
	expect(410, silenceProbe, policy.VerifyAfter)
	if d.nodeVerified(at(420), at(150)) != 0 {
		t.Error("the node counts as verified because of an earlier probe")
	}
	expect(510, silenceVerify, policy.ProbeTimeout-policy.VerifyAfter)
	if d.nodeVerified(at(5000), at(410)) != 0 {
		t.Error("the node counts as verified although this process was paused")
	}
	if next := d.nodeVerified(at(520), at(410)); next != 140*time.Millisecond {
		t.Errorf("next check in %v", next)
	}
	expect(660, silenceClose, 0)
}
