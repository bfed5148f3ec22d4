package platform_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/platform"
)

func newExecutorClient(t *testing.T) *platform.ExecutorClient {
	t.Helper()
	c := platform.NewExecutorClient(platform.UpstreamOptions{Timeout: shortTimeout, MaxResponseBytes: 1000})
	t.Cleanup(c.CloseIdleConnections)
	return c
}

func executorVM(address string) api.VM { return api.VM{Id: "vm-1", ExecutorAddress: address} }

func executorCall() *api.ExecutorCall {
	return &api.ExecutorCall{
		Partition: "desk-executors-0", Epoch: 7, Team: "gallery", Queue: "gallery.quotes",
		RequestId: "r-1", ContentType: "text/plain", Body: []byte("body"),
	}
}

// The call must reach the executor with all its headers, and the response must reach the
// caller unchanged.
func TestExecuteSendsTheCallAndReturnsTheAnswer(t *testing.T) {
	var got api.ExecutorCall
	h := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = api.ExecutorCall{
			Partition: r.Header.Get(platform.HeaderPartition), Team: r.Header.Get(platform.HeaderTeam),
			Queue: r.Header.Get(platform.HeaderQueue), RequestId: r.Header.Get(platform.HeaderRequestID),
			ContentType: r.Header.Get("Content-Type"), Body: body,
		}
		_, _ = fmt.Sscan(r.Header.Get(platform.HeaderEpoch), &got.Epoch)
		w.Header().Set(platform.HeaderRequestID, got.RequestId)
		w.Header().Set("Content-Type", "text/csv")
		w.WriteHeader(http.StatusServiceUnavailable) // status of the work itself, not a refusal
		_, _ = w.Write([]byte("answer"))
	}
	address := serve(t, http.StripPrefix("/vm/1", http.HandlerFunc(h)))
	out, err := newExecutorClient(t).Execute(context.Background(), executorVM(address+"/vm/1"), executorCall())
	if err != nil {
		t.Fatal(err)
	}
	want := &api.ExecutorAnswer{Status: http.StatusServiceUnavailable, ContentType: "text/csv", Body: []byte("answer")}
	if diff := cmp.Diff(want, out) + cmp.Diff(*executorCall(), got); diff != "" {
		t.Error(diff)
	}
}

// rawServer reads one request on each connection, writes answer to it and closes the
// connection. It counts the requests.
func rawServer(t *testing.T, answer string) (string, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests := new(atomic.Int32)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				requests.Add(1)
				_, _ = io.WriteString(conn, answer)
			}()
		}
	}()
	return l.Addr().String(), requests
}

// Work that may have run must not be reported as not run, an incomplete response or one
// to another request must not reach the caller, and a request must not be sent twice.
func TestExecuteOutcome(t *testing.T) {
	const id = "Endivehill-Request-Id: r-1\r\n"
	tests := []struct {
		name   string
		answer string
		want   errkind.Kind
	}{
		{"fenced", "HTTP/1.1 412 X\r\n" + id + "Endivehill-Refused: fenced\r\nContent-Length: 0\r\n\r\n", errkind.Fenced},
		{"draining", "HTTP/1.1 503 X\r\n" + id + "Endivehill-Refused: draining\r\nContent-Length: 0\r\n\r\n", errkind.UpstreamUnavailable},
		{"another VM", "HTTP/1.1 421 X\r\n" + id + "Endivehill-Refused: wrong_vm\r\nContent-Length: 0\r\n\r\n", errkind.UpstreamUnavailable},
		{"refusal of another request", "HTTP/1.1 412 X\r\nEndivehill-Request-Id: r-0\r\nEndivehill-Refused: fenced\r\nContent-Length: 0\r\n\r\n", errkind.OutcomeUnknown},
		{"answer to another request", "HTTP/1.1 200 OK\r\nEndivehill-Request-Id: r-0\r\nContent-Length: 2\r\n\r\nok", errkind.OutcomeUnknown},
		{"no request ID", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", errkind.OutcomeUnknown},
		{"no answer", "", errkind.OutcomeUnknown},
		{"garbage", "\x00\x01\x02\r\n\r\n", errkind.OutcomeUnknown},
		{"cut", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 10\r\n\r\nshort", errkind.OutcomeUnknown},
		{"cut chunk", "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel", errkind.OutcomeUnknown},
		{"without length", "HTTP/1.1 200 OK\r\n" + id + "Connection: close\r\n\r\nhello", errkind.OutcomeUnknown},
		{"too large", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 1001\r\n\r\n" + strings.Repeat("x", 1001), errkind.OutcomeUnknown},
		{"large header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20) + "\r\n\r\n", errkind.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, requests := rawServer(t, tt.answer)
			out, err := newExecutorClient(t).Execute(context.Background(), executorVM(address), executorCall())
			if !errkind.Is(err, tt.want) || out != nil {
				t.Errorf("got %v, %v, want %s", out, err, tt.want)
			}
			if n := requests.Load(); n != 1 {
				t.Errorf("executor got %d requests, want 1", n)
			}
		})
	}
}

// Following a redirect would run the request a second time elsewhere.
func TestExecuteFollowsNoRedirect(t *testing.T) {
	var calls atomic.Int32
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	out, err := newExecutorClient(t).Execute(context.Background(), executorVM(address), executorCall())
	if err != nil || out.Status != http.StatusTemporaryRedirect || calls.Load() != 1 {
		t.Errorf("got %v, %v after %d calls", out, err, calls.Load())
	}
}

// A request that certainly was not sent must be reported as not run, not as unknown.
func TestExecuteNotSent(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	late, stop := context.WithTimeout(context.Background(), -1)
	defer stop()
	tests := []struct {
		name string
		ctx  context.Context
		want errkind.Kind
	}{
		{"refused connection", context.Background(), errkind.UpstreamUnavailable},
		{"caller gone", ended, errkind.Canceled},
		{"deadline passed", late, errkind.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := newExecutorClient(t).Execute(tt.ctx, executorVM(refusingAddress(t)), executorCall())
			if !errkind.Is(err, tt.want) || errkind.From(err).Outcome() != errkind.NotRun {
				t.Errorf("got %v, want %s", err, tt.want)
			}
		})
	}
}

// net/http must not resend a request, with or without a body, when an idle connection
// turns out to be closed.
func TestExecuteIsNotResentOnAClosedConnection(t *testing.T) {
	for name, body := range map[string][]byte{"with body": []byte("x"), "without body": nil} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				executeOnClosedConnection(t, body)
			}
		})
	}
}

