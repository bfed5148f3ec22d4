package hostpool

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/endivehill/endivehill/test/faultproxy"
)

const (
	connections = 4
	callTimeout = 100 * time.Millisecond
)

// testClient is a client of a server behind a proxy.
type testClient struct {
	http     *http.Client
	proxy    *faultproxy.Proxy
	base     string
	replaced atomic.Int64
}

func newTestClient(t *testing.T, handler http.HandlerFunc) *testClient {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	p, err := faultproxy.New(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	c := &testClient{proxy: p, base: "http://" + p.Address()}
	c.http = &http.Client{Transport: &Transport{
		New: func() *http.Transport {
			return &http.Transport{MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections}
		},
		OnReplace: func(string) { c.replaced.Add(1) },
	}}
	t.Cleanup(c.http.CloseIdleConnections)
	return c
}

func (c *testClient) get(timeout time.Duration) error {
	return c.getWith(context.Background(), timeout)
}

func (c *testClient) getWith(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// open makes the client keep this many idle connections.
func (c *testClient) open(t *testing.T, n int) {
	t.Helper()
	var calls sync.WaitGroup
	for range n {
		calls.Go(func() {
			if err := c.get(10 * time.Second); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
}

// Guards against a timeout for each of the idle connections that went silent together.
func TestOneTimeoutReplacesAllSilentConnections(t *testing.T) {
	c := newTestClient(t, func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	c.open(t, connections)
	c.proxy.SilenceOpen(true, true)
	if err := c.get(callTimeout); err == nil {
		t.Fatal("a silent connection answered")
	}
	if err := c.get(10 * callTimeout); err != nil {
		t.Errorf("the call after the timeout: %v", err)
	}
	if got := c.replaced.Load(); got != 1 {
		t.Errorf("the pool was replaced %d times, want 1", got)
	}
}

// Guards against a timeout for each of the idle connections that went silent together, if the
// first one does so within the body of a response.
func TestTimeoutInABodyReplacesAllSilentConnections(t *testing.T) {
	headersSent := make(chan struct{})
	var half atomic.Bool
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		if half.CompareAndSwap(true, false) {
			w.Header().Set("Content-Length", "2")
			_, _ = w.Write([]byte("x"))
			_ = http.NewResponseController(w).Flush()
			time.AfterFunc(callTimeout/2, func() { close(headersSent) })
			<-r.Context().Done()
		}
	})
	c.open(t, connections)
	half.Store(true)
	go func() {
		<-headersSent
		c.proxy.SilenceOpen(true, true)
	}()
	if err := c.get(3 * callTimeout); err == nil {
		t.Fatal("a silent connection answered")
	}
	if err := c.get(10 * callTimeout); err != nil {
		t.Errorf("the call after the timeout: %v", err)
	}
	if got := c.replaced.Load(); got != 1 {
		t.Errorf("the pool was replaced %d times, want 1", got)
	}
}

// Guards against requests that wait for a connection of a pool whose connections are all
// taken by requests without an answer.
func TestSilentRequestsLeaveRoomForOthers(t *testing.T) {
	c := newTestClient(t, func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	c.open(t, connections)
	c.proxy.SilenceOpen(true, true)
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() { _ = c.get(20 * callTimeout) })
	}
	if err := c.get(callTimeout); err == nil {
		t.Fatal("a silent connection answered")
	}
	calls.Wait()
	if err := c.get(10 * callTimeout); err != nil {
		t.Errorf("the call after the timeouts: %v", err)
	}
}

// Guards against a long request that is interrupted, and against new connections at each
// timeout of a server that is slow to answer on a new connection.
func TestSlowAnswersDoNotInterruptOtherRequests(t *testing.T) {
	var slow atomic.Bool
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if slow.Load() {
			time.Sleep(5 * callTimeout)
		}
	})
	c.open(t, 1)
	slow.Store(true)
	long := make(chan error, 1)
	go func() { long <- c.get(time.Minute) }()
	for range 3 {
		if err := c.get(callTimeout); err == nil {
			t.Error("the slow server answered in time")
		}
	}
	if err := <-long; err != nil {
		t.Errorf("the long request: %v", err)
	}
	if got := c.replaced.Load(); got > 1 {
		t.Errorf("the pool was replaced %d times, want 1 at most", got)
	}
}

// Guards against pools that are kept for addresses which are no longer used.
func TestUnusedPoolsAreRemoved(t *testing.T) {
	transport := &Transport{New: func() *http.Transport { return &http.Transport{} }}
	transport.pool("gone:1")
	transport.hosts["gone:1"].usedAt = time.Now().Add(-2 * unusedTTL)
	transport.cleanedAt = time.Time{}
	transport.pool("new:1")
	if len(transport.hosts) != 1 || transport.hosts["new:1"] == nil {
		t.Errorf("pools: %v", transport.hosts)
	}
}

// Guards against an owner that opens more connections than its process may, after which no
// call to any worker succeeds.
func TestConnectionsBeyondTheLimitCloseIdleOnes(t *testing.T) {
	const (
		hosts = 30
		limit = 20
	)
	transport := &Transport{New: func() *http.Transport { return &http.Transport{MaxIdleConnsPerHost: 2} }, MaxConns: limit}
	c := &http.Client{Transport: transport}
	defer c.CloseIdleConnections()
	urls := make([]string, hosts)
	for i := range urls {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer server.Close()
		urls[i] = server.URL
	}
	for range 3 {
		for _, url := range urls {
			resp, err := c.Get(url)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if got := transport.open.Load(); got > limit {
				t.Fatalf("%d open connections, limit %d", got, limit)
			}
		}
	}
}

// Guards against a call to a slow address that is cut short, and against later calls that
// wait behind it on connections which may be silent.
func TestOverdueRequestGoesOnWhileLaterOnesUseNewConnections(t *testing.T) {
	const patience = callTimeout / 2
	var slow atomic.Bool
	c := newTestClient(t, func(http.ResponseWriter, *http.Request) {
		if slow.CompareAndSwap(true, false) {
			time.Sleep(3 * patience)
		}
	})
	c.open(t, connections)
	patient := WithPatience(t.Context(), patience)
	slow.Store(true)
	if err := c.getWith(patient, 10*callTimeout); err != nil {
		t.Errorf("the overdue request: %v", err)
	}
	if got := c.replaced.Load(); got != 1 {
		t.Errorf("the pool was replaced %d times, want 1", got)
	}
	c.open(t, connections)
	c.proxy.SilenceOpen(true, true)
	silent := make(chan error, 1)
	go func() { silent <- c.getWith(patient, 10*callTimeout) }()
	time.Sleep(2 * patience)
	if err := c.get(10 * callTimeout); err != nil {
		t.Errorf("a request after the overdue one: %v", err)
	}
	select {
	case <-silent:
		t.Error("the overdue request has ended before its timeout")
	default:
	}
	<-silent
}

// Guards against a request that waits for a connection in use for longer than allowed, or that has ErrNotSent although it was sent.
func TestRequestWithoutAConnectionIsNotSent(t *testing.T) {
	const wait = callTimeout / 2
	var received atomic.Int64
	release := make(chan struct{})
	c := newTestClient(t, func(http.ResponseWriter, *http.Request) {
		if received.Add(1) <= connections {
			<-release
		}
	})
	answers := make(chan error, connections)
	for range connections {
		go func() { answers <- c.get(time.Minute) }()
	}
	for received.Load() < connections {
		time.Sleep(time.Millisecond)
	}
	ctx := WithConnWait(t.Context(), wait)
	if err := c.getWith(ctx, time.Minute); !errors.Is(err, ErrNotSent) {
		t.Errorf("the request without a connection: %v, want ErrNotSent", err)
	}
	if got := received.Load(); got != connections {
		t.Errorf("%d requests were received, want %d", got, connections)
	}
	close(release)
	for range connections {
		if err := <-answers; err != nil {
			t.Errorf("a request that held a connection: %v", err)
		}
	}
	if err := c.getWith(ctx, time.Minute); err != nil {
		t.Errorf("the next request: %v", err)
	}
}

// Guards against later requests that wait on silent connections, because the answer to an
// overdue one went silent after its headers.
func TestPatienceCoversTheBody(t *testing.T) {
	var half atomic.Bool
	release := make(chan struct{})
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		if half.CompareAndSwap(true, false) {
			w.Header().Set("Content-Length", "2")
			_, _ = w.Write([]byte("x"))
			_ = http.NewResponseController(w).Flush()
			<-release
		}
	})
	defer close(release)
	c.open(t, connections)
	half.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.getWith(WithPatience(t.Context(), callTimeout), 10*callTimeout)
	}()
	time.Sleep(3 * callTimeout)
	if got := c.replaced.Load(); got != 1 {
		t.Errorf("the pool was replaced %d times after the patience of the request, want 1", got)
	}
	<-done
}