// executeOnClosedConnection sends two requests to an executor that closes the connection
// as soon as the second request arrives.
func executeOnClosedConnection(t *testing.T, body []byte) {
	var second atomic.Int32
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerOnceThenClose(conn, &second)
		}
	}()
	client := newExecutorClient(t)
	call := executorCall()
	call.Body = body
	vm := executorVM(l.Addr().String())
	if _, err := client.Execute(context.Background(), vm, call); err != nil {
		t.Fatal(err)
	}
	call.RequestId = "r-2"
	_, err = client.Execute(context.Background(), vm, call)
	if err == nil {
		t.Error("second request succeeded, so it was sent again")
	}
	if n := second.Load(); n > 1 {
		t.Errorf("second request arrived %d times", n)
	} else if n == 1 && !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Errorf("request that arrived: %v, want outcome_unknown", err)
	}
	client.CloseIdleConnections()
}

func answerOnceThenClose(conn net.Conn, second *atomic.Int32) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(platform.HeaderRequestID)
		if id != "r-1" {
			second.Add(1)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", platform.HeaderRequestID, id)
	}
}

// The connection limit keeps owners within an executor's limit during handovers. It must
// apply to each executor separately, even if executors share a port.
func TestExecuteBoundsConnectionsPerExecutor(t *testing.T) {
	var open, most atomic.Int32
	release := make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := open.Add(1)
		defer open.Add(-1)
		for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
		}
		<-release
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set("Content-Length", "0")
	}))
	s.Start()
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	client := newExecutorClient(t)
	var wg sync.WaitGroup
	for i := range 2 * (platform.ConnsPerExecutor + 4) {
		wg.Go(func() {
			vm := executorVM(fmt.Sprintf("%s/%d", address, i%2))
			if _, err := client.Execute(context.Background(), vm, executorCall()); err != nil {
				t.Error(err)
			}
		})
	}
	waitFor(t, func() bool { return open.Load() == 2*platform.ConnsPerExecutor })
	close(release)
	wg.Wait()
	if got := most.Load(); got > 2*platform.ConnsPerExecutor {
		t.Errorf("%d connections to two executors, limit %d", got, 2*platform.ConnsPerExecutor)
	}
}

// waitFor polls until done is true, for at most 10 s.
func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition did not come true in 10 s")
		}
	}
}

// Writes must be tracked on TLS connections too, and an untrusted server must be rejected.
func TestExecuteOverTLS(t *testing.T) {
	var cut atomic.Bool
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		if cut.Load() {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte("ok"))
	}))
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.StartTLS()
	defer s.Close()
	roots := x509.NewCertPool()
	roots.AddCert(s.Certificate())
	trusted := platform.NewExecutorClient(platform.UpstreamOptions{TLS: &tls.Config{RootCAs: roots}})
	defer trusted.CloseIdleConnections()
	vm := executorVM(strings.TrimPrefix(s.URL, "https://"))
	if out, err := trusted.Execute(context.Background(), vm, executorCall()); err != nil || string(out.Body) != "ok" {
		t.Errorf("got %v, %v", out, err)
	}
	cut.Store(true)
	if _, err := trusted.Execute(context.Background(), vm, executorCall()); !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Errorf("no answer: %v, want outcome_unknown", err)
	}
	untrusting := platform.NewExecutorClient(platform.UpstreamOptions{TLS: &tls.Config{}})
	defer untrusting.CloseIdleConnections()
	if _, err := untrusting.Execute(context.Background(), vm, executorCall()); !errkind.Is(err, errkind.UpstreamUnavailable) {
		t.Errorf("unknown authority: %v, want upstream_unavailable", err)
	}
}

// Fence and Sync must reject the response of another VM.
func TestUpstreamAnswersAreCheckedForTheVM(t *testing.T) {
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"vm":"vm-2","epoch":3}`))
	}))
	vm := api.VM{Id: "vm-1", ExecutorAddress: address, WorkerAddress: address}
	if _, err := newExecutorClient(t).Fence(context.Background(), vm, "p", 3); !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Errorf("Fence: %v, want outcome_unknown", err)
	}
	worker := platform.NewWorkerClient(platform.UpstreamOptions{})
	defer worker.CloseIdleConnections()
	if _, err := worker.Sync(context.Background(), vm, &api.WorkerSync{}); !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Errorf("Sync: %v, want outcome_unknown", err)
	}
}
